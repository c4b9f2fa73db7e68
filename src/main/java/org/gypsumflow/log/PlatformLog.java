package org.gypsumflow.log;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.StreamName;

/**
 * The platform's append-only log service.
 *
 * <p>An append whose future fails may still take effect, now or later. Futures complete on any thread.
 */
public interface PlatformLog {
    /**
     * Where and when the log stored an appended record.
     *
     * @param offset offset of the record in the stream
     * @param loggedAtMillis time by the log's clock, in milliseconds since the epoch
     */
    record AppendResult(long offset, long loggedAtMillis) {}

    /**
     * A record of a stream.
     *
     * @param offset offset of the record in the stream
     * @param loggedAtMillis when the log stored the record, by the log's clock, in milliseconds since the epoch
     * @param body content of the record
     * @param <T> type of the content
     */
    record LogRecord<T>(long offset, long loggedAtMillis, T body) {}

    /**
     * Records that were read from a stream, with the bounds of the stream.
     *
     * @param firstOffset oldest offset that the log retains
     * @param headOffset offset that the next appended record will get
     * @param nextOffset offset after the last record that was read, whether or not it could be decoded; 0 if none was
     * @param records records from the requested offset on, in order; without those that could not be decoded
     * @param <T> type of the records' content
     */
    record Page<T>(long firstOffset, long headOffset, long nextOffset, List<LogRecord<T>> records) {
        /**
         * Creates a page in which every record that was read is present.
         *
         * @param firstOffset oldest offset that the log retains
         * @param headOffset offset that the next appended record will get
         * @param records records from the requested offset on, in order
         * @param <T> type of the records' content
         * @return the page
         */
        public static <T> Page<T> of(long firstOffset, long headOffset, List<LogRecord<T>> records) {
            long nextOffset =
                    records.isEmpty() ? 0 : records.get(records.size() - 1).offset() + 1;
            return new Page<>(firstOffset, headOffset, nextOffset, records);
        }
    }

    /**
     * Appends a record.
     *
     * @param stream name of the stream, which is created by its first record
     * @param body content of the record, at most 1 MiB
     * @return where the record was stored; if it fails, the record may or may not have been appended
     */
    CompletableFuture<AppendResult> append(StreamName stream, byte[] body);

    /**
     * Reads records.
     *
     * @param stream name of the stream
     * @param fromOffset offset of the first record to read
     * @param maxRecords maximum number of records to return
     * @return the records and the bounds of the stream at the time of the read
     */
    CompletableFuture<Page<byte[]>> read(StreamName stream, long fromOffset, int maxRecords);
}
