package org.gypsumflow.command.balancing;

import java.time.Duration;

/** Measures the share of the time in which a thread is busy, smoothed over a few intervals. Confined to that thread. */
public final class BusyTime {
    private static final Duration INTERVAL = Duration.ofMillis(100);
    /** Weight of the newest interval. */
    private static final double SMOOTHING = 0.5;

    private long intervalStartNanos;
    private long busyNanos;
    private double share;

    private BusyTime(long nowNanos) {
        this.intervalStartNanos = nowNanos;
    }

    /**
     * Creates a measurement of a thread that was idle before.
     *
     * @param nowNanos current monotonic time
     * @return the measurement
     */
    public static BusyTime create(long nowNanos) {
        return new BusyTime(nowNanos);
    }

    /**
     * Records that the thread was busy.
     *
     * @param startNanos monotonic time at which an action began
     * @param endNanos monotonic time at which it ended
     */
    public void record(long startNanos, long endNanos) {
        busyNanos += Math.max(0, endNanos - startNanos);
        completeIntervalIfDue(endNanos);
    }

    /**
     * Returns the share of the recent time in which the thread was busy.
     *
     * @param nowNanos current monotonic time
     * @return the share, from 0.0 to 1.0
     */
    public double share(long nowNanos) {
        completeIntervalIfDue(nowNanos);
        return share;
    }

    private void completeIntervalIfDue(long nowNanos) {
        long elapsedNanos = nowNanos - intervalStartNanos;
        if (elapsedNanos < INTERVAL.toNanos()) {
            return;
        }
        double newest = Math.min(1.0, (double) busyNanos / elapsedNanos);
        share += SMOOTHING * (newest - share);
        intervalStartNanos = nowNanos;
        busyNanos = 0;
    }
}
