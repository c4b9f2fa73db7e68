package org.gypsumflow.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A log that keeps the newest record of each key for good. */
public interface CompactedLog {
    /**
     * One record.
     *
     * @param key its key
     * @param value its content; empty if the key was dropped
     * @param offset its place in the topic
     */
    record KeyedRecord(String key, byte[] value, long offset) {}

    /**
     * Records in the order of their offsets.
     *
     * @param records the records
     * @param endOffset offset that the next record will get
     */
    record Page(List<KeyedRecord> records, long endOffset) {
        /** Copies the list. */
        public Page {
            records = List.copyOf(records);
        }
    }

    /** Says that records which were asked for have been deleted. */
    final class ExpiredException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /**
         * Creates the failure.
         *
         * @param first oldest offset that is still there
         */
        public ExpiredException(long first) {
            super("records before offset " + first + " have been deleted");
        }
    }

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records and an end from which reading misses nothing; not a snapshot of one moment
     */
    CompletableFuture<Page> readLatestByKey(String topic);

    /**
     * Reads records from an offset on, and waits for one if there is none.
     *
     * @param topic the topic
     * @param from first offset
     * @param wait how long the log may wait for a record
     * @return the records, or a failure, an {@link ExpiredException} if they have been deleted
     */
    CompletableFuture<Page> read(String topic, long from, Duration wait);

    /**
     * Writes a record.
     *
     * @param topic the topic
     * @param key its key
     * @param value its content; empty to drop the key
     * @return completes when the record is stored; after a failure it may be stored all the same, now or later
     */
    CompletableFuture<Void> put(String topic, String key, byte[] value);
}
