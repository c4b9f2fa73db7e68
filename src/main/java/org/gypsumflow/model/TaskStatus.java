package org.gypsumflow.model;

/** Says how far an agent got with a task. */
public enum TaskStatus {
    /** The agent never started the task and, if asked to resolve it, never will for this attempt. */
    NOT_STARTED,
    /** The target is running the task. */
    RUNNING,
    /** The task ended and its outcome is attached. */
    FINISHED
}
