package org.gypsumflow.control;

import java.util.function.LongSupplier;

/**
 * Tells the time.
 *
 * @param monotonicNanos a clock that never goes back, in nanoseconds from an arbitrary origin
 * @param epochMillis the wall clock, in milliseconds since the epoch, for people and for expiry only
 */
public record TimeSource(LongSupplier monotonicNanos, LongSupplier epochMillis) {
    /**
     * Reads the machine's clocks.
     *
     * @return the time source
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
