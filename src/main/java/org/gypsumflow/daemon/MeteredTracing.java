package org.gypsumflow.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.Verdict;

/** Tracing that also records the duration of each hop, tagged with its name and verdict, in the metrics. */
final class MeteredTracing implements Tracing {
    private final Tracing delegate;
    private final MeterRegistry registry;

    private MeteredTracing(Tracing delegate, MeterRegistry registry) {
        this.delegate = delegate;
        this.registry = registry;
    }

    static MeteredTracing over(Tracing delegate, MeterRegistry registry) {
        return new MeteredTracing(delegate, registry);
    }

    @Override
    public Hop begin(String name, TraceParent parent) {
        Hop hop = delegate.begin(name, parent);
        Timer.Sample sample = Timer.start(registry);
        return new Hop() {
            @Override
            public TraceParent context() {
                return hop.context();
            }

            @Override
            public void end(Verdict verdict) {
                hop.end(verdict);
                sample.stop(registry.timer("gypsumflow.hop", "hop", name, "verdict", verdict.name()));
            }
        };
    }
}
