package org.gypsumflow.log;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.gypsumflow.log.PlatformLog.AppendResult;
import org.gypsumflow.log.PlatformLog.LogRecord;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.model.StreamName;

/**
 * One stream of the platform's log, with records of a Java type instead of bytes.
 *
 * @param <T> type of the records
 */
public interface TypedLog<T> {
    /**
     * Appends a record.
     *
     * @param body content of the record
     * @return where the record was stored; if it fails, the record may or may not have been appended
     */
    CompletableFuture<AppendResult> append(T body);

    /**
     * Reads records.
     *
     * @param fromOffset offset of the first record to read
     * @param maxRecords maximum number of records to return
     * @return the records and the bounds of the stream at the time of the read
     */
    CompletableFuture<Page<T>> read(long fromOffset, int maxRecords);

    /**
     * Creates a typed view of a stream.
     *
     * @param log log that holds the stream
     * @param stream name of the stream
     * @param encode encodes the content of a record
     * @param decode decodes the content of a record
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
            public CompletableFuture<Page<T>> read(long fromOffset, int maxRecords) {
                return log.read(stream, fromOffset, maxRecords).thenApply(page -> decodePage(page, decode));
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
