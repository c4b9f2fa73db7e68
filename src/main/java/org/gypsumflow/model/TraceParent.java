package org.gypsumflow.model;

/**
 * A W3C trace context, which is passed between processes to join their spans into one trace.
 *
 * @param value text of the {@code traceparent} header, empty if there is no trace
 */
public record TraceParent(String value) {
    /** No trace. */
    public static final TraceParent NONE = new TraceParent("");

    /**
     * Creates a trace context from the value of a {@code traceparent} header.
     *
     * @param value text of the header; null or empty if there is none
     * @return the trace context, {@link #NONE} if there is no header
     */
    public static TraceParent of(String value) {
        return value == null || value.isEmpty() ? NONE : new TraceParent(value);
    }
}
