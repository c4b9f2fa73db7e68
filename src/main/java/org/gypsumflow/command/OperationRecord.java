package org.gypsumflow.command;

import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;

/** A record of the operations stream: a plan, a confirmation, a completed step or a snapshot. */
public sealed interface OperationRecord {

    /**
     * Proposes a plan, which has no effect until it is confirmed.
     *
     * @param plan proposed plan
     */
    record PlanProposed(Plan plan) implements OperationRecord {}

    /**
     * Submits an operator's confirmation of a plan; the records before it in the log decide whether it is accepted.
     *
     * @param plan id of the plan
     * @param operator operator who confirms the plan
     * @param nonce identifies this confirmation; a repeated append of the confirmation has the same nonce
     * @param override true if the operator accepts that the last capacity of a service is closed
     * @param confirmedAtMillis when the operator confirmed, in milliseconds since the epoch
     */
    record ConfirmationSubmitted(PlanId plan, Operator operator, String nonce, boolean override, long confirmedAtMillis)
            implements OperationRecord {}

    /**
     * Reports that a step of an accepted plan was completed.
     *
     * @param plan id of the plan
     * @param step completed step
     */
    record StepCompleted(PlanId plan, PlanState.Step step) implements OperationRecord {}

    /**
     * Holds the state that results from all earlier records, so that the log may delete them.
     *
     * @param state state before this record; its {@code nextOffset} tells which records it includes
     */
    record StateSnapshot(OperationsState state) implements OperationRecord {}
}
