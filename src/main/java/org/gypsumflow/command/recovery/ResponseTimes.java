package org.gypsumflow.command.recovery;

import java.time.Duration;

/**
 * Estimates how long a response may take, from a smoothed mean and a smoothed deviation as TCP does for its
 * retransmission timeout (RFC 6298).
 */
final class ResponseTimes {
    private static final int MEAN_SHARE = 8;
    private static final int DEVIATION_SHARE = 4;
    private static final int DEVIATIONS = 4;

    private final long minNanos;
    private final long maxNanos;
    private long meanNanos;
    private long deviationNanos;
    private boolean measured;

    private ResponseTimes(Duration min, Duration max) {
        this.minNanos = min.toNanos();
        this.maxNanos = max.toNanos();
    }

    /** Creates an estimate without a measurement, which is the shortest one. */
    static ResponseTimes between(Duration min, Duration max) {
        return new ResponseTimes(min, max);
    }

    /** Records how long a response took. */
    void record(Duration elapsed) {
        long nanos = elapsed.toNanos();
        if (!measured) {
            measured = true;
            meanNanos = nanos;
            deviationNanos = nanos / 2;
            return;
        }
        deviationNanos += (Math.abs(nanos - meanNanos) - deviationNanos) / DEVIATION_SHARE;
        meanNanos += (nanos - meanNanos) / MEAN_SHARE;
    }

    /** Returns the time after which a response is not expected any more. */
    Duration timeout() {
        return Duration.ofNanos(Math.max(minNanos, Math.min(maxNanos, meanNanos + DEVIATIONS * deviationNanos)));
    }
}
