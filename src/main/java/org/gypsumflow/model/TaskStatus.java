package org.gypsumflow.model;

/** How far an agent has got with a task of a claimed job. */
public enum TaskStatus {
    /**
     * The agent has not started the task; once it has reported this status, it never will under the reported attempt.
     */
    NOT_STARTED,
    /** The agent has started the task, and it has not ended. */
    RUNNING,
    /** The task has ended, and its outcome is known. */
    FINISHED
}
