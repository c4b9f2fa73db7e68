package org.gypsumflow.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.ToDoubleFunction;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Tracing;

/** Event log, metrics and tracing of one daemon for claimed jobs. */
final class AtMostOnceTelemetry implements AutoCloseable {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final EventLog events = new TinylogEventLog();
    private final Tracing tracing;
    private final AutoCloseable exporter;

    private AtMostOnceTelemetry(AtMostOnceSettings settings) {
        String process = settings.role() + ":" + settings.name();
        SpanTracing spans =
                switch (settings.traceExporter()) {
                    case "log" -> SpanTracing.toLog(process);
                    case "otlp" -> SpanTracing.toCollector(process, settings.traceUrl());
                    default -> null;
                };
        this.exporter = spans == null ? () -> {} : spans;
        this.tracing = MeteredTracing.over(spans == null ? Tracing.none() : spans, registry);
    }

    static AtMostOnceTelemetry create(AtMostOnceSettings settings) {
        return new AtMostOnceTelemetry(settings);
    }

    EventLog events() {
        return events;
    }

    Tracing tracing() {
        return tracing;
    }

    String scrape() {
        return registry.scrape();
    }

    <T> void registerGauge(String name, T source, ToDoubleFunction<T> value) {
        registry.gauge(name, source, value);
    }

    @Override
    public void close() {
        try {
            exporter.close();
        } catch (Exception failure) {
            events.write(Event.INTERNAL_ERROR, "the span exporter", failure);
        }
    }
}
