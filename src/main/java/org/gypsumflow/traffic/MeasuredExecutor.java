package org.gypsumflow.traffic;

import java.time.Duration;
import org.gypsumflow.command.balancing.LoadMeter;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;

/** Measures how long the actions of another executor take. */
final class MeasuredExecutor implements SerialExecutor {
    private final SerialExecutor executor;
    private final TimeSource time;
    private final LoadMeter loadMeter;

    private MeasuredExecutor(SerialExecutor executor, TimeSource time, LoadMeter loadMeter) {
        this.executor = executor;
        this.time = time;
        this.loadMeter = loadMeter;
    }

    static MeasuredExecutor of(SerialExecutor executor, TimeSource time, LoadMeter loadMeter) {
        return new MeasuredExecutor(executor, time, loadMeter);
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
            loadMeter.recordAction(startNanos, time.nanoTime());
        }
    }
}
