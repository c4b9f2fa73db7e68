package org.gypsumflow.model;

/**
 * The outcome of one task of a claimed job.
 *
 * @param verdict whether the task completed, did not run, may have run or failed
 * @param result the target's response if the task completed, else empty
 * @param reason why the task did not complete, empty if it did
 * @param worker name of the worker that ran the task, empty if unknown
 */
public record TaskOutcome(Verdict verdict, String result, String reason, String worker) {
    /**
     * Creates the outcome of a task that completed.
     *
     * @param result the target's response
     * @param worker name of the worker that ran the task
     * @return the outcome
     */
    public static TaskOutcome completed(String result, WorkerName worker) {
        return new TaskOutcome(Verdict.COMPLETED, result, "", worker.value());
    }

    /**
     * Creates the outcome of a task that ran and failed.
     *
     * @param reason why the task failed, as the target reported it
     * @param worker name of the worker that ran the task
     * @return the outcome
     */
    public static TaskOutcome failed(String reason, WorkerName worker) {
        return new TaskOutcome(Verdict.FAILED, "", reason, worker.value());
    }

    /**
     * Creates the outcome of a task that is proved not to have started.
     *
     * @param reason why the task did not start
     * @return the outcome
     */
    public static TaskOutcome notRun(String reason) {
        return new TaskOutcome(Verdict.NOT_RUN, "", reason, "");
    }

    /**
     * Creates the outcome of a task that may have started.
     *
     * @param reason why it is unknown whether the task started
     * @return the outcome
     */
    public static TaskOutcome mayHaveRun(String reason) {
        return new TaskOutcome(Verdict.MAY_HAVE_RUN, "", reason, "");
    }
}
