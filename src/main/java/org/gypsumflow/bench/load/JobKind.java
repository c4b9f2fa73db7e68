package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;

/**
 * A kind of job in a load pattern, from which jobs are generated at random.
 *
 * @param name name of its route
 * @param jobsPerSecond mean number of jobs per second
 * @param meanTaskCount mean number of tasks
 * @param meanWork mean run duration of a task on a worker of slowdown 1
 * @param cpuMillicores CPU of a task, in thousandths of a core
 * @param priority priority of its route, 0 goes first
 * @param value value of a result in time for a job of mean size, in any unit
 */
record JobKind(
        String name,
        double jobsPerSecond,
        int meanTaskCount,
        Duration meanWork,
        int cpuMillicores,
        int priority,
        double value) {
    /** Service of all simulated jobs. */
    static final ServiceName SERVICE = ServiceName.of("service");
    /** Multiple of the run duration that the objective allows, as in the users' requirements. */
    static final double LATENCY_FACTOR = 1.6;
    /** Constant part of the objective, as in the users' requirements. */
    static final Duration LATENCY_ALLOWANCE = Duration.ofMillis(60);

    /** Standard deviation of task counts and run durations, relative to their means, as in the users' requirements. */
    private static final double RELATIVE_DEVIATION = 0.4;
    /** Task counts and run durations lie between mean / this and mean * this; relative job sizes are at most this. */
    private static final double MAX_MULTIPLE = 4;
    /** Share by which the tasks of one job differ from their mean, up or down. */
    private static final double TASK_VARIATION = 0.15;
    /** Memory of a task, in megabytes. */
    private static final int MEMORY_MEGABYTES = 64;
    /** Number of failures of one task after which its job fails. */
    private static final int MAX_ATTEMPTS = 2;
    /** Share of a job's value that does not depend on its size. */
    private static final double FIXED_VALUE_SHARE = 0.3;

    /**
     * A randomly generated job.
     *
     * @param job job as submitted to an entry
     * @param taskWorkMillis actual run duration of each task on a worker of slowdown 1, in milliseconds
     * @param value value of a result in time
     */
    record GeneratedJob(BestEffortJob job, double[] taskWorkMillis, double value) {
        /** Returns the processor time of all tasks on workers of slowdown 1. */
        double coreSeconds() {
            return Arrays.stream(taskWorkMillis).sum() * job.resourcesPerTask().cpuMillicores() / 1e6;
        }

        double longestTaskMillis() {
            double longest = 0;
            for (double millis : taskWorkMillis) {
                longest = Math.max(longest, millis);
            }
            return longest;
        }
    }

    /** Generates a job whose estimate is off by up to the given share, up or down. */
    GeneratedJob generate(long number, double estimateError, Random random) {
        int taskCount = Math.max(1, (int) Math.round(randomAround(meanTaskCount, random)));
        double meanMillis = randomAround((double) meanWork.toMillis(), random);
        double[] workMillis = new double[taskCount];
        double totalMillis = 0;
        for (int index = 0; index < taskCount; index++) {
            workMillis[index] = meanMillis * (1 + TASK_VARIATION * (2 * random.nextDouble() - 1));
            totalMillis += workMillis[index];
        }
        double estimateMillis = meanMillis * (1 + estimateError * (2 * random.nextDouble() - 1));
        double relativeSize = Math.min(MAX_MULTIPLE, totalMillis / (meanTaskCount * (double) meanWork.toMillis()));
        Route route = new Route(
                RouteName.of(name),
                "host",
                "/" + name + "/",
                SERVICE,
                priority,
                MAX_ATTEMPTS,
                LATENCY_FACTOR,
                LATENCY_ALLOWANCE,
                Duration.ofSeconds(10));
        BestEffortJob job = new BestEffortJob(
                JobId.of(String.format("%016x", number)),
                route,
                1,
                "",
                taskCount,
                Resources.of(cpuMillicores, MEMORY_MEGABYTES, 0),
                Duration.ofMillis(Math.max(1, Math.round(estimateMillis))));
        return new GeneratedJob(job, workMillis, value * (FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relativeSize));
    }

    private static double randomAround(double mean, Random random) {
        double value = mean * (1 + RELATIVE_DEVIATION * random.nextGaussian());
        return Math.min(mean * MAX_MULTIPLE, Math.max(mean / MAX_MULTIPLE, value));
    }
}
