package org.gypsumflow.model;

import java.time.Duration;

/**
 * A job that is kept in memory only: its caller waits for the outcome and resubmits the job if it receives none.
 *
 * <p>The job has one step, whose tasks all run the same specification.
 *
 * @param id id that the caller chose
 * @param route route that matched the job's request
 * @param routesVersion version of the routes that were active when the job was accepted
 * @param specification what the worker runs, as the caller specified it
 * @param taskCount number of tasks, 1 to {@value #MAX_TASKS}
 * @param resourcesPerTask resources that each task takes while it runs
 * @param estimate estimated run duration of one task; may be far off
 */
public record BestEffortJob(
        JobId id,
        Route route,
        long routesVersion,
        String specification,
        int taskCount,
        Resources resourcesPerTask,
        Duration estimate) {
    /** Maximum number of tasks in a job. */
    public static final int MAX_TASKS = 10_000;

    /** Validates the number of tasks. */
    public BestEffortJob {
        Check.range("count", taskCount, 1, MAX_TASKS);
    }
}
