package org.gypsumflow.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.gypsumflow.log.CompactedLog;

/**
 * Compacted log for tests, by the clock of a {@link ManualExecutor}. The reads that are open when its connections go
 * silent get no response, and later ones, which use other connections, do.
 */
final class SilenceableLog implements CompactedLog {
    private final SerialExecutor clock;
    private final List<KeyedRecord> records = new ArrayList<>();
    private final List<Runnable> waitingReads = new ArrayList<>();
    private int reads;
    private int silences;

    SilenceableLog(SerialExecutor clock) {
        this.clock = clock;
    }

    /** Lets the open connections go silent. */
    void silenceOpenConnections() {
        silences++;
        waitingReads.clear();
    }

    /** Appends a record and answers the reads that wait for one. */
    void append(String key) {
        records.add(new KeyedRecord(key, key.getBytes(StandardCharsets.UTF_8), records.size()));
        List<Runnable> answered = List.copyOf(waitingReads);
        waitingReads.clear();
        answered.forEach(Runnable::run);
    }

    /** Returns the number of reads of updates so far. */
    int reads() {
        return reads;
    }

    @Override
    public CompletableFuture<Page> readLatestByKey(String topic) {
        return CompletableFuture.completedFuture(new Page(records, records.size()));
    }

    @Override
    public CompletableFuture<Page> read(String topic, long fromOffset, Duration maxWait) {
        reads++;
        CompletableFuture<Page> response = new CompletableFuture<>();
        Runnable answer =
                () -> response.complete(new Page(records.subList((int) fromOffset, records.size()), records.size()));
        int silencesBefore = silences;
        if (fromOffset < records.size()) {
            clock.schedule(Duration.ofMillis(1), answer);
        } else {
            waitingReads.add(answer);
            clock.schedule(maxWait, () -> {
                if (silences == silencesBefore) {
                    answer.run();
                }
            });
        }
        clock.schedule(maxWait.plus(RESPONSE_TIMEOUT), () -> response.completeExceptionally(new TimeoutException()));
        return response;
    }

    @Override
    public CompletableFuture<Void> put(String topic, String key, byte[] value) {
        return CompletableFuture.completedFuture(null);
    }
}
