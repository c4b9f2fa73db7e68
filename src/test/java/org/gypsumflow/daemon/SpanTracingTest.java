package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.Verdict;
import org.testng.annotations.Test;

public final class SpanTracingTest {
    private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";

    @Test
    public void aHopContinuesTheTraceOfItsRequest() {
        try (SpanTracing tracing = SpanTracing.toLog("test")) {
            Tracing.Hop hop = tracing.begin("entry", TraceParent.of("00-" + TRACE_ID + "-b7ad6b7169203331-01"));
            String[] parts = hop.context().value().split("-", -1);
            hop.end(Verdict.COMPLETED);
            assertEquals(parts[1], TRACE_ID);
            assertNotEquals(parts[2], "b7ad6b7169203331");
        }
    }

    @Test
    public void aHopWithoutAParentStartsANewTrace() {
        try (SpanTracing tracing = SpanTracing.toLog("test")) {
            Tracing.Hop parentHop = tracing.begin("entry", TraceParent.NONE);
            Tracing.Hop childHop = tracing.begin("agent", parentHop.context());
            assertEquals(
                    childHop.context().value().split("-", -1)[1],
                    parentHop.context().value().split("-", -1)[1]);
            childHop.end(Verdict.COMPLETED);
            parentHop.end(Verdict.COMPLETED);
        }
    }
}
