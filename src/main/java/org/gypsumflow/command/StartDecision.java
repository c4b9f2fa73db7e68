package org.gypsumflow.command;

import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;

/** How an agent responds to a request to start or resolve a task. */
public sealed interface StartDecision {

    /** Start the task now; the {@link AgentTaskTable} has recorded it as running. */
    record Start() implements StartDecision {}

    /**
     * Do not start the task; report its status to the entry instead.
     *
     * @param status how far the agent has got with the task
     * @param outcome outcome to report; null while the task is running
     */
    record ReportStatus(TaskStatus status, TaskOutcome outcome) implements StartDecision {}
}
