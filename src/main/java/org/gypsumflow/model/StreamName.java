package org.gypsumflow.model;

/**
 * The name of a stream in the platform's log.
 *
 * @param value the name
 */
public record StreamName(String value) {
    /** Stream of plans, confirmations, step reports and snapshots. */
    public static final StreamName OPERATIONS = new StreamName("operations");
    /** Stream in which entries announce that they are in service. */
    public static final StreamName MEMBERS = new StreamName("members");

    /** Validates the name. */
    public StreamName {
        Check.name("stream", value);
    }

    /**
     * Creates a stream name.
     *
     * @param value text of the name
     * @return the stream name
     * @throws ValidationException if the text is not a valid name
     */
    public static StreamName of(String value) {
        return new StreamName(value);
    }

    /**
     * Returns the name of a claim stream.
     *
     * @param index index of the claim stream, from 0
     * @return the stream name, such as {@code claims-00}
     */
    public static StreamName claims(int index) {
        return new StreamName(String.format("claims-%02d", index));
    }

    @Override
    public String toString() {
        return value;
    }
}
