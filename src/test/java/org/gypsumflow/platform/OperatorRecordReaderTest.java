package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.gypsumflow.log.CompactedLog.KeyedRecord;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class OperatorRecordReaderTest {
    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"pathPrefix\":\"/p/\",\"kind\":\"mutating\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":1,"
            + "\"service\":\"s\",\"maxAttempts\":2,\"stretch\":1.6}],\"services\":[{\"name\":\"s\","
            + "\"enforcesCapacity\":true}]}";

    private final List<ShareRoutingState> received = new ArrayList<>();
    private final List<String> logged = new ArrayList<>();
    private OperatorRecordReader reader;

    @BeforeMethod
    public void createAReaderThatHasReadNothing() {
        received.clear();
        logged.clear();
        reader = OperatorRecordReader.create(
                received::add, (event, details) -> logged.add(event + Arrays.toString(details)));
    }

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

    private static String newer(String part, String replacement) {
        String newerVersion = CONFIG.replace("\"version\":7", "\"version\":8");
        assertTrue(newerVersion.contains(part));
        return newerVersion.replace(part, replacement);
    }

    @DataProvider
    public Object[][] oddConfigurations() {
        return new Object[][] {
            {"[".repeat(100_000)},
            {"{\"a\":".repeat(100_000)},
            {newer("\"services\":[", "\"services\":[" + "[".repeat(100_000))},
            {newer("\"version\":8", "\"version\":" + "9".repeat(400))},
            {newer("\"version\":8", "\"version\":" + "9".repeat(100_000))},
            {newer("\"version\":8", "\"version\":18446744073709551624")},
            {newer("\"version\":8", "\"version\":-8")},
            {newer("\"version\":8", "\"version\":8.5")},
            {newer("\"version\":8", "\"version\":1e999")},
            {newer("\"priority\":1", "\"priority\":4294967296")},
            {newer("\"priority\":1", "\"priority\":-1")},
            {newer("\"maxAttempts\":2", "\"maxAttempts\":4294967297")},
            {newer("\"stretch\":1.6", "\"stretch\":1e999")},
            {newer("\"stretch\":1.6", "\"stretch\":-1")},
            {newer("\"timeoutMs\":1500", "\"timeoutMs\":1e999")},
            {newer("\"timeoutMs\":1500", "\"timeoutMs\":-1")},
            {newer("\"targetLatencyMs\":60", "\"targetLatencyMs\":9223372036854775807")},
            {newer("\"targetLatencyMs\":60", "\"targetLatencyMs\":\"60\"")},
            {newer("\"name\":\"r\",", "")},
            {newer("\"name\":\"r\"", "\"name\":\"" + "r".repeat(100_000) + "\"")},
            {newer("\"name\":\"r\"", "\"name\":[\"" + "r".repeat(100_000) + "\"]")},
            {newer("\"routes\":[", "\"paths\":[")},
            {newer("\"routes\":[", "\"routes\":[7,")},
            {"{\"version\":8,\"routes\":7}"},
            {"{\"version\":8,\"routes\":{}}"},
            {"{\"version\":8,\"routes\":[],\"services\":7}"},
            {newer("\"enforcesCapacity\":true", "\"enforcesCapacity\":1")},
            {CONFIG.substring(0, 100)},
            {"\u0000\u0001"},
        };
    }

    @Test(dataProvider = "oddConfigurations")
    public void anOddRecordIsLoggedBrieflyAndTheOtherRecordsHold(String odd) {
        reader.replaceAll(new Page(List.of(record("config", CONFIG, 3)), 4));
        reader.applyUpdates(new Page(List.of(record("config", odd, 4), record("evacuate/sofia", "{}", 5)), 6));
        assertEquals(latest().table(), received.get(0).table());
        assertEquals(latest().closedZones().zones(), Set.of(AvailabilityZone.of("sofia")));
        assertEquals(logged.size(), 1);
        assertTrue(
                logged.get(0).length() < 500,
                "length of the line: " + logged.get(0).length());
    }

    @Test
    public void aRecordThatIsNotUtf8IsLoggedAndTheRoutesHold() {
        reader.replaceAll(new Page(List.of(record("config", CONFIG, 3)), 4));
        byte[] odd = newer("\"name\":\"r\"", "\"name\":\"X\"").getBytes(StandardCharsets.ISO_8859_1);
        odd[new String(odd, StandardCharsets.ISO_8859_1).indexOf('X')] = (byte) 0xC3;
        reader.applyUpdates(new Page(List.of(new KeyedRecord("config", odd, 4)), 5));
        assertEquals(latest().table().version(), 7);
        assertEquals(logged.size(), 1);
    }

    @DataProvider
    public Object[][] oddZones() {
        return new Object[][] {{""}, {" "}, {"a/b"}, {"z".repeat(249)}, {"\uFFFD"}};
    }

    @Test(dataProvider = "oddZones")
    public void anOddZoneIsLoggedBrieflyAndTheOtherZonesHold(String zone) {
        reader.replaceAll(new Page(List.of(record("evacuate/" + zone, "{}", 3), record("evacuate/sofia", "{}", 4)), 5));
        assertEquals(latest().closedZones().zones(), Set.of(AvailabilityZone.of("sofia")));
        assertEquals(logged.size(), 1);
        assertTrue(logged.get(0).length() < 500);
    }

    @Test
    public void aZoneWithoutARecordInAFullPageIsOpenAgain() {
        reader.replaceAll(new Page(List.of(record("evacuate/burgas", "{}", 4)), 5));
        reader.replaceAll(new Page(List.of(), 9));
        assertEquals(latest().closedZones().zones(), Set.of());
    }
}
