package org.gypsumflow.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.MemberName;

/**
 * Estimates the slowdown of workers from jobs whose tasks ran on several of them.
 *
 * <p>The tasks of a job take about equally long, so their run durations compare the workers even if the job's
 * estimate is wrong. Comparing run durations with estimates would not: a worker that looks slow gets only jobs with
 * low estimates, and therefore looks slower still.
 */
final class WorkerSpeedEstimator {
    /** Weight of a new run in the recent slowdown: ten runs, about a second of a busy worker, replace earlier ones. */
    private static final double RECENT_WEIGHT = 0.1;
    /** Weight of a new run in the long-term slowdown; a disruption of a few seconds hardly changes it. */
    private static final double LONG_TERM_WEIGHT = 0.01;
    /** Weight of a new job in the bias that all estimates have in common. */
    private static final double ESTIMATE_BIAS_WEIGHT = 0.005;
    /** Time without runs in which the recent slowdown returns halfway to the long-term one, to try a worker again. */
    private static final Duration RECOVERY_HALF_LIFE = Duration.ofMillis(1500);
    /** Runs after which the slowdown of a worker is known about as exactly as it will ever be. */
    private static final int MIN_COMPARED_RUNS = 10;
    /** Maximum deviation taken from one run, as a natural logarithm, so that a single hang counts no more than that. */
    private static final double MAX_DEVIATION = 2;

    /**
     * One run of a task.
     *
     * @param agent agent of the worker
     * @param runDuration how long the run took
     * @param surroundings what ran beside it
     */
    record Sample(MemberName agent, Duration runDuration, RunSurroundings surroundings) {}

    /** Slowdown of one worker relative to the common bias of the estimates, as natural logarithms. */
    private static final class Speed {
        private double recent;
        private double longTerm;
        private int runCount;
        private long updatedNanos;

        private double logSlowdownAt(long nowNanos) {
            double halfLives = (double) (nowNanos - updatedNanos) / (double) RECOVERY_HALF_LIFE.toNanos();
            return longTerm + (recent - longTerm) * Math.pow(0.5, Math.max(0, halfLives));
        }

        private void update(double deviation, long nowNanos) {
            double boundedDeviation = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
            runCount++;
            double observed = logSlowdownAt(nowNanos) + boundedDeviation;
            recent = logSlowdownAt(nowNanos) + Math.max(RECENT_WEIGHT, 1.0 / (runCount + 1)) * boundedDeviation;
            longTerm += Math.max(LONG_TERM_WEIGHT, 1.0 / (runCount + 1)) * (observed - longTerm);
            updatedNanos = nowNanos;
        }
    }

    private final Map<MemberName, Speed> speeds = new HashMap<>();
    private double estimateBias;
    private int jobCount;

    private WorkerSpeedEstimator() {}

    static WorkerSpeedEstimator create() {
        return new WorkerSpeedEstimator();
    }

    /**
     * Updates the slowdowns from a completed job; the workers are only compared if the tasks ran on several.
     *
     * @param samples one run for each task, at least one
     * @param estimate estimated run duration of one task
     * @param nowNanos current monotonic time
     */
    void recordCompletedJob(List<Sample> samples, Duration estimate, long nowNanos) {
        double totalLogWork = 0;
        Set<MemberName> agents = new HashSet<>();
        for (Sample sample : samples) {
            totalLogWork += logWork(sample, nowNanos);
            agents.add(sample.agent());
        }
        if (agents.size() > 1) {
            compareWorkers(samples, totalLogWork, nowNanos);
        }
        jobCount++;
        double logEstimate = logOf(estimate);
        estimateBias += Math.max(ESTIMATE_BIAS_WEIGHT, 1.0 / (jobCount + 1))
                * (totalLogWork / samples.size() - logEstimate - estimateBias);
    }

    /**
     * Returns the run duration that a worker needs, as a multiple of the estimate.
     *
     * @param agent agent of the worker
     * @param reportedSlowdown slowdown reported by the agent, returned while this entry has no runs of the worker
     * @param nowNanos current monotonic time
     * @return the multiple, 1.0 if tasks take as long as estimated
     */
    double slowdown(MemberName agent, double reportedSlowdown, long nowNanos) {
        Speed speed = speeds.get(agent);
        return speed == null ? reportedSlowdown : Math.exp(speed.logSlowdownAt(nowNanos) + estimateBias);
    }

    /** Returns the natural logarithm of a worker's slowdown relative to the others, empty if too few runs tell it. */
    OptionalDouble comparedLogSlowdown(MemberName agent, long nowNanos) {
        Speed speed = speeds.get(agent);
        return speed == null || speed.runCount < MIN_COMPARED_RUNS
                ? OptionalDouble.empty()
                : OptionalDouble.of(speed.logSlowdownAt(nowNanos));
    }

    void remove(MemberName agent) {
        speeds.remove(agent);
    }

    private void compareWorkers(List<Sample> samples, double totalLogWork, long nowNanos) {
        int otherRuns = samples.size() - 1;
        for (Sample sample : samples) {
            double ownLogWork = logWork(sample, nowNanos);
            speed(sample.agent()).update(ownLogWork - (totalLogWork - ownLogWork) / otherRuns, nowNanos);
        }
    }

    /** Returns the logarithm of the work of a run: its duration, corrected by the slowdown of its worker. */
    private double logWork(Sample sample, long nowNanos) {
        return logOf(sample.runDuration()) - speed(sample.agent()).logSlowdownAt(nowNanos);
    }

    private static double logOf(Duration duration) {
        return Math.log((double) Math.max(1, duration.toNanos()));
    }

    private Speed speed(MemberName agent) {
        return speeds.computeIfAbsent(agent, first -> new Speed());
    }
}
