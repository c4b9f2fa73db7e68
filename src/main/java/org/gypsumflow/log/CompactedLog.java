package org.gypsumflow.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A log of keyed records that retains the latest record of each key indefinitely. */
public interface CompactedLog {
    /**
     * Time without a response, on top of the wait that a read asks for, after which a call fails with a {@link
     * java.util.concurrent.TimeoutException}.
     */
    Duration RESPONSE_TIMEOUT = Duration.ofMillis(1500);

    /**
     * A record of a topic.
     *
     * @param key key of the record
     * @param value content of the record; empty if the record deletes its key
     * @param offset position of the record in the topic
     */
    record KeyedRecord(String key, byte[] value, long offset) {}

    /**
     * Records that were read from a topic.
     *
     * @param records the records in the order of their offsets
     * @param endOffset offset from which reading continues
     */
    record Page(List<KeyedRecord> records, long endOffset) {
        /** Makes an unmodifiable copy of the list. */
        public Page {
            records = List.copyOf(records);
        }
    }

    /** Thrown if records that were requested have been deleted from the log. */
    final class ExpiredException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /**
         * Creates the exception.
         *
         * @param firstOffset oldest offset that the log retains
         */
        public ExpiredException(long firstOffset) {
            super("records before offset " + firstOffset + " have been deleted");
        }
    }

    /**
     * Reads the latest record of each key.
     *
     * <p>The records are not a snapshot of one moment: a record may be older than one of another key that was read
     * first.
     *
     * @param topic name of the topic
     * @return the records, and the offset from which {@link #read} misses no later record
     */
    CompletableFuture<Page> readLatestByKey(String topic);

    /**
     * Reads records from an offset on, and waits for a record if there is none yet.
     *
     * @param topic name of the topic
     * @param fromOffset offset of the first record to read
     * @param maxWait maximum time that the log waits for a record
     * @return the records, possibly none; fails with an {@link ExpiredException} if records from the offset on have
     *     been deleted, and with a {@link java.util.concurrent.TimeoutException} if there is no response within the wait
     *     and {@link #RESPONSE_TIMEOUT}
     */
    CompletableFuture<Page> read(String topic, long fromOffset, Duration maxWait);

    /**
     * Appends a record, which replaces earlier records of its key.
     *
     * @param topic name of the topic
     * @param key key of the record
     * @param value content of the record; empty to delete the key
     * @return completes when the record is stored; if it fails, the record may still be stored, now or later
     */
    CompletableFuture<Void> put(String topic, String key, byte[] value);
}
