package org.gypsumflow.command;

import java.util.List;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;

/**
 * Tells an operator what will happen once the plan is confirmed.
 *
 * @param id name of the plan
 * @param intent the operator's words
 * @param change what the plan changes
 * @param operator who asked for it
 * @param baseVersion configuration version it was made against
 * @param createdAtMillis when it was made, in milliseconds since the epoch
 * @param expiresAtMillis when it can no longer be confirmed, in milliseconds since the epoch
 * @param steps what will happen, in order
 * @param risks what the operator should weigh
 * @param needsOverride true if the plan closes the last capacity of a service
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
    /** Copies the lists. */
    public Plan {
        steps = List.copyOf(steps);
        risks = List.copyOf(risks);
    }
}
