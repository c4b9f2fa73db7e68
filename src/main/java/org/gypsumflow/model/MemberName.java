package org.gypsumflow.model;

/**
 * Names a host on which a process of the system runs.
 *
 * @param value the name
 */
public record MemberName(String value) implements Comparable<MemberName> {
    /** Validates the name. */
    public MemberName {
        Check.text("node", value, Check.MAX_NAME_LENGTH);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is empty or too long
     */
    public static MemberName of(String value) {
        return new MemberName(value);
    }

    @Override
    public int compareTo(MemberName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
