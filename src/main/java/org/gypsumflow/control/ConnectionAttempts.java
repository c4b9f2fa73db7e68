package org.gypsumflow.control;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.gypsumflow.model.MemberName;

/**
 * Decides when the connections to members are opened: a few at a time, in the order in which they were requested.
 *
 * <p>A process that has just started opens one to each member. All at once they would delay the heartbeats on those that
 * are open, until they time out and have to be opened again. Confined to the control thread.
 */
final class ConnectionAttempts {
    /** Connections that are being opened at the same time. */
    private static final int MAX_CONCURRENT = 4;
    /** Time after which an attempt makes room for the next: a member that is gone must not hold up the others. */
    private static final Duration SLOT_TIME = Duration.ofMillis(100);

    private final SerialExecutor controlExecutor;
    private final BiConsumer<MemberName, Runnable> attempt;
    private final Set<MemberName> waiting = new LinkedHashSet<>();
    private int running;

    private ConnectionAttempts(SerialExecutor controlExecutor, BiConsumer<MemberName, Runnable> attempt) {
        this.controlExecutor = controlExecutor;
        this.attempt = attempt;
    }

    /**
     * Creates a queue without requests.
     *
     * @param controlExecutor serial executor of the control thread
     * @param attempt opens the connection to a member, unless it is not needed any more, and runs the given action when it
     *     is open, has failed or is not needed
     * @return the queue
     */
    static ConnectionAttempts create(SerialExecutor controlExecutor, BiConsumer<MemberName, Runnable> attempt) {
        return new ConnectionAttempts(controlExecutor, attempt);
    }

    /** Requests an attempt, immediately if there is room; a member that waits already keeps its place. */
    void request(MemberName member) {
        waiting.add(member);
        startWaiting();
    }

    private void startWaiting() {
        while (running < MAX_CONCURRENT && !waiting.isEmpty()) {
            MemberName next = waiting.iterator().next();
            waiting.remove(next);
            attempt.accept(next, occupySlot());
        }
    }

    /** Returns the action that frees the slot, which also happens after the slot time. */
    private Runnable occupySlot() {
        running++;
        AtomicBoolean occupied = new AtomicBoolean(true);
        Runnable free = () -> {
            if (occupied.getAndSet(false)) {
                running--;
                startWaiting();
            }
        };
        controlExecutor.schedule(SLOT_TIME, free);
        return free;
    }
}
