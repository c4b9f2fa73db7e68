package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;

/** Serial executor on one thread. */
public final class SingleThreadExecutor implements SerialExecutor, AutoCloseable {
    private final ScheduledExecutorService thread;
    private final String name;
    private final EventLog events;

    private SingleThreadExecutor(String name, ScheduledExecutorService thread, EventLog events) {
        this.name = name;
        this.thread = thread;
        this.events = events;
    }

    /**
     * Creates an executor; its thread starts with the first action.
     *
     * @param name name of the thread
     * @param events receives an event for each action that throws an exception or an error
     * @return the executor
     */
    public static SingleThreadExecutor create(String name, EventLog events) {
        return on(
                Executors.newSingleThreadScheduledExecutor(action -> {
                    Thread newThread = new Thread(action, name);
                    newThread.setDaemon(true);
                    return newThread;
                }),
                name,
                events);
    }

    /**
     * Creates an executor on a thread that others use as well, such as that of a transport.
     *
     * @param thread executes actions one at a time; its owner ends it, so that this executor need not be closed
     * @param name name of the executor in log events
     * @param events receives an event for each action that throws an exception or an error
     * @return the executor
     */
    public static SingleThreadExecutor on(ScheduledExecutorService thread, String name, EventLog events) {
        return new SingleThreadExecutor(name, thread, events);
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
