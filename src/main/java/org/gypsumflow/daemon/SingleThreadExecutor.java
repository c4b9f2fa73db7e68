package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;

/** Serial executor on one daemon thread of its own. */
public final class SingleThreadExecutor implements SerialExecutor, AutoCloseable {
    private final ScheduledExecutorService thread;
    private final String name;
    private final EventLog events;

    private SingleThreadExecutor(String name, EventLog events) {
        this.name = name;
        this.events = events;
        this.thread = Executors.newSingleThreadScheduledExecutor(action -> {
            Thread newThread = new Thread(action, name);
            newThread.setDaemon(true);
            return newThread;
        });
    }

    /**
     * Creates an executor; its thread starts with the first action.
     *
     * @param name name of the thread
     * @param events receives an event for each action that throws an exception or an error
     * @return the executor
     */
    public static SingleThreadExecutor create(String name, EventLog events) {
        return new SingleThreadExecutor(name, events);
    }

    @Override
    public void execute(Runnable action) {
        try {
            thread.execute(() -> runSafely(action));
        } catch (RejectedExecutionException stopped) {
            // The executor was closed: the daemon is stopping, and nothing waits for the action any more.
        }
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        try {
            thread.schedule(() -> runSafely(action), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException stopped) {
            // The executor was closed: the daemon is stopping, and nothing waits for the action any more.
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }

    // An error, such as a stack overflow, would vanish in the future that the thread pool keeps for the action.
    private void runSafely(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error failure) {
            events.write(Event.INTERNAL_ERROR, "thread " + name, failure);
        }
    }
}
