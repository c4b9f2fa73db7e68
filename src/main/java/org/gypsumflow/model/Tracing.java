package org.gypsumflow.model;

/** Records a span for each hop of a request: each process or step that handles the request. */
@FunctionalInterface
public interface Tracing {
    /** A span that has been started and not ended. */
    interface Hop {
        /**
         * Returns the trace context to pass to the next process.
         *
         * @return trace context with this span as the parent
         */
        TraceParent context();

        /**
         * Ends the span.
         *
         * @param verdict verdict of the request at this hop
         */
        void end(Verdict verdict);
    }

    /**
     * Starts a span.
     *
     * @param name name of the hop
     * @param parent trace context of the incoming request
     * @return the started span
     */
    Hop begin(String name, TraceParent parent);

    /**
     * Creates an implementation that records no spans and passes the incoming context on.
     *
     * @return the implementation
     */
    static Tracing none() {
        return (name, parent) -> new Hop() {
            @Override
            public TraceParent context() {
                return parent;
            }

            @Override
            public void end(Verdict verdict) {}
        };
    }
}
