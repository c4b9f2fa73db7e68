package org.gypsumflow.model;

/**
 * The name of an entry, the daemon that accepts jobs from callers.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters
 */
public record EntryName(String value) implements Comparable<EntryName> {
    /** Validates the name. */
    public EntryName {
        Check.name("entry", value);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is not a valid name
     */
    public static EntryName of(String value) {
        return new EntryName(value);
    }

    @Override
    public int compareTo(EntryName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
