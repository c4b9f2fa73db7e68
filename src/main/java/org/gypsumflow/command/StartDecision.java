package org.gypsumflow.command;

import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;

/** What an agent does with a start or a resolve. */
public sealed interface StartDecision {

    /** Start the task now; the ledger has recorded it as running. */
    record Start() implements StartDecision {}

    /**
     * Do not start; answer with what is known.
     *
     * @param status how far the agent got
     * @param outcome the outcome to report; null while the task runs
     */
    record Answer(TaskStatus status, TaskOutcome outcome) implements StartDecision {}
}
