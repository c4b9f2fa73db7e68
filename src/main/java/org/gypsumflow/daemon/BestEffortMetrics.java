package org.gypsumflow.daemon;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RouteName;

/**
 * Counts events, whether or not their lines were left out, and the time to each answer.
 *
 * <p>The registry is made at the first scrape, since making it takes a fifth of a daemon's start-up time; what was counted
 * before is not lost.
 */
final class BestEffortMetrics {
    /** Longest time to an answer that is told apart; longer ones count as this. */
    private static final long MOST_MILLIS = Duration.ofMinutes(10).toMillis();
    /** Decimal digits of a time that are kept until the next scrape. */
    private static final int DIGITS = 2;

    private record Series(String route, String outcome) {}

    private final Map<Event, LongAdder> counts = new EnumMap<>(Event.class);
    private final Map<Series, Histogram> unread = new HashMap<>();
    private PrometheusMeterRegistry registry;

    private BestEffortMetrics() {
        for (Event event : Event.values()) {
            counts.put(event, new LongAdder());
        }
    }

    static BestEffortMetrics create() {
        return new BestEffortMetrics();
    }

    /** Returns a log that counts each event and hands it on. */
    EventLog countingEventLog(EventLog log) {
        return (event, details) -> {
            counts.get(event).increment();
            log.write(event, details);
        };
    }

    /** Takes note of the answer to a job. */
    synchronized void recordOutcome(RouteName route, BestEffortOutcome answer, Duration age) {
        String outcome = answer.cancelled() ? "CANCELLED" : answer.verdict().name();
        unread.computeIfAbsent(new Series(route.value(), outcome), first -> new Histogram(MOST_MILLIS, DIGITS))
                .recordValue(Math.max(0, Math.min(MOST_MILLIS, age.toMillis())));
    }

    /** Writes all metrics in the Prometheus text format. */
    synchronized String scrape() {
        if (registry == null) {
            registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            counts.forEach((event, count) -> FunctionCounter.builder("gypsumflow.events", count, LongAdder::sum)
                    .tag("event", "GF" + event.number())
                    .register(registry));
        }
        unread.forEach(this::take);
        unread.clear();
        return registry.scrape();
    }

    private void take(Series series, Histogram times) {
        Timer timer = Timer.builder("gypsumflow.job")
                .tag("route", series.route())
                .tag("outcome", series.outcome())
                .publishPercentileHistogram()
                .register(registry);
        for (HistogramIterationValue each : times.recordedValues()) {
            for (long count = 0; count < each.getCountAddedInThisIterationStep(); count++) {
                timer.record(Duration.ofMillis(each.getValueIteratedTo()));
            }
        }
    }
}
