package org.gypsumflow.model;

/**
 * Numbers the starts of a task; a worker refuses a start that is not higher than one it has ended.
 *
 * @param value the number, 1 for the first start
 */
public record RunNumber(int value) implements Comparable<RunNumber> {
    /** Number of a task's first start. */
    public static final RunNumber FIRST = new RunNumber(1);

    /** Validates the number. */
    public RunNumber {
        Check.range("run", value, 1, Integer.MAX_VALUE);
    }

    /**
     * Wraps a number.
     *
     * @param value the number
     * @return the run number
     */
    public static RunNumber of(int value) {
        return new RunNumber(value);
    }

    /**
     * Returns the number of the next start.
     *
     * @return a number higher by one
     */
    public RunNumber next() {
        return new RunNumber(value + 1);
    }

    @Override
    public int compareTo(RunNumber other) {
        return Integer.compare(value, other.value);
    }
}
