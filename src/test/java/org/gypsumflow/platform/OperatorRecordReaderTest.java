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

    private final List<ShareRoutingState> known = new ArrayList<>();
    private final OperatorRecordReader records = OperatorRecordReader.create(known::add, (event, details) -> {});

    private static KeyedRecord record(String key, String value, long offset) {
        return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), offset);
    }

    private ShareRoutingState newest() {
        return known.get(known.size() - 1);
    }

    @Test
    public void routesAndClosuresAreReadFromTheOperatorsKeys() {
        records.replaceAll(new Page(List.of(record("config", CONFIG, 3), record("evacuate/sofia", "{}", 4)), 5));
        assertEquals(newest().table().version(), 7);
        assertEquals(newest().table().find("h.example", "/p/00").orElseThrow().latencyFactor(), 1.6);
        assertEquals(newest().closedZones().zones(), Set.of(AvailabilityZone.of("sofia")));
        records.applyUpdates(new Page(List.of(record("evacuate/sofia", "", 5)), 6));
        assertEquals(newest().closedZones().zones(), Set.of());
    }

    @Test
    public void anUnreadableRecordLeavesWhatIsKnown() {
        records.replaceAll(new Page(List.of(record("config", CONFIG, 3)), 4));
        records.applyUpdates(new Page(List.of(record("config", "{\"version\":\"x\"}", 4), record("other", "?", 5)), 6));
        assertEquals(newest().table().version(), 7);
    }

    @Test
    public void aZoneWhoseRecordIsGoneFromTheWholeIsOpenAgain() {
        records.replaceAll(new Page(List.of(record("evacuate/burgas", "{}", 4)), 5));
        records.replaceAll(new Page(List.of(), 9));
        assertEquals(newest().closedZones().zones(), Set.of());
    }
}
