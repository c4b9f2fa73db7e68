package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;

/**
 * Lets an agent read the records of the operator itself while none of the entries in contact confirms that it follows
 * them: the store may turn the entries away and still serve the operator and the agent. If the agent gets no response
 * either, what was in force is kept.
 *
 * <p>From the moment at which a record is stored, an entry that cannot read it confirms its routing state for {@link
 * RoutingStateCache#READ_VALIDITY}, its last such heartbeat holds for {@link BestEffortTimings#CONFIRMED_CONTACT_LIMIT},
 * a check is due {@link #CHECK_INTERVAL} later, and a read on a connection that has gone silent takes {@link
 * CompactedLog#RESPONSE_TIMEOUT} and a further check: 4,700 ms, below the 5 s within which a closed zone has to be in
 * force. Confined to the control thread.
 */
public final class RoutingStateFallback {
    static final Duration CHECK_INTERVAL = Duration.ofMillis(150);
    /** Delay after a read that failed at once; all processes share the store's rate limits. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final CompactedLog log;
    private final String topic;
    private final SerialExecutor controlExecutor;
    private final TimeSource time;
    private final RoutingStateCache routingState;
    private final BooleanSupplier isInContact;
    private final Consumer<Page> snapshotConsumer;
    private final EventLog events;
    private final DecisionCounter counter;
    private boolean active;
    private long activeSinceNanos;
    private int reads;
    private boolean readPending;

    private RoutingStateFallback(
            CompactedLog log,
            String topic,
            SerialExecutor controlExecutor,
            TimeSource time,
            RoutingStateCache routingState,
            BooleanSupplier isInContact,
            Consumer<Page> snapshotConsumer,
            EventLog events,
            DecisionCounter counter) {
        this.log = log;
        this.topic = topic;
        this.controlExecutor = controlExecutor;
        this.time = time;
        this.routingState = routingState;
        this.isInContact = isInContact;
        this.snapshotConsumer = snapshotConsumer;
        this.events = events;
        this.counter = counter;
    }

    /**
     * Creates a fallback that reads nothing before {@link #start}.
     *
     * @param log log that holds the topic
     * @param topic topic of the operator's records
     * @param controlExecutor serial executor of the control thread
     * @param time monotonic clock
     * @param routingState routing state that has to be confirmed
     * @param isInContact tells whether any entry is connected; without one there is nothing to decide
     * @param snapshotConsumer receives the latest record of each key
     * @param events receives an event when the reads begin and end
     * @param counter counts the reads
     * @return the fallback
     */
    public static RoutingStateFallback create(
            CompactedLog log,
            String topic,
            SerialExecutor controlExecutor,
            TimeSource time,
            RoutingStateCache routingState,
            BooleanSupplier isInContact,
            Consumer<Page> snapshotConsumer,
            EventLog events,
            DecisionCounter counter) {
        return new RoutingStateFallback(
                log, topic, controlExecutor, time, routingState, isInContact, snapshotConsumer, events, counter);
    }

    /** Starts to look for confirmations; there is no way to stop but to stop the executor. */
    public void start() {
        controlExecutor.scheduleWithFixedDelay(CHECK_INTERVAL, () -> {
            check();
            return true;
        });
    }

    private void check() {
        long nowNanos = time.nanoTime();
        if (!isInContact.getAsBoolean() || routingState.isConfirmedByMember(nowNanos)) {
            end(nowNanos);
        } else if (!readPending && !routingState.isConfirmed(nowNanos)) {
            begin(nowNanos);
            read(nowNanos);
        }
    }

    private void begin(long nowNanos) {
        if (!active) {
            active = true;
            activeSinceNanos = nowNanos;
            reads = 0;
            events.write(Event.ROUTING_UNCONFIRMED);
        }
    }

    private void end(long nowNanos) {
        if (active) {
            active = false;
            events.write(
                    Event.ROUTING_CONFIRMED,
                    Duration.ofNanos(nowNanos - activeSinceNanos).toMillis(),
                    reads);
        }
    }

    private void read(long requestedNanos) {
        readPending = true;
        reads++;
        controlExecutor.whenDone(log.readLatestByKey(topic), (page, failure) -> {
            if (failure == null) {
                readPending = false;
                counter.increment("routing_state_reads", "succeeded");
                snapshotConsumer.accept(page);
                routingState.confirmRead(requestedNanos);
            } else {
                counter.increment("routing_state_reads", "failed");
                readFailed(failure);
            }
        });
    }

    /** Allows the next read; one that got no response has waited for long enough. */
    private void readFailed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof TimeoutException) {
            readPending = false;
        } else {
            controlExecutor.schedule(RETRY_DELAY, () -> readPending = false);
        }
    }
}
