package org.gypsumflow.command;

import java.time.Duration;

/** Running averages of the slowdown, run duration and failure rate of one worker. */
final class RunStatistics {
    /** Multiple of its expected duration from which a run counts as overdue; estimates are off by less. */
    static final double OVERDUE_FACTOR = 1.8;
    /** A worker counts as slow if at least one in this many of its running tasks is overdue. */
    static final int OVERDUE_FRACTION_DENOMINATOR = 3;
    /** Minimum time without progress before a run counts as stalled; progress is reported in whole percents. */
    static final Duration MIN_STALL_TIME = Duration.ofMillis(300);

    /** Weight of a new run: 20 runs, about a second of work of a busy worker, replace the earlier ones. */
    private static final double DURATION_WEIGHT = 0.05;
    /** Weight of a new run in the failure rate: after a few consecutive failures a worker gets no more tasks. */
    private static final double FAILURE_WEIGHT = 0.15;
    /** Time in which the failure rate halves without further runs, so that the worker is tried again. */
    private static final Duration FAILURE_HALF_LIFE = Duration.ofMillis(1500);
    /** Mean run duration assumed before any run has finished. */
    private static final Duration INITIAL_MEAN_DURATION = Duration.ofMillis(250);

    private double slowdown = 1;
    private double meanRunNanos = (double) INITIAL_MEAN_DURATION.toNanos();
    private double failureRate;
    private long failureRateUpdatedNanos;
    private int runCount;

    private RunStatistics() {}

    static RunStatistics create() {
        return new RunStatistics();
    }

    void recordSuccess(Duration runDuration, Duration estimate, long nowNanos) {
        runCount++;
        double weight = Math.max(DURATION_WEIGHT, 1.0 / (runCount + 1));
        double ratio = (double) runDuration.toNanos() / (double) Math.max(1, estimate.toNanos());
        slowdown += weight * (ratio - slowdown);
        meanRunNanos += weight * ((double) runDuration.toNanos() - meanRunNanos);
        updateFailureRate(0, nowNanos);
    }

    void recordFailure(long nowNanos) {
        updateFailureRate(1, nowNanos);
    }

    double slowdown() {
        return slowdown;
    }

    Duration meanRunDuration() {
        return Duration.ofNanos((long) meanRunNanos);
    }

    double failureRate(long nowNanos) {
        double halfLives = (double) (nowNanos - failureRateUpdatedNanos) / (double) FAILURE_HALF_LIFE.toNanos();
        return failureRate * Math.pow(0.5, Math.max(0, halfLives));
    }

    private void updateFailureRate(int failed, long nowNanos) {
        failureRate = failureRate(nowNanos) + FAILURE_WEIGHT * (failed - failureRate(nowNanos));
        failureRateUpdatedNanos = nowNanos;
    }
}
