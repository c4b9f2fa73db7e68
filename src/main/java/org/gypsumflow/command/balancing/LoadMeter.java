package org.gypsumflow.command.balancing;

import java.time.Duration;

/**
 * Measures the load of a process on one of its threads: the share of the time that the thread is busy, and how long
 * requests and timers wait for it. Both are smoothed over a few intervals. Confined to that thread.
 *
 * <p>The mean delay counts, and late timers with it: a process that gets little processor time comes late to its own
 * measurements, and must not look idle for that.
 */
public final class LoadMeter {
    private static final Duration MIN_INTERVAL = Duration.ofMillis(50);
    /** Weight of the newest interval: of entries that are equally busy, none should look idle for a moment. */
    private static final double SMOOTHING = 0.2;

    private long intervalStartNanos;
    private long busyNanos;
    private long delayNanos;
    private int delayCount;
    private double busyShare;
    private double meanDelayNanos;

    private LoadMeter(long nowNanos) {
        this.intervalStartNanos = nowNanos;
    }

    /**
     * Creates a meter of a thread that was idle before.
     *
     * @param nowNanos current monotonic time
     * @return the meter
     */
    public static LoadMeter create(long nowNanos) {
        return new LoadMeter(nowNanos);
    }

    /**
     * Records that the thread was busy.
     *
     * @param startNanos monotonic time at which an action began
     * @param endNanos monotonic time at which it ended
     */
    public void recordAction(long startNanos, long endNanos) {
        busyNanos += Math.max(0, endNanos - startNanos);
    }

    /**
     * Records how long a request or a timer waited for the thread.
     *
     * @param delay time from its arrival, or the time at which it was due, until now
     */
    public void recordDelay(Duration delay) {
        delayNanos += Math.max(0, delay.toNanos());
        delayCount++;
    }

    /**
     * Ends an interval of the measurement; called periodically, and ignored if the interval is too short.
     *
     * @param nowNanos current monotonic time
     */
    public void completeInterval(long nowNanos) {
        long elapsedNanos = nowNanos - intervalStartNanos;
        if (elapsedNanos < MIN_INTERVAL.toNanos()) {
            return;
        }
        busyShare += SMOOTHING * (Math.min(1.0, (double) busyNanos / elapsedNanos) - busyShare);
        meanDelayNanos += SMOOTHING * ((double) delayNanos / Math.max(1, delayCount) - meanDelayNanos);
        intervalStartNanos = nowNanos;
        busyNanos = 0;
        delayNanos = 0;
        delayCount = 0;
    }

    /**
     * Returns the share of the recent time in which the thread was busy.
     *
     * @return the share, from 0.0 to 1.0
     */
    public double busyShare() {
        return busyShare;
    }

    /**
     * Returns how long requests and timers waited for the thread recently.
     *
     * @return the mean delay
     */
    public Duration delay() {
        return Duration.ofNanos((long) meanDelayNanos);
    }
}
