package org.gypsumflow.model;

/**
 * What is known about whether a request ran.
 *
 * <p>Every outcome and error, including timeouts and cancellations, carries one of these values. {@link #NOT_RUN} is a
 * proof: it is used only if no claim was ever made, an agent rejected the start, or an agent recorded a tombstone,
 * which forbids the attempt.
 */
public enum Verdict {
    /** The request completed, and its full result is available. */
    COMPLETED,
    /** The request did not start and will not start under this submission. */
    NOT_RUN,
    /** The request may have started; it is not started again. */
    MAY_HAVE_RUN,
    /** The request ran and failed. */
    FAILED;

    /**
     * Returns whether the caller may resubmit the same work without the risk that it runs twice.
     *
     * @return true only for {@link #NOT_RUN}
     */
    public boolean isSafeToRetry() {
        return this == NOT_RUN;
    }
}
