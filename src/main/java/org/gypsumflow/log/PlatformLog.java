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
     * Where and when the log took a record.
     *
     * @param offset offset in the stream
     * @param loggedAtMillis the log's clock, in milliseconds since the epoch
     */
    record AppendResult(long offset, long loggedAtMillis) {}

    /**
     * One record.
     *
     * @param offset offset in the stream
     * @param loggedAtMillis the log's clock when it took the record, in milliseconds since the epoch
     * @param body the record's content
     * @param <T> type of the content
     */
    record LogRecord<T>(long offset, long loggedAtMillis, T body) {}

    /**
     * A piece of a stream.
     *
     * @param firstOffset oldest offset that the log still keeps
     * @param headOffset offset that the next append will get
     * @param records records from the asked offset on, in order
     * @param <T> type of the records' content
     */
    record Page<T>(long firstOffset, long headOffset, List<LogRecord<T>> records) {}

    /**
     * Appends a record.
     *
     * @param stream the stream, created by its first record
     * @param body content, at most one mebibyte
     * @return where it stands; a failure says nothing about whether it was appended
     */
    CompletableFuture<AppendResult> append(StreamName stream, byte[] body);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param fromOffset first wanted offset
     * @param most largest number of records to return
     * @return the records and the stream's bounds at the time of the read
     */
    CompletableFuture<Page<byte[]>> read(StreamName stream, long fromOffset, int most);
}
