package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RouteName;
import org.testng.annotations.Test;

public final class BestEffortMetricsTest {
    private final BestEffortMetrics metrics = BestEffortMetrics.create();

    @Test
    public void eachEventIsCountedAndForwarded() {
        List<Event> forwarded = new ArrayList<>();
        EventLog log = metrics.countingEventLog((event, details) -> forwarded.add(event));
        log.write(Event.STORE_REACHABLE);
        log.write(Event.STORE_REACHABLE);
        assertEquals(forwarded.size(), 2);
        assertTrue(metrics.scrape().contains("gypsumflow_events_total{event=\"GF610\"} 2.0"), metrics.scrape());
    }

    @Test
    public void outcomesRecordedBeforeAndBetweenScrapesAreAllInTheHistogram() {
        RouteName route = RouteName.of("bookings");
        metrics.recordOutcome(route, BestEffortOutcome.completed(), Duration.ofMillis(120));
        metrics.scrape();
        metrics.recordOutcome(route, BestEffortOutcome.completed(), Duration.ofMillis(130));
        metrics.recordOutcome(route, BestEffortOutcome.notRun("full", Duration.ZERO), Duration.ofMillis(1));
        String text = metrics.scrape();
        assertTrue(text.contains("gypsumflow_job_seconds_count{outcome=\"COMPLETED\",route=\"bookings\"} 2"), text);
        assertTrue(text.contains("gypsumflow_job_seconds_count{outcome=\"NOT_RUN\",route=\"bookings\"} 1"), text);
    }
}
