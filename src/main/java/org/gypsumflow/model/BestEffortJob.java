package org.gypsumflow.model;

import java.time.Duration;

/**
 * A job of one step that is not stored: its caller waits for the answer and sends it again if none comes.
 *
 * @param id chosen by the caller
 * @param route route that the job came by
 * @param routesVersion version of the routes that were in force when it came
 * @param specification what the worker is told to run
 * @param taskCount number of tasks
 * @param resourcesPerTask what each task needs
 * @param estimate rough running time of one task, may be far off
 */
public record BestEffortJob(
        JobId id,
        Route route,
        long routesVersion,
        String specification,
        int taskCount,
        Resources resourcesPerTask,
        Duration estimate) {
    /** Most tasks in a job. */
    public static final int MAX_TASKS = 10_000;

    /** Validates the numbers. */
    public BestEffortJob {
        Check.range("count", taskCount, 1, MAX_TASKS);
    }
}
