package org.gypsumflow.control;

import java.util.function.LongSupplier;

/**
 * The monotonic clock and the wall clock of a process, replaceable by tests.
 *
 * @param monotonicNanos monotonic clock, in nanoseconds from an arbitrary origin; for timeouts and ages
 * @param epochMillis wall clock, in milliseconds since the epoch; for displayed times and for expiry only
 */
public record TimeSource(LongSupplier monotonicNanos, LongSupplier epochMillis) {
    /**
     * Returns the clocks of this host.
     *
     * @return time source backed by {@link System}
     */
    public static TimeSource system() {
        return new TimeSource(System::nanoTime, System::currentTimeMillis);
    }

    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds from an arbitrary origin
     */
    public long nanoTime() {
        return monotonicNanos.getAsLong();
    }

    /**
     * Reads the wall clock.
     *
     * @return milliseconds since the epoch
     */
    public long currentTimeMillis() {
        return epochMillis.getAsLong();
    }
}
