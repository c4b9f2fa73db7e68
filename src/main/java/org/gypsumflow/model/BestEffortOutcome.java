package org.gypsumflow.model;

import java.time.Duration;

/**
 * The outcome of a best-effort job, which is returned to the caller that waits for it.
 *
 * @param verdict whether the job completed, did not run, may have run or failed
 * @param cancelled true if the job ended because it was cancelled
 * @param reason why the job did not complete, empty if it did
 * @param retryAfter time after which the caller should resubmit the job; zero unless the job has not run
 */
public record BestEffortOutcome(Verdict verdict, boolean cancelled, String reason, Duration retryAfter) {
    /**
     * Creates the outcome of a job whose tasks have all completed.
     *
     * @return the outcome
     */
    public static BestEffortOutcome completed() {
        return new BestEffortOutcome(Verdict.COMPLETED, false, "", Duration.ZERO);
    }

    /**
     * Creates the outcome of a job that ran and failed.
     *
     * @param reason why the job failed
     * @return the outcome
     */
    public static BestEffortOutcome failed(String reason) {
        return new BestEffortOutcome(Verdict.FAILED, false, reason, Duration.ZERO);
    }

    /**
     * Creates the outcome of a job that was cancelled, and that may have run until then.
     *
     * @return the outcome
     */
    public static BestEffortOutcome ofCancelled() {
        return new BestEffortOutcome(Verdict.MAY_HAVE_RUN, true, "cancelled", Duration.ZERO);
    }

    /**
     * Creates the outcome of a job of which no task has started and none will.
     *
     * @param reason why the job did not run
     * @param retryAfter time after which the caller should resubmit the job
     * @return the outcome
     */
    public static BestEffortOutcome notRun(String reason, Duration retryAfter) {
        return new BestEffortOutcome(Verdict.NOT_RUN, false, reason, retryAfter);
    }

    /**
     * Creates the outcome of a job that was abandoned although some of its tasks may have run.
     *
     * @param reason why the job was abandoned
     * @return the outcome
     */
    public static BestEffortOutcome mayHaveRun(String reason) {
        return new BestEffortOutcome(Verdict.MAY_HAVE_RUN, false, reason, Duration.ZERO);
    }
}
