package org.gypsumflow.model;

/**
 * Names a host on which a process of the system runs.
 *
 * @param value the name
 */
public record NodeName(String value) implements Comparable<NodeName> {
    /** Validates the name. */
    public NodeName {
        Check.text("node", value, Check.MAX_NAME_LENGTH);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is empty or too long
     */
    public static NodeName of(String value) {
        return new NodeName(value);
    }

    @Override
    public int compareTo(NodeName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
