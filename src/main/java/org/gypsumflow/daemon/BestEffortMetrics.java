package org.gypsumflow.daemon;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RouteName;

/**
 * Metrics of a daemon for best-effort jobs: the number of events, including those whose log lines were dropped, and the
 * response time of jobs.
 *
 * <p>The registry is created at the first scrape, since creating it takes a fifth of a daemon's start-up time. Values
 * recorded earlier are kept until then.
 */
final class BestEffortMetrics {
    /** Longest response time that is distinguished; longer ones are recorded as this value. */
    private static final long MAX_MILLIS = Duration.ofMinutes(10).toMillis();
    /** Significant decimal digits of a response time that are kept until the next scrape. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private record Tags(String route, String outcome) {
        // Cheaper than the generated methods, which are linked at run time.
        @Override
        public boolean equals(Object other) {
            return other instanceof Tags that && route.equals(that.route) && outcome.equals(that.outcome);
        }

        @Override
        public int hashCode() {
            return 31 * route.hashCode() + outcome.hashCode();
        }
    }

    private record Decision(String name, String cause) {}

    private final Map<Event, LongAdder> eventCounts = new EnumMap<>(Event.class);
    private final Map<Tags, Histogram> unscrapedTimes = new HashMap<>();
    private final Map<Decision, LongAdder> decisionCounts = new ConcurrentHashMap<>();
    private final Map<String, DoubleSupplier> gauges = new ConcurrentHashMap<>();
    private PrometheusMeterRegistry registry;

    private BestEffortMetrics() {
        for (Event event : Event.values()) {
            eventCounts.put(event, new LongAdder());
        }
    }

    static BestEffortMetrics create() {
        return new BestEffortMetrics();
    }

    /** Returns an event log that counts each event and forwards it to the given log. */
    EventLog countingEventLog(EventLog log) {
        return (event, details) -> {
            eventCounts.get(event).increment();
            log.write(event, details);
        };
    }

    /** Records the outcome of a job and its response time. */
    synchronized void recordOutcome(RouteName route, BestEffortOutcome jobOutcome, Duration responseTime) {
        String outcome =
                jobOutcome.cancelled() ? "CANCELLED" : jobOutcome.verdict().name();
        unscrapedTimes
                .computeIfAbsent(
                        new Tags(route.value(), outcome), absent -> new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(0, Math.min(MAX_MILLIS, responseTime.toMillis())));
    }

    /** Counts a decision by its cause. */
    void countDecision(String decision, String cause) {
        decisionCounts
                .computeIfAbsent(new Decision(decision, cause), absent -> new LongAdder())
                .increment();
    }

    /** Adds a value that is read at each scrape, on the thread that scrapes. */
    void addGauge(String name, DoubleSupplier value) {
        gauges.put(name, value);
    }

    /** Returns all metrics in the Prometheus text format. */
    synchronized String scrape() {
        if (registry == null) {
            registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            eventCounts.forEach((event, count) -> FunctionCounter.builder("gypsumflow.events", count, LongAdder::sum)
                    .tag("event", "GF" + event.number())
                    .register(registry));
        }
        // Registering a metric again has no effect.
        decisionCounts.forEach(
                (decision, count) -> FunctionCounter.builder("gypsumflow." + decision.name(), count, LongAdder::sum)
                        .tag("cause", decision.cause())
                        .register(registry));
        gauges.forEach((name, value) ->
                Gauge.builder("gypsumflow." + name, value::getAsDouble).register(registry));
        unscrapedTimes.forEach(this::recordAll);
        unscrapedTimes.clear();
        return registry.scrape();
    }

    private void recordAll(Tags tags, Histogram times) {
        Timer timer = Timer.builder("gypsumflow.job")
                .tag("route", tags.route())
                .tag("outcome", tags.outcome())
                .publishPercentileHistogram()
                .register(registry);
        for (HistogramIterationValue step : times.recordedValues()) {
            for (long count = 0; count < step.getCountAddedInThisIterationStep(); count++) {
                timer.record(Duration.ofMillis(step.getValueIteratedTo()));
            }
        }
    }
}
