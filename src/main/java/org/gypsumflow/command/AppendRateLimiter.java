package org.gypsumflow.command;

import java.util.concurrent.atomic.AtomicLong;

/** Spaces the appends of all claim streams of one entry; safe for use by several threads. */
public final class AppendRateLimiter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long intervalNanos;
    private final long burstNanos;
    private final AtomicLong nextNanos = new AtomicLong(Long.MIN_VALUE);

    private AppendRateLimiter(int perSecond, int burst) {
        this.intervalNanos = NANOS_PER_SECOND / perSecond;
        this.burstNanos = intervalNanos * burst;
    }

    /**
     * Creates a budget.
     *
     * @param perSecond appends a second
     * @param burst appends that may follow each other at once after a pause
     * @return the budget
     */
    public static AppendRateLimiter create(int perSecond, int burst) {
        return new AppendRateLimiter(perSecond, burst);
    }

    /**
     * Takes one append.
     *
     * @param nowNanos monotonic time
     * @return how long to wait before it may be sent, in nanoseconds
     */
    public long reserveDelayNanos(long nowNanos) {
        long earliest = nowNanos - burstNanos;
        long previous = nextNanos.getAndUpdate(next -> Math.max(next, earliest) + intervalNanos);
        return Math.max(0, Math.max(previous, earliest) - nowNanos);
    }
}
