package org.gypsumflow.model;

/**
 * The number of a run of a best-effort task.
 *
 * <p>A worker rejects a run whose number is not higher than that of a run of the task that has ended.
 *
 * @param value the number, 1 for the first run
 */
public record RunNumber(int value) implements Comparable<RunNumber> {
    /** Number of the first run of a task. */
    public static final RunNumber FIRST = new RunNumber(1);

    /** Validates the number. */
    public RunNumber {
        Check.range("run", value, 1, Integer.MAX_VALUE);
    }

    /**
     * Creates a run number.
     *
     * @param value the number, 1 for the first run
     * @return the run number
     * @throws ValidationException if the number is less than 1
     */
    public static RunNumber of(int value) {
        return new RunNumber(value);
    }

    /**
     * Returns the number of the next run.
     *
     * @return the number that is higher by one
     */
    public RunNumber next() {
        return new RunNumber(value + 1);
    }

    // Cheaper than the generated methods, which are linked at run time.
    @Override
    public boolean equals(Object other) {
        return other instanceof RunNumber that && value == that.value;
    }

    @Override
    public int hashCode() {
        return value;
    }

    @Override
    public int compareTo(RunNumber other) {
        return Integer.compare(value, other.value);
    }
}
