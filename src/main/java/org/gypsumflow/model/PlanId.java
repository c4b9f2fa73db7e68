package org.gypsumflow.model;

/**
 * Identifies a plan.
 *
 * @param value the id, at most {@value Check#MAX_NAME_LENGTH} characters
 */
public record PlanId(String value) implements Comparable<PlanId> {
    /** Validates the name. */
    public PlanId {
        Check.name("plan", value);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is not a valid name
     */
    public static PlanId of(String value) {
        return new PlanId(value);
    }

    @Override
    public int compareTo(PlanId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
