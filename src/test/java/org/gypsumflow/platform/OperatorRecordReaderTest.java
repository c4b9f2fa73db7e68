package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.gypsumflow.log.CompactedLog.KeyedRecord;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.testng.annotations.Test;

public final class OperatorRecordReaderTest {
    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"pathPrefix\":\"/p/\",\"kind\":\"mutating\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":1,"
            + "\"service\":\"s\",\"maxAttempts\":2,\"stretch\":1.6}],\"services\":[{\"name\":\"s\","
            + "\"enforcesCapacity\":true}]}";

    private final List<ShareRoutingState> received = new ArrayList<>();
    private final OperatorRecordReader reader = OperatorRecordReader.create(received::add, (event, details) -> {});

    private static KeyedRecord record(String key, String value, long offset) {
        return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), offset);
    }

    private ShareRoutingState latest() {
        return received.get(received.size() - 1);
    }

    @Test
    public void routesAndClosedZonesAreReadFromTheOperatorsRecords() {
        reader.replaceAll(new Page(List.of(record("config", CONFIG, 3), record("evacuate/sofia", "{}", 4)), 5));
        assertEquals(latest().table().version(), 7);
        assertEquals(latest().table().find("h.example", "/p/00").orElseThrow().latencyFactor(), 1.6);
        assertEquals(latest().closedZones().zones(), Set.of(AvailabilityZone.of("sofia")));
        reader.applyUpdates(new Page(List.of(record("evacuate/sofia", "", 5)), 6));
        assertEquals(latest().closedZones().zones(), Set.of());
    }

    @Test
    public void anInvalidRecordLeavesTheRoutesUnchanged() {
        reader.replaceAll(new Page(List.of(record("config", CONFIG, 3)), 4));
        reader.applyUpdates(new Page(List.of(record("config", "{\"version\":\"x\"}", 4), record("other", "?", 5)), 6));
        assertEquals(latest().table().version(), 7);
    }

    @Test
    public void aZoneWithoutARecordInAFullPageIsOpenAgain() {
        reader.replaceAll(new Page(List.of(record("evacuate/burgas", "{}", 4)), 5));
        reader.replaceAll(new Page(List.of(), 9));
        assertEquals(latest().closedZones().zones(), Set.of());
    }
}
