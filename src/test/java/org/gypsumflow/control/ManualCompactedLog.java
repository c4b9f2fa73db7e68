package org.gypsumflow.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.log.CompactedLog;

/** Compacted log for tests: each read waits until the test completes it. */
final class ManualCompactedLog implements CompactedLog {
    private final Deque<CompletableFuture<Page>> pendingReads = new ArrayDeque<>();
    private long endOffset;

    /** Completes the read that waits with records that were given as keys and values in turn. */
    void deliver(String... keysAndValues) {
        List<KeyedRecord> records = new ArrayList<>();
        for (int index = 0; index < keysAndValues.length; index += 2) {
            records.add(new KeyedRecord(
                    keysAndValues[index], keysAndValues[index + 1].getBytes(StandardCharsets.UTF_8), endOffset));
            endOffset++;
        }
        pendingReads.remove().complete(new Page(records, endOffset));
    }

    /** Returns the number of reads that wait for records. */
    int pendingReads() {
        return pendingReads.size();
    }

    @Override
    public CompletableFuture<Page> readLatestByKey(String topic) {
        return read(topic, 0, Duration.ZERO);
    }

    @Override
    public CompletableFuture<Page> read(String topic, long fromOffset, Duration maxWait) {
        CompletableFuture<Page> pending = new CompletableFuture<>();
        pendingReads.add(pending);
        return pending;
    }

    @Override
    public CompletableFuture<Void> put(String topic, String key, byte[] value) {
        return CompletableFuture.completedFuture(null);
    }
}
