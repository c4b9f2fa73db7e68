package org.gypsumflow.traffic;

import java.time.Duration;
import org.gypsumflow.command.balancing.BusyTime;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;

/** Measures how long the actions of another executor take. */
final class MeasuredExecutor implements SerialExecutor {
    private final SerialExecutor executor;
    private final TimeSource time;
    private final BusyTime busyTime;

    private MeasuredExecutor(SerialExecutor executor, TimeSource time, BusyTime busyTime) {
        this.executor = executor;
        this.time = time;
        this.busyTime = busyTime;
    }

    static MeasuredExecutor of(SerialExecutor executor, TimeSource time, BusyTime busyTime) {
        return new MeasuredExecutor(executor, time, busyTime);
    }

    @Override
    public void execute(Runnable action) {
        executor.execute(() -> measure(action));
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        executor.schedule(delay, () -> measure(action));
    }

    private void measure(Runnable action) {
        long startNanos = time.nanoTime();
        try {
            action.run();
        } finally {
            busyTime.record(startNanos, time.nanoTime());
        }
    }
}
