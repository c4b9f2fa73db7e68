package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.Random;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;

/**
 * A kind of job in a pattern of load.
 *
 * @param name name of its route
 * @param jobsPerSecond jobs a second
 * @param meanTaskCount mean number of tasks
 * @param meanWork mean running time of a task on a worker of speed 1
 * @param cpuMillicores processors of a task, in thousandths of a core
 * @param priority priority of its route, 0 goes first
 * @param value what a whole answer in time is worth for a job of mean size, in any unit
 */
record JobKind(
        String name,
        double jobsPerSecond,
        int meanTaskCount,
        Duration meanWork,
        int cpuMillicores,
        int priority,
        double value) {
    /** Service of all jobs of the model. */
    static final ServiceName SERVICE = ServiceName.of("service");
    /** Objective as a multiple of the running time, as on the users' sheets. */
    static final double LATENCY_FACTOR = 1.6;
    /** What the objective allows beyond that, as on the users' sheets. */
    static final Duration LATENCY_ALLOWANCE = Duration.ofMillis(60);

    /** Widths and running times are drawn around their means with this standard deviation, as on the users' sheets. */
    private static final double SPREAD = 0.4;
    /** Widest job and longest task, as multiples of the mean. */
    private static final double MOST = 4;
    /** Tasks of one job differ by this share. */
    private static final double UNEVEN = 0.15;
    /** Memory of a task, in megabytes. */
    private static final int MEMORY_MEGABYTES = 64;
    /** How often a task may fail. */
    private static final int ATTEMPTS = 2;
    /** Part of a job's worth that does not depend on its size. */
    private static final double FIXED_WORTH = 0.3;

    /**
     * A job that was drawn.
     *
     * @param job the job as its entry sees it
     * @param taskWorkMillis true running time of each task on a worker of speed 1, in milliseconds
     * @param value what a whole answer in time is worth
     */
    record GeneratedJob(BestEffortJob job, double[] taskWorkMillis, double value) {
        double longestTaskMillis() {
            double longest = 0;
            for (double each : taskWorkMillis) {
                longest = Math.max(longest, each);
            }
            return longest;
        }
    }

    /** Draws a job whose estimate is off by up to a share. */
    GeneratedJob generate(long number, double estimateError, Random random) {
        int count = Math.max(1, (int) Math.round(around(meanTaskCount, random)));
        double mean = around((double) meanWork.toMillis(), random);
        double[] workMillis = new double[count];
        double total = 0;
        for (int index = 0; index < count; index++) {
            workMillis[index] = mean * (1 + UNEVEN * (2 * random.nextDouble() - 1));
            total += workMillis[index];
        }
        double estimate = mean * (1 + estimateError * (2 * random.nextDouble() - 1));
        double size = Math.min(MOST, total / (meanTaskCount * (double) meanWork.toMillis()));
        Route route = new Route(
                RouteName.of(name),
                "host",
                "/" + name + "/",
                SERVICE,
                priority,
                ATTEMPTS,
                LATENCY_FACTOR,
                LATENCY_ALLOWANCE,
                Duration.ofSeconds(10));
        BestEffortJob job = new BestEffortJob(
                JobId.of(String.format("%016x", number)),
                route,
                1,
                "",
                count,
                Resources.of(cpuMillicores, MEMORY_MEGABYTES, 0),
                Duration.ofMillis(Math.max(1, Math.round(estimate))));
        return new GeneratedJob(job, workMillis, value * (FIXED_WORTH + (1 - FIXED_WORTH) * size));
    }

    private static double around(double mean, Random random) {
        double drawn = mean * (1 + SPREAD * random.nextGaussian());
        return Math.min(mean * MOST, Math.max(mean / MOST, drawn));
    }
}
