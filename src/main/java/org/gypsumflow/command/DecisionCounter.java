package org.gypsumflow.command;

/** Counts decisions by their cause, for the metrics of the process. */
@FunctionalInterface
public interface DecisionCounter {
    /**
     * Counts one decision; called on the thread that decides, which it must not block.
     *
     * @param decision what was decided, in lower case with underscores, such as {@code jobs_rejected}
     * @param cause why, from a small fixed set
     */
    void increment(String decision, String cause);

    /**
     * Returns a counter that does nothing.
     *
     * @return the counter
     */
    static DecisionCounter none() {
        return (decision, cause) -> {};
    }
}
