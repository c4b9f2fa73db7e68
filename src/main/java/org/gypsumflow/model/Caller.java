package org.gypsumflow.model;

/**
 * The name of a caller: a client that submits jobs and may have a quota.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters
 */
public record Caller(String value) implements Comparable<Caller> {
    /** Validates the name. */
    public Caller {
        Check.name("caller", value);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is not a valid name
     */
    public static Caller of(String value) {
        return new Caller(value);
    }

    @Override
    public int compareTo(Caller other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
