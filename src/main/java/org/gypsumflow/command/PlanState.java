package org.gypsumflow.command;

import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.model.ConfigurationVersion;

/**
 * A plan, its status and the confirmation and steps that followed it.
 *
 * @param plan the plan
 * @param status whether it is proposed, accepted or void
 * @param confirmedBy name of the operator who confirmed the plan, empty while it is proposed
 * @param confirmedAtMillis when the operator confirmed, in milliseconds since the epoch, 0 while it is proposed
 * @param confirmationNonce nonce of the confirmation that decided the status, empty while it is proposed
 * @param voidReason why the plan can no longer be confirmed, empty unless it is void
 * @param version configuration version that the plan produced, {@link ConfigurationVersion#NONE} unless it is accepted
 * @param steps completed steps, in log order
 */
public record PlanState(
        Plan plan,
        Status status,
        String confirmedBy,
        long confirmedAtMillis,
        String confirmationNonce,
        String voidReason,
        ConfigurationVersion version,
        List<Step> steps) {
    /** How far a plan has got; the names are written to the log and to HTTP responses. */
    public enum Status {
        /** The plan has not been confirmed; nothing has been changed. */
        PROPOSED,
        /** The plan was confirmed; its change is applied or being distributed. */
        ACCEPTED,
        /** The plan was confirmed too late or after a conflicting change; nothing has been changed. */
        VOID
    }

    /**
     * A completed step of an accepted plan.
     *
     * @param name what was done
     * @param atMillis when it was completed, in milliseconds since the epoch
     * @param detail which processes acknowledged the step and which did not
     */
    public record Step(String name, long atMillis, String detail) {}

    /** Makes an unmodifiable copy of the list. */
    public PlanState {
        steps = List.copyOf(steps);
    }

    /**
     * Creates the state of a plan that has not been confirmed.
     *
     * @param plan the plan
     * @return the state, with status {@link Status#PROPOSED}
     */
    public static PlanState proposed(Plan plan) {
        return new PlanState(plan, Status.PROPOSED, "", 0, "", "", ConfigurationVersion.NONE, List.of());
    }

    PlanState accepted(OperationRecord.ConfirmationSubmitted confirmation, ConfigurationVersion acceptedVersion) {
        return new PlanState(
                plan,
                Status.ACCEPTED,
                confirmation.operator().value(),
                confirmation.confirmedAtMillis(),
                confirmation.nonce(),
                "",
                acceptedVersion,
                steps);
    }

    PlanState voided(OperationRecord.ConfirmationSubmitted confirmation, String reason) {
        return new PlanState(
                plan,
                Status.VOID,
                confirmation.operator().value(),
                confirmation.confirmedAtMillis(),
                confirmation.nonce(),
                reason,
                ConfigurationVersion.NONE,
                steps);
    }

    PlanState withStep(Step step) {
        List<Step> allSteps = new ArrayList<>(steps);
        allSteps.add(step);
        return new PlanState(
                plan, status, confirmedBy, confirmedAtMillis, confirmationNonce, voidReason, version, allSteps);
    }
}
