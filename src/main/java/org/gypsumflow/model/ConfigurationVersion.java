package org.gypsumflow.model;

/**
 * The version of a configuration; a higher version is newer.
 *
 * @param value offset of the operations record that produced the configuration, plus one; 0 for the initial
 *     configuration
 */
public record ConfigurationVersion(long value) implements Comparable<ConfigurationVersion> {
    /** The version of the initial configuration, which no record has changed. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0);

    /**
     * Creates a version.
     *
     * @param value offset of the operations record that produced the configuration, plus one
     * @return the version
     */
    public static ConfigurationVersion of(long value) {
        return new ConfigurationVersion(value);
    }

    /**
     * Returns whether this version is newer than another.
     *
     * @param other version to compare with
     * @return true if this version is higher
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
