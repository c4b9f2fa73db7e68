package org.gypsumflow.model;

/**
 * The name of a service, the kind of work that a group of targets can run.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Validates the name. */
    public ServiceName {
        Check.name("service", value);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is not a valid name
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    // Cheaper than the generated methods, which are linked at run time.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
