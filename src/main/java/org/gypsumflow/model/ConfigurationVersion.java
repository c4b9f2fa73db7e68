package org.gypsumflow.model;

/**
 * Orders configurations: the offset of the last record of the operations stream that was folded, plus one.
 *
 * @param value the number, 0 for a configuration that no record has changed
 */
public record ConfigurationVersion(long value) implements Comparable<ConfigurationVersion> {
    /** The version of a configuration that no record has changed. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0);

    /**
     * Wraps a number.
     *
     * @param value the number
     * @return the version
     */
    public static ConfigurationVersion of(long value) {
        return new ConfigurationVersion(value);
    }

    /**
     * Tells whether this version is higher than another.
     *
     * @param other version to compare with
     * @return true if this one is higher
     */
    public boolean isAfter(ConfigurationVersion other) {
        return value > other.value;
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
