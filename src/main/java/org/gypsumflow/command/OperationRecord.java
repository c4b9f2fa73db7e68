package org.gypsumflow.command;

import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;

/** A record of the operations stream. */
public sealed interface OperationRecord {

    /**
     * Proposes a plan.
     *
     * @param plan the plan
     */
    record PlanProposed(Plan plan) implements OperationRecord {}

    /**
     * Confirms a plan; whether it counts is decided by what stands before it in the log.
     *
     * @param plan the plan
     * @param operator who confirms
     * @param nonce tells this confirmation from others; a repeated append repeats it
     * @param override true if the operator accepts that the last capacity of a service closes
     * @param confirmedAtMillis when it was confirmed, in milliseconds since the epoch
     */
    record ConfirmationSubmitted(PlanId plan, Operator operator, String nonce, boolean override, long confirmedAtMillis)
            implements OperationRecord {}

    /**
     * Reports something done under a plan.
     *
     * @param plan the plan
     * @param step what was done
     */
    record StepCompleted(PlanId plan, PlanState.Step step) implements OperationRecord {}

    /**
     * Repeats everything that earlier records said, so that they may expire.
     *
     * @param state state before this record, its {@code nextOffset} saying which records it holds
     */
    record StateSnapshot(OperationsState state) implements OperationRecord {}
}
