package org.gypsumflow.model;

/**
 * The name of a worker: a host that runs one target and the agent that starts tasks on it.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters
 */
public record WorkerName(String value) implements Comparable<WorkerName> {
    /** Validates the name. */
    public WorkerName {
        Check.name("worker", value);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is not a valid name
     */
    public static WorkerName of(String value) {
        return new WorkerName(value);
    }

    @Override
    public int compareTo(WorkerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
