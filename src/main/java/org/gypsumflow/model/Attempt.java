package org.gypsumflow.model;

/**
 * The number of an attempt to run a task of a claimed job.
 *
 * <p>The next attempt is made only after the previous one is proved not to have run.
 *
 * @param number number of the attempt, from 1; 0 stands for no attempt
 */
public record Attempt(int number) implements Comparable<Attempt> {
    /** The first attempt to run a task. */
    public static final Attempt FIRST = new Attempt(1);

    /**
     * Creates an attempt with a number.
     *
     * @param number number of the attempt, from 1; 0 stands for no attempt
     * @return the attempt
     */
    public static Attempt of(int number) {
        return new Attempt(number);
    }

    /**
     * Returns the attempt that follows this one.
     *
     * @return the attempt with the next number
     */
    public Attempt next() {
        return new Attempt(number + 1);
    }

    @Override
    public int compareTo(Attempt other) {
        return Integer.compare(number, other.number);
    }
}
