package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.log.CompactedLog.ExpiredException;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;

/** Follows a topic of a keyed log on the control lane, through outages and deleted history. */
public final class CompactedLogConsumer {
    /** Longest wait of one read; calls are priced, so that a quiet topic costs few. */
    private static final Duration LONG_READ = Duration.ofSeconds(20);
    /** Pause after a failed call; the log's rates are shared by all processes. */
    private static final Duration PAUSE = Duration.ofMillis(400);

    private final CompactedLog log;
    private final String topic;
    private final SerialExecutor control;
    private final Consumer<Page> whole;
    private final Consumer<Page> changes;
    private final EventLog events;
    private long next = -1;
    private boolean lost;

    private CompactedLogConsumer(
            CompactedLog log,
            String topic,
            SerialExecutor control,
            Consumer<Page> whole,
            Consumer<Page> changes,
            EventLog events) {
        this.log = log;
        this.topic = topic;
        this.control = control;
        this.whole = whole;
        this.changes = changes;
        this.events = events;
    }

    /**
     * Creates a follower that has read nothing.
     *
     * @param log the log
     * @param topic the topic
     * @param control the control lane
     * @param whole takes the newest record of each key, in place of what it took before
     * @param changes takes later records in order
     * @param events receives numbered events
     * @return the follower
     */
    public static CompactedLogConsumer create(
            CompactedLog log,
            String topic,
            SerialExecutor control,
            Consumer<Page> whole,
            Consumer<Page> changes,
            EventLog events) {
        return new CompactedLogConsumer(log, topic, control, whole, changes, events);
    }

    /** Begins to follow. */
    public void start() {
        control.execute(this::readWhole);
    }

    private void readWhole() {
        control.whenDone(log.readLatestByKey(topic), (page, failure) -> {
            if (failure != null) {
                failed(failure);
                control.schedule(PAUSE, this::readWhole);
                return;
            }
            regained();
            next = page.endOffset();
            whole.accept(page);
            readOn();
        });
    }

    private void readOn() {
        control.whenDone(log.read(topic, next, LONG_READ), this::took);
    }

    private void took(Page page, Throwable failure) {
        if (failure == null) {
            regained();
            next = Math.max(next, page.endOffset());
            changes.accept(page);
            readOn();
            return;
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ExpiredException) {
            readWhole();
            return;
        }
        failed(cause);
        control.schedule(PAUSE, this::readOn);
    }

    private void failed(Throwable failure) {
        if (!lost) {
            lost = true;
            events.write(Event.STORE_UNREACHABLE, "reads of " + topic, failure);
        }
    }

    private void regained() {
        if (lost) {
            lost = false;
            events.write(Event.STORE_REACHABLE);
        }
    }
}
