package org.gypsumflow.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.model.MemberName;

/**
 * Learns how slow workers are from jobs whose tasks ran on several of them.
 *
 * <p>The tasks of a job take about equally long, so that their running times compare the workers however wrong the job's
 * estimate was. Running times against estimates do not: a worker that looks slow gets only jobs with low estimates, and
 * looks slower for it.
 */
final class WorkerSpeedEstimator {
    /** Weight of a new run in the recent speed; ten runs, about a second of a busy worker, replace the past. */
    private static final double RECENT_WEIGHT = 0.1;
    /** Weight of a new run in the usual speed; a disruption of a few seconds hardly moves it. */
    private static final double USUAL_WEIGHT = 0.01;
    /** Weight of a new job in the common level of all estimates. */
    private static final double LEVEL_WEIGHT = 0.005;
    /** Time without runs in which the recent speed goes half the way back to the usual one, so that a worker is tried again. */
    private static final Duration HALF_LIFE = Duration.ofMillis(1500);
    /** Largest change that one run tells, as a natural logarithm; a single hang says no more than that. */
    private static final double MOST_SURPRISE = 2;

    /**
     * One run of a task.
     *
     * @param agent agent beside the worker
     * @param runDuration how long it ran
     */
    record Sample(MemberName agent, Duration runDuration) {}

    /** What is known of one worker, as natural logarithms of its slowness relative to the common level. */
    private static final class Speed {
        private double recent;
        private double usual;
        private int runs;
        private long learntNanos;

        private double at(long nowNanos) {
            double halves = (double) (nowNanos - learntNanos) / (double) HALF_LIFE.toNanos();
            return usual + (recent - usual) * Math.pow(0.5, Math.max(0, halves));
        }

        private void learn(double surprise, long nowNanos) {
            double bounded = Math.max(-MOST_SURPRISE, Math.min(MOST_SURPRISE, surprise));
            runs++;
            double seen = at(nowNanos) + bounded;
            recent = at(nowNanos) + Math.max(RECENT_WEIGHT, 1.0 / (runs + 1)) * bounded;
            usual += Math.max(USUAL_WEIGHT, 1.0 / (runs + 1)) * (seen - usual);
            learntNanos = nowNanos;
        }
    }

    private final Map<MemberName, Speed> speeds = new HashMap<>();
    private double level;
    private int jobs;

    private WorkerSpeedEstimator() {}

    static WorkerSpeedEstimator create() {
        return new WorkerSpeedEstimator();
    }

    /**
     * Learns from a job whose tasks are done.
     *
     * @param samples its runs
     * @param estimate rough running time of one task
     * @param nowNanos monotonic clock
     */
    void recordCompletedJob(List<Sample> samples, Duration estimate, long nowNanos) {
        double total = 0;
        Set<MemberName> agents = new HashSet<>();
        for (Sample sample : samples) {
            total += work(sample, nowNanos);
            agents.add(sample.agent());
        }
        if (agents.size() > 1) {
            compare(samples, total, nowNanos);
        }
        jobs++;
        double logEstimate = logOf(estimate);
        level += Math.max(LEVEL_WEIGHT, 1.0 / (jobs + 1)) * (total / samples.size() - logEstimate - level);
    }

    /**
     * Tells how long a worker takes for tasks, as a multiple of their estimates.
     *
     * @param agent agent beside the worker
     * @param reported what the agent says of it, used while nothing is known here
     * @param nowNanos monotonic clock
     * @return the multiple, 1.0 if it takes as long as estimated
     */
    double slowdown(MemberName agent, double reported, long nowNanos) {
        Speed speed = speeds.get(agent);
        return speed == null ? reported : Math.exp(speed.at(nowNanos) + level);
    }

    void remove(MemberName agent) {
        speeds.remove(agent);
    }

    private void compare(List<Sample> samples, double total, long nowNanos) {
        int others = samples.size() - 1;
        for (Sample sample : samples) {
            double own = work(sample, nowNanos);
            speed(sample.agent()).learn(own - (total - own) / others, nowNanos);
        }
    }

    /** Logarithm of the work that a run was, by what is known of its worker. */
    private double work(Sample sample, long nowNanos) {
        return logOf(sample.runDuration()) - speed(sample.agent()).at(nowNanos);
    }

    private static double logOf(Duration duration) {
        return Math.log((double) Math.max(1, duration.toNanos()));
    }

    private Speed speed(MemberName agent) {
        return speeds.computeIfAbsent(agent, first -> new Speed());
    }
}
