package org.gypsumflow.control;

/**
 * Tells how far this process has read its connections. A process that is busy has messages in its sockets that it has not
 * read, so that only the time before proves that a member was silent.
 */
@FunctionalInterface
public interface ReceptionProgress {
    /**
     * Returns the time up to which this process has read its connections.
     *
     * @return monotonic time in nanoseconds; every message that had arrived by then has been received
     */
    long receivedUntilNanos();
}
