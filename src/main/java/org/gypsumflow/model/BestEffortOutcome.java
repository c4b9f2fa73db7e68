package org.gypsumflow.model;

import java.time.Duration;

/**
 * The final answer to a caller who waits for a job.
 *
 * @param verdict what happened, and whether the job may have run
 * @param cancelled true if the job ended because it was cancelled
 * @param reason why it did not complete, empty if it did
 * @param retryAfter when the caller should come back; zero unless the job has not run
 */
public record BestEffortOutcome(Verdict verdict, boolean cancelled, String reason, Duration retryAfter) {
    /**
     * Creates the answer to a job whose tasks have all done their work.
     *
     * @return the answer
     */
    public static BestEffortOutcome completed() {
        return new BestEffortOutcome(Verdict.COMPLETED, false, "", Duration.ZERO);
    }

    /**
     * Creates the answer to a job that ran and failed.
     *
     * @param reason why it failed
     * @return the answer
     */
    public static BestEffortOutcome failed(String reason) {
        return new BestEffortOutcome(Verdict.FAILED, false, reason, Duration.ZERO);
    }

    /**
     * Creates the answer to a job that was cancelled.
     *
     * @return the answer
     */
    public static BestEffortOutcome ofCancelled() {
        return new BestEffortOutcome(Verdict.MAY_HAVE_RUN, true, "cancelled", Duration.ZERO);
    }

    /**
     * Creates the answer to a job of which nothing has started and nothing will.
     *
     * @param reason why it was not run
     * @param retryAfter when to come back
     * @return the answer
     */
    public static BestEffortOutcome notRun(String reason, Duration retryAfter) {
        return new BestEffortOutcome(Verdict.NOT_RUN, false, reason, retryAfter);
    }

    /**
     * Creates the answer to a job that was given up although parts of it may have run.
     *
     * @param reason why it was given up
     * @return the answer
     */
    public static BestEffortOutcome mayHaveRun(String reason) {
        return new BestEffortOutcome(Verdict.MAY_HAVE_RUN, false, reason, Duration.ZERO);
    }
}
