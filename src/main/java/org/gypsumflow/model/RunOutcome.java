package org.gypsumflow.model;

/** How a run of a best-effort task ended; agents report it to the job owner under the name of the constant. */
public enum RunOutcome {
    /** The task completed. */
    DONE,
    /** The task ran and failed. */
    FAILED,
    /** The run ended without a result: it was stopped, its lease expired, or its worker was lost. */
    LOST,
    /** The agent did not start the run and never will. */
    NOT_STARTED
}
