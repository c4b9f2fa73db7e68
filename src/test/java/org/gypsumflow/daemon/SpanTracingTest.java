package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.Verdict;
import org.testng.annotations.Test;

public final class SpanTracingTest {
    private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";

    @Test
    public void aHopJoinsTheTraceThatItsRequestCameWith() {
        try (SpanTracing tracing = SpanTracing.toLog("test")) {
            Tracing.Hop hop = tracing.begin("entry", TraceParent.of("00-" + TRACE + "-b7ad6b7169203331-01"));
            String[] parts = hop.context().value().split("-", -1);
            hop.end(Verdict.COMPLETED);
            assertEquals(parts[1], TRACE);
            assertNotEquals(parts[2], "b7ad6b7169203331");
        }
    }

    @Test
    public void aHopWithoutTraceBeginsOne() {
        try (SpanTracing tracing = SpanTracing.toLog("test")) {
            Tracing.Hop first = tracing.begin("entry", TraceParent.NONE);
            Tracing.Hop second = tracing.begin("agent", first.context());
            assertEquals(
                    second.context().value().split("-", -1)[1],
                    first.context().value().split("-", -1)[1]);
            second.end(Verdict.COMPLETED);
            first.end(Verdict.COMPLETED);
        }
    }
}
