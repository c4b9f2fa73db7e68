package org.gypsumflow.model;

/**
 * The name of an operator: a person who requests and confirms plans.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters
 */
public record Operator(String value) implements Comparable<Operator> {
    /** Validates the name. */
    public Operator {
        Check.name("operator", value);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is not a valid name
     */
    public static Operator of(String value) {
        return new Operator(value);
    }

    @Override
    public int compareTo(Operator other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
