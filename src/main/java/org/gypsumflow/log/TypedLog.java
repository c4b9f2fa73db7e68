package org.gypsumflow.log;

import java.util.ArrayList;
import java.util.List;
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

    /** Receives the records of a stream that cannot be decoded. */
    @FunctionalInterface
    interface UndecodableRecordListener {
        /**
         * Called for each read of a record that cannot be decoded.
         *
         * @param stream name of the stream
         * @param offset offset of the record in the stream
         * @param failure why it cannot be decoded
         */
        void recordSkipped(StreamName stream, long offset, RuntimeException failure);
    }

    /**
     * Creates a typed view of a stream. Records that cannot be decoded are left out of the pages: anyone may write to
     * the log, and one bad record must not hide the others.
     *
     * @param log log that holds the stream
     * @param stream name of the stream
     * @param encode encodes the content of a record
     * @param decode decodes the content of a record; throws an unchecked exception if it cannot
     * @param undecodable notified of each record that is left out
     * @param <T> type of the records
     * @return the typed stream
     */
    static <T> TypedLog<T> of(
            PlatformLog log,
            StreamName stream,
            Function<T, byte[]> encode,
            Function<byte[], T> decode,
            UndecodableRecordListener undecodable) {
        return new TypedLog<>() {
            @Override
            public CompletableFuture<AppendResult> append(T body) {
                return log.append(stream, encode.apply(body));
            }

            @Override
            public CompletableFuture<Page<T>> read(long fromOffset, int maxRecords) {
                return log.read(stream, fromOffset, maxRecords)
                        .thenApply(page -> decodePage(stream, page, decode, undecodable));
            }
        };
    }

    private static <T> Page<T> decodePage(
            StreamName stream, Page<byte[]> page, Function<byte[], T> decode, UndecodableRecordListener undecodable) {
        List<LogRecord<T>> decoded = new ArrayList<>();
        for (LogRecord<byte[]> entry : page.records()) {
            try {
                decoded.add(new LogRecord<>(entry.offset(), entry.loggedAtMillis(), decode.apply(entry.body())));
            } catch (RuntimeException failure) {
                undecodable.recordSkipped(stream, entry.offset(), failure);
            }
        }
        return new Page<>(page.firstOffset(), page.headOffset(), page.nextOffset(), decoded);
    }
}
