package org.gypsumflow.control;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Observes the thread that reads the connections with a timer on it. Between two runs of the timer the thread has looked
 * at all its connections, so that at the second run everything is read that had arrived before the first.
 */
public final class ReceptionMonitor implements ReceptionProgress {
    /** Time between two runs of the timer; the observed progress is at least as old. */
    public static final Duration INTERVAL = Duration.ofMillis(50);

    private final TimeSource time;
    private final Consumer<Duration> delayListener;
    private volatile long receivedUntilNanos;
    private long previousRunNanos;

    private ReceptionMonitor(TimeSource time, Consumer<Duration> delayListener) {
        this.time = time;
        this.delayListener = delayListener;
        this.previousRunNanos = time.nanoTime();
        this.receivedUntilNanos = previousRunNanos;
    }

    /**
     * Starts to observe a thread, for as long as it runs.
     *
     * @param transportThread thread that reads the connections; it looks at them between two of its timers
     * @param time clocks
     * @param delayListener receives, on that thread, how late each run of the timer is; zero if it is not late
     * @return the monitor
     */
    public static ReceptionMonitor start(
            SerialExecutor transportThread, TimeSource time, Consumer<Duration> delayListener) {
        ReceptionMonitor monitor = new ReceptionMonitor(time, delayListener);
        transportThread.scheduleWithFixedDelay(INTERVAL, () -> {
            monitor.connectionsRead();
            return true;
        });
        return monitor;
    }

    @Override
    public long receivedUntilNanos() {
        return receivedUntilNanos;
    }

    private void connectionsRead() {
        long nowNanos = time.nanoTime();
        long delayNanos = nowNanos - previousRunNanos - INTERVAL.toNanos();
        receivedUntilNanos = previousRunNanos;
        previousRunNanos = nowNanos;
        delayListener.accept(Duration.ofNanos(Math.max(0, delayNanos)));
    }
}
