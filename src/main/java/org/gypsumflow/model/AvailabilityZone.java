package org.gypsumflow.model;

/**
 * The name of an availability zone.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
    /** Validates the name. */
    public AvailabilityZone {
        Check.name("zone", value);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is not a valid name
     */
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
