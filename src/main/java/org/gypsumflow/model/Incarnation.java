package org.gypsumflow.model;

import java.util.UUID;

/**
 * Identifies one life of one process; a restarted process has another one.
 *
 * @param value unique text
 */
public record Incarnation(String value) implements Comparable<Incarnation> {
    /** Validates the text. */
    public Incarnation {
        Check.name("incarnation", value);
    }

    /**
     * Wraps a text that came from another process.
     *
     * @param value unique text
     * @return the incarnation
     */
    public static Incarnation of(String value) {
        return new Incarnation(value);
    }

    /**
     * Creates the identity of a process that starts now.
     *
     * @return a fresh incarnation
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
