package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;

/** A lane on a thread of its own. */
public final class SingleThreadExecutor implements SerialExecutor, AutoCloseable {
    private final ScheduledExecutorService thread;
    private final String name;
    private final EventLog events;

    private SingleThreadExecutor(String name, EventLog events) {
        this.name = name;
        this.events = events;
        this.thread = Executors.newSingleThreadScheduledExecutor(action -> {
            Thread created = new Thread(action, name);
            created.setDaemon(true);
            return created;
        });
    }

    /**
     * Starts the thread.
     *
     * @param name name of the thread
     * @param events hears of actions that failed
     * @return the lane
     */
    public static SingleThreadExecutor create(String name, EventLog events) {
        return new SingleThreadExecutor(name, events);
    }

    @Override
    public void execute(Runnable action) {
        try {
            thread.execute(() -> runSafely(action));
        } catch (RejectedExecutionException stopped) {
            // The daemon is stopping and nothing waits for the action any more.
        }
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        try {
            thread.schedule(() -> runSafely(action), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException stopped) {
            // The daemon is stopping and nothing waits for the action any more.
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }

    private void runSafely(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException failure) {
            events.write(Event.INTERNAL_ERROR, "thread " + name, failure);
        }
    }
}
