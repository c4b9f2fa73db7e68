package org.gypsumflow.command;

import java.util.List;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;

/**
 * A proposed configuration change, with a description of its effects for the operator who decides on it.
 *
 * @param id id of the plan
 * @param intent the operator's sentence that the change was parsed from
 * @param change configuration change that the plan makes if confirmed
 * @param operator operator who requested the plan
 * @param baseVersion configuration version on which the plan is based
 * @param createdAtMillis when the plan was created, in milliseconds since the epoch
 * @param expiresAtMillis time after which the plan can no longer be confirmed, in milliseconds since the epoch
 * @param steps what happens after the confirmation, in order
 * @param risks what the operator should consider before confirming; empty if nothing stands out
 * @param needsOverride true if the plan closes the last capacity of a service, so that the confirmation must override
 */
public record Plan(
        PlanId id,
        String intent,
        ConfigurationChange change,
        Operator operator,
        ConfigurationVersion baseVersion,
        long createdAtMillis,
        long expiresAtMillis,
        List<String> steps,
        List<String> risks,
        boolean needsOverride) {
    /** Makes unmodifiable copies of the lists. */
    public Plan {
        steps = List.copyOf(steps);
        risks = List.copyOf(risks);
    }
}
