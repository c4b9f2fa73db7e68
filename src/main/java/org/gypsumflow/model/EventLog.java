package org.gypsumflow.model;

/** Writes numbered events for the operator, such as to the log file. */
@FunctionalInterface
public interface EventLog {
    /**
     * Writes an event.
     *
     * @param event type of the event
     * @param details values for the placeholders of the event's template, in their order
     */
    void write(Event event, Object... details);

    /**
     * Creates an event log that discards all events.
     *
     * @return the event log
     */
    static EventLog none() {
        return (event, details) -> {};
    }
}
