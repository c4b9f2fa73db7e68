package org.gypsumflow.command;

import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.model.ConfigurationVersion;

/**
 * A plan and what became of it.
 *
 * @param plan the plan
 * @param status whether it is proposed, accepted or void
 * @param confirmedBy who confirmed it, empty before
 * @param confirmedAtMillis when, in milliseconds since the epoch, 0 before
 * @param confirmationNonce tells the confirmation that counted from others, empty before
 * @param voidReason why it can no longer be confirmed, empty unless void
 * @param version configuration version that it brought, {@link ConfigurationVersion#NONE} before
 * @param steps what was done since, in log order
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
    /** Says how far a plan got. */
    public enum Status {
        /** Nothing has been done. */
        PROPOSED,
        /** The change is in force or on its way. */
        ACCEPTED,
        /** The plan was confirmed too late or after a conflicting change; nothing was done. */
        VOID
    }

    /**
     * One thing that was done under a plan.
     *
     * @param name what was done
     * @param atMillis when, in milliseconds since the epoch
     * @param detail who acknowledged it and what could not be confirmed
     */
    public record Step(String name, long atMillis, String detail) {}

    /** Copies the list. */
    public PlanState {
        steps = List.copyOf(steps);
    }

    /**
     * Creates the state of a plan that nobody has confirmed.
     *
     * @param plan the plan
     * @return the state
     */
    public static PlanState proposed(Plan plan) {
        return new PlanState(plan, Status.PROPOSED, "", 0, "", "", ConfigurationVersion.NONE, List.of());
    }

    PlanState accepted(OperationRecord.ConfirmationSubmitted confirmation, ConfigurationVersion newVersion) {
        return new PlanState(
                plan,
                Status.ACCEPTED,
                confirmation.operator().value(),
                confirmation.confirmedAtMillis(),
                confirmation.nonce(),
                "",
                newVersion,
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
        List<Step> extended = new ArrayList<>(steps);
        extended.add(step);
        return new PlanState(
                plan, status, confirmedBy, confirmedAtMillis, confirmationNonce, voidReason, version, extended);
    }
}
