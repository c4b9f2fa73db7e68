package org.gypsumflow.model;

/** How the run of a task ended, as the entry that ordered it must know. */
public enum RunOutcome {
    /** The task did its work. */
    DONE,
    /** The task ran and failed. */
    FAILED,
    /** The worker ended it without a result: stopped, out of lease, or lost with the worker. */
    LOST,
    /** The agent did not start it and never will. */
    NOT_STARTED
}
