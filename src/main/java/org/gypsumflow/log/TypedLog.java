package org.gypsumflow.log;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.gypsumflow.log.PlatformLog.AppendResult;
import org.gypsumflow.log.PlatformLog.LogRecord;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.model.StreamName;

/**
 * One stream of the platform's log with typed records.
 *
 * @param <T> type of the records
 */
public interface TypedLog<T> {
    /**
     * Appends a record.
     *
     * @param body the record
     * @return where it stands; a failure says nothing about whether it was appended
     */
    CompletableFuture<AppendResult> append(T body);

    /**
     * Reads records.
     *
     * @param fromOffset first wanted offset
     * @param most largest number of records to return
     * @return the records and the stream's bounds
     */
    CompletableFuture<Page<T>> read(long fromOffset, int most);

    /**
     * Puts types on a stream of bytes.
     *
     * @param log the log
     * @param stream the stream
     * @param encode turns a record into bytes
     * @param decode turns bytes into a record
     * @param <T> type of the records
     * @return the typed stream
     */
    static <T> TypedLog<T> of(
            PlatformLog log, StreamName stream, Function<T, byte[]> encode, Function<byte[], T> decode) {
        return new TypedLog<>() {
            @Override
            public CompletableFuture<AppendResult> append(T body) {
                return log.append(stream, encode.apply(body));
            }

            @Override
            public CompletableFuture<Page<T>> read(long fromOffset, int most) {
                return log.read(stream, fromOffset, most).thenApply(page -> decodePage(page, decode));
            }
        };
    }

    private static <T> Page<T> decodePage(Page<byte[]> page, Function<byte[], T> decode) {
        return new Page<>(
                page.firstOffset(),
                page.headOffset(),
                page.records().stream()
                        .map(entry ->
                                new LogRecord<>(entry.offset(), entry.loggedAtMillis(), decode.apply(entry.body())))
                        .toList());
    }
}
