package org.gypsumflow.daemon;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import org.tinylog.Logger;

/** Span exporter that writes one line per span to the log. */
final class LogSpanExporter implements SpanExporter {
    private static final long NANOS_PER_MICRO = 1000;

    private final String processName;

    private LogSpanExporter(String processName) {
        this.processName = processName;
    }

    static LogSpanExporter create(String processName) {
        return new LogSpanExporter(processName);
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData span : spans) {
            Logger.info(
                    "span {} trace={} span={} parent={} process={} micros={} verdict={}",
                    span.getName(),
                    span.getTraceId(),
                    span.getSpanId(),
                    span.getParentSpanId(),
                    processName,
                    (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MICRO,
                    span.getAttributes().get(AttributeKey.stringKey("verdict")));
        }
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
