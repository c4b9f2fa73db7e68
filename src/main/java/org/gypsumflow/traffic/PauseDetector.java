package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.Optional;
import org.gypsumflow.control.TimeSource;

/**
 * Detects that this process did not run for some time, from the time between two calls.
 *
 * <p>It goes by the clock that advanced further: the monotonic clock may stand still while a host is suspended, and the
 * wall clock may be set back.
 */
final class PauseDetector {
    /**
     * Time for which this process did not run.
     *
     * @param duration time by the clock that advanced further
     * @param isCertain false if only the wall clock advanced: the host was suspended, or the clock was set
     */
    record Pause(Duration duration, boolean isCertain) {}

    private final Duration threshold;
    private final TimeSource time;
    private long previousNanos;
    private long previousMillis;

    private PauseDetector(Duration threshold, TimeSource time) {
        this.threshold = threshold;
        this.time = time;
        restart();
    }

    /**
     * Creates a detector that measures from now on.
     *
     * @param threshold time without a call from which on the process counts as paused
     * @param time wall clock and monotonic clock
     * @return the detector
     */
    static PauseDetector create(Duration threshold, TimeSource time) {
        return new PauseDetector(threshold, time);
    }

    /** Measures from now on, as if the process had run until now. */
    void restart() {
        previousNanos = time.nanoTime();
        previousMillis = time.currentTimeMillis();
    }

    /**
     * Measures the time since the last call.
     *
     * @return the pause if that time exceeds the threshold
     */
    Optional<Pause> detect() {
        Duration monotonicGap = Duration.ofNanos(time.nanoTime() - previousNanos);
        Duration wallGap = Duration.ofMillis(time.currentTimeMillis() - previousMillis);
        restart();
        Duration gap = monotonicGap.compareTo(wallGap) > 0 ? monotonicGap : wallGap;
        boolean isCertain = monotonicGap.compareTo(threshold) > 0;
        return gap.compareTo(threshold) > 0 ? Optional.of(new Pause(gap, isCertain)) : Optional.empty();
    }
}
