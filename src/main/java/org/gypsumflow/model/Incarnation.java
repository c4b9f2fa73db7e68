package org.gypsumflow.model;

import java.util.UUID;

/**
 * Identifies one start of one process; a process that restarts gets a new incarnation.
 *
 * @param value unique id, a valid name
 */
public record Incarnation(String value) implements Comparable<Incarnation> {
    /** Validates the id. */
    public Incarnation {
        Check.name("incarnation", value);
    }

    /**
     * Creates an incarnation from its id, such as one received from another process.
     *
     * @param value unique id
     * @return the incarnation
     * @throws ValidationException if the id is not a valid name
     */
    public static Incarnation of(String value) {
        return new Incarnation(value);
    }

    /**
     * Creates the incarnation of a process that is starting.
     *
     * @return a random incarnation
     */
    public static Incarnation random() {
        return new Incarnation(UUID.randomUUID().toString());
    }

    @Override
    public int compareTo(Incarnation other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
