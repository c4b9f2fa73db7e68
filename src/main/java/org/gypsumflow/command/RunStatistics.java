package org.gypsumflow.command;

import java.time.Duration;

/** Learns from ended runs how fast and how sound a worker is. */
final class RunStatistics {
    /** A run counts as overdue from this multiple of its expected time; estimates are off by less. */
    static final double OVERDUE_FACTOR = 1.8;
    /** A worker is taken to be slow when at least one in this many runs is overdue. */
    static final int OVERDUE_FRACTION_DENOMINATOR = 3;
    /** Shortest time without progress after which a run stands still; progress is reported in whole percents. */
    static final Duration MIN_STALL_TIME = Duration.ofMillis(300);

    /** Weight of a new run; twenty runs, about a second of work of a busy worker, replace the past. */
    private static final double WEIGHT = 0.05;
    /** Weight of a new result for the share of failures; a few failures in a row put a worker aside. */
    private static final double FAILURE_WEIGHT = 0.15;
    /** Time in which a share of failures that nothing confirms halves, so that a worker is tried again. */
    private static final Duration FAILURE_HALF_LIFE = Duration.ofMillis(1500);
    /** Assumed mean running time before any run has ended. */
    private static final Duration FIRST_MEAN = Duration.ofMillis(250);

    private double slowness = 1;
    private double meanRunNanos = (double) FIRST_MEAN.toNanos();
    private double failing;
    private long failingAsOfNanos;
    private int runs;

    private RunStatistics() {}

    static RunStatistics create() {
        return new RunStatistics();
    }

    void recordSuccess(Duration ran, Duration estimate, long nowNanos) {
        runs++;
        double weight = Math.max(WEIGHT, 1.0 / (runs + 1));
        double ratio = (double) ran.toNanos() / (double) Math.max(1, estimate.toNanos());
        slowness += weight * (ratio - slowness);
        meanRunNanos += weight * ((double) ran.toNanos() - meanRunNanos);
        result(0, nowNanos);
    }

    void recordFailure(long nowNanos) {
        result(1, nowNanos);
    }

    double slowdown() {
        return slowness;
    }

    Duration meanRunDuration() {
        return Duration.ofNanos((long) meanRunNanos);
    }

    double failureRate(long nowNanos) {
        double halves = (double) (nowNanos - failingAsOfNanos) / (double) FAILURE_HALF_LIFE.toNanos();
        return failing * Math.pow(0.5, Math.max(0, halves));
    }

    private void result(int failed, long nowNanos) {
        failing = failureRate(nowNanos) + FAILURE_WEIGHT * (failed - failureRate(nowNanos));
        failingAsOfNanos = nowNanos;
    }
}
