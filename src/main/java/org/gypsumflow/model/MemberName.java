package org.gypsumflow.model;

/**
 * The name of a member of the system, which is that of the host it runs on.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters; unlike other names it may hold any
 *     character
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

    // Cheaper than the generated methods, which are linked at run time.
    @Override
    public boolean equals(Object other) {
        return other instanceof MemberName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
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
