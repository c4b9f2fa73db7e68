package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.log.CompactedLog.ExpiredException;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;

/**
 * Reads a topic of a compacted log continuously and passes its records to two callbacks on the control thread: first
 * the latest record of each key, then each update.
 *
 * <p>Retries after outages, and starts over from the latest records when the log has deleted the next ones. Continues
 * with the next records after a callback has thrown an exception, which is logged.
 */
public final class CompactedLogConsumer {
    /**
     * Maximum time that a read waits for a record. A connection may have gone silent while a read waits on it, which
     * only the missing response shows: this time and {@link CompactedLog#RESPONSE_TIMEOUT} must end before the platform
     * counts the process as in touch again, which is after 3 s.
     */
    static final Duration MAX_READ_WAIT = Duration.ofSeconds(1);
    /** Delay after a call that failed at once; all processes share the log's rate limits. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    private final CompactedLog log;
    private final String topic;
    private final SerialExecutor controlExecutor;
    private final Consumer<Page> snapshotConsumer;
    private final Consumer<Page> updateConsumer;
    private final EventLog events;
    private final TimeSource time;
    private final LongConsumer readListener;
    private long nextOffset = -1;
    private boolean unreachable;

    private CompactedLogConsumer(
            CompactedLog log,
            String topic,
            SerialExecutor controlExecutor,
            Consumer<Page> snapshotConsumer,
            Consumer<Page> updateConsumer,
            EventLog events,
            TimeSource time,
            LongConsumer readListener) {
        this.log = log;
        this.topic = topic;
        this.controlExecutor = controlExecutor;
        this.snapshotConsumer = snapshotConsumer;
        this.updateConsumer = updateConsumer;
        this.events = events;
        this.time = time;
        this.readListener = readListener;
    }

    /**
     * Creates a consumer; it reads nothing before {@link #start}.
     *
     * @param log log that holds the topic
     * @param topic topic to consume
     * @param controlExecutor serial executor of the control thread, on which both consumers are called
     * @param snapshotConsumer receives the latest record of each key, which replaces everything received before
     * @param updateConsumer receives later records in the order of their offsets
     * @param events receives an event when the log becomes unreachable or reachable, and when a callback throws
     * @return the consumer
     */
    public static CompactedLogConsumer create(
            CompactedLog log,
            String topic,
            SerialExecutor controlExecutor,
            Consumer<Page> snapshotConsumer,
            Consumer<Page> updateConsumer,
            EventLog events) {
        return create(
                log,
                topic,
                controlExecutor,
                snapshotConsumer,
                updateConsumer,
                events,
                TimeSource.system(),
                nanos -> {});
    }

    /**
     * Creates a consumer; it reads nothing before {@link #start}.
     *
     * @param log log that holds the topic
     * @param topic topic to consume
     * @param controlExecutor serial executor of the control thread, on which the callbacks are called
     * @param snapshotConsumer receives the latest record of each key, which replaces everything received before
     * @param updateConsumer receives later records in the order of their offsets
     * @param events receives an event when the log becomes unreachable or reachable, and when a callback throws
     * @param time monotonic clock
     * @param readListener called after a consumer has applied the records of a read, with the time at which that was
     *     requested: all records stored before have been passed on
     * @return the consumer
     */
    public static CompactedLogConsumer create(
            CompactedLog log,
            String topic,
            SerialExecutor controlExecutor,
            Consumer<Page> snapshotConsumer,
            Consumer<Page> updateConsumer,
            EventLog events,
            TimeSource time,
            LongConsumer readListener) {
        return new CompactedLogConsumer(
                log, topic, controlExecutor, snapshotConsumer, updateConsumer, events, time, readListener);
    }

    /** Starts to consume the topic; there is no way to stop but to stop the executor. */
    public void start() {
        controlExecutor.execute(this::readSnapshot);
    }

    private void readSnapshot() {
        long requestedNanos = time.nanoTime();
        controlExecutor.whenDone(log.readLatestByKey(topic), (page, failure) -> {
            if (failure != null) {
                retry(failure, this::readSnapshot);
                return;
            }
            logReachable();
            nextOffset = page.endOffset();
            acceptAndContinue(snapshotConsumer, page, requestedNanos);
        });
    }

    private void readUpdates() {
        long requestedNanos = time.nanoTime();
        controlExecutor.whenDone(
                log.read(topic, nextOffset, MAX_READ_WAIT),
                (page, failure) -> updatesRead(page, failure, requestedNanos));
    }

    private void updatesRead(Page page, Throwable failure, long requestedNanos) {
        if (failure == null) {
            logReachable();
            nextOffset = Math.max(nextOffset, page.endOffset());
            acceptAndContinue(updateConsumer, page, requestedNanos);
            return;
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ExpiredException) {
            readSnapshot();
            return;
        }
        retry(cause, this::readUpdates);
    }

    /** Repeats a failed read; one that got no response has waited for long enough. */
    private void retry(Throwable failure, Runnable read) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        logUnreachable(cause);
        if (cause instanceof TimeoutException) {
            read.run();
        } else {
            controlExecutor.schedule(RETRY_DELAY, read);
        }
    }

    private void acceptAndContinue(Consumer<Page> consumer, Page page, long requestedNanos) {
        try {
            consumer.accept(page);
            readListener.accept(requestedNanos);
        } catch (RuntimeException failure) {
            events.write(Event.INTERNAL_ERROR, "the consumer of " + topic, failure);
        } finally {
            readUpdates();
        }
    }

    private void logUnreachable(Throwable failure) {
        if (!unreachable) {
            unreachable = true;
            events.write(Event.STORE_UNREACHABLE, "reads of " + topic, failure);
        }
    }

    private void logReachable() {
        if (unreachable) {
            unreachable = false;
            events.write(Event.STORE_REACHABLE);
        }
    }
}
