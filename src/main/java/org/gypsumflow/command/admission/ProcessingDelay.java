package org.gypsumflow.command.admission;

import java.time.Duration;

/**
 * Measures how long requests wait in this process before it acts on them, which shows whether its processor keeps up.
 *
 * <p>The smallest delay of an interval is a standing delay: a short burst that is worked off within the interval leaves
 * it low. Confined to one thread.
 */
public final class ProcessingDelay {
    /** Length of an interval; a burst that is worked off within it is no overload. */
    public static final Duration INTERVAL = Duration.ofMillis(100);

    private long intervalStartNanos;
    private long smallestNanos = Long.MAX_VALUE;
    private long previousSmallestNanos;

    private ProcessingDelay(long nowNanos) {
        this.intervalStartNanos = nowNanos;
    }

    /**
     * Creates a measurement without delays.
     *
     * @param nowNanos current monotonic time
     * @return the measurement
     */
    public static ProcessingDelay create(long nowNanos) {
        return new ProcessingDelay(nowNanos);
    }

    /**
     * Records the delay of one request or of one probe.
     *
     * @param delay time from its arrival until this process acted on it
     * @param nowNanos current monotonic time
     */
    public void record(Duration delay, long nowNanos) {
        long delayNanos = Math.max(0, delay.toNanos());
        startIntervalIfDue(delayNanos, nowNanos);
        smallestNanos = Math.min(smallestNanos, delayNanos);
    }

    /**
     * Returns the smallest delay of the last complete interval.
     *
     * @param nowNanos current monotonic time
     * @return the delay; zero if nothing was recorded in that interval
     */
    public Duration standing(long nowNanos) {
        startIntervalIfDue(0, nowNanos);
        return Duration.ofNanos(previousSmallestNanos);
    }

    private void startIntervalIfDue(long delayNanos, long nowNanos) {
        long elapsedNanos = nowNanos - intervalStartNanos;
        if (elapsedNanos < INTERVAL.toNanos()) {
            return;
        }
        boolean consecutive = elapsedNanos < 2 * INTERVAL.toNanos();
        if (consecutive) {
            previousSmallestNanos = smallestNanos == Long.MAX_VALUE ? 0 : smallestNanos;
        } else {
            // What waited for a whole interval shows that nothing faster was acted on in it.
            previousSmallestNanos = delayNanos >= INTERVAL.toNanos() ? delayNanos : 0;
        }
        smallestNanos = Long.MAX_VALUE;
        intervalStartNanos = nowNanos;
    }
}
