package org.gypsumflow.command;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the rate at which one entry appends to all of its claim streams; thread-safe. */
public final class AppendRateLimiter {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long intervalNanos;
    private final long burstNanos;
    private final AtomicLong nextAppendNanos = new AtomicLong(Long.MIN_VALUE);

    private AppendRateLimiter(int perSecond, int burst) {
        this.intervalNanos = NANOS_PER_SECOND / perSecond;
        this.burstNanos = intervalNanos * burst;
    }

    /**
     * Creates a rate limiter.
     *
     * @param perSecond maximum appends per second in the long run
     * @param burst number of appends that may be sent without delay after an idle period
     * @return the rate limiter
     */
    public static AppendRateLimiter create(int perSecond, int burst) {
        return new AppendRateLimiter(perSecond, burst);
    }

    /**
     * Reserves one append.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return the delay in nanoseconds after which the append may be sent; 0 if it may be sent immediately
     */
    public long reserveDelayNanos(long nowNanos) {
        long earliest = nowNanos - burstNanos;
        long previous = nextAppendNanos.getAndUpdate(next -> Math.max(next, earliest) + intervalNanos);
        return Math.max(0, Math.max(previous, earliest) - nowNanos);
    }
}
