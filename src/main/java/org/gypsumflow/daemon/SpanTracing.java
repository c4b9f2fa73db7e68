package org.gypsumflow.daemon;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collections;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.Verdict;

/** Tracing with OpenTelemetry spans, linked across processes by the {@code traceparent} header. */
final class SpanTracing implements Tracing, AutoCloseable {
    private static final String HEADER = "traceparent";

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    private SpanTracing(String processName, SpanExporter exporter) {
        Resource resource = Resource.getDefault().toBuilder()
                .put("service.name", "gypsumflow")
                .put("service.instance.id", processName)
                .build();
        this.provider = SdkTracerProvider.builder()
                .setResource(resource)
                .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                .build();
        this.tracer = provider.get("gypsumflow");
    }

    static SpanTracing toLog(String processName) {
        return new SpanTracing(processName, LogSpanExporter.create(processName));
    }

    static SpanTracing toCollector(String processName, String url) {
        return new SpanTracing(
                processName, OtlpHttpSpanExporter.builder().setEndpoint(url).build());
    }

    @Override
    public Hop begin(String name, TraceParent parent) {
        Context context =
                W3CTraceContextPropagator.getInstance().extract(Context.root(), parent, ParentGetter.INSTANCE);
        Span span = tracer.spanBuilder(name).setParent(context).startSpan();
        return new SpanHop(span);
    }

    @Override
    public void close() {
        provider.close();
    }

    private record SpanHop(Span span) implements Hop {
        @Override
        public TraceParent context() {
            SpanContext context = span.getSpanContext();
            return TraceParent.of("00-" + context.getTraceId() + "-" + context.getSpanId() + "-"
                    + context.getTraceFlags().asHex());
        }

        @Override
        public void end(Verdict verdict) {
            span.setAttribute("verdict", verdict.name());
            span.end();
        }
    }

    private enum ParentGetter implements TextMapGetter<TraceParent> {
        INSTANCE;

        @Override
        public Iterable<String> keys(TraceParent carrier) {
            return Collections.singleton(HEADER);
        }

        @Override
        public String get(TraceParent carrier, String key) {
            boolean present =
                    carrier != null && HEADER.equals(key) && !carrier.value().isEmpty();
            return present ? carrier.value() : null;
        }
    }
}
