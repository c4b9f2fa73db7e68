package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class WorkerReportResourceTest {
    private static final String VALID_REPORT =
            "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"rvk-a\","
                    + "\"slots\":8,\"state\":\"draining\",\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},"
                    + "\"labels\":[\"a\",\"r1-3\"],\"sequence\":4,\"born\":1772086629250}";

    private static WorkerReport parse(String body) {
        return WorkerReportResource.parse("i-7f3a91c2", Json.parseObject(body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    public void aReportIsParsedWithAllFields() {
        WorkerReport report = parse(VALID_REPORT);
        assertEquals(report.capacity(), Resources.of(16_000, 32_768, 0));
        assertEquals(report.rack(), "r1-3");
        assertEquals(report.startedAtMillis(), 1_772_086_629_250L);
        assertTrue(report.draining());
    }

    @DataProvider
    public Object[][] invalidReports() {
        return new Object[][] {
            {"nothing at all"},
            {"{}"},
            {VALID_REPORT.replace("\"draining\"", "\"resting\"")},
            {VALID_REPORT.replace("\"zone\":\"rvk-a\",", "")},
            {VALID_REPORT.replace("\"sequence\":4", "\"sequence\":\"four\"")},
            {VALID_REPORT.replace("{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}", "7")},
            {VALID_REPORT.replace("16000", "\"many\"")},
        };
    }

    private static String with(String part, String replacement) {
        assertTrue(VALID_REPORT.contains(part));
        return VALID_REPORT.replace(part, replacement);
    }

    @DataProvider
    public Object[][] oddReports() {
        return new Object[][] {
            {"[".repeat(100_000)},
            {with("\"state\"", "\"more\":" + "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000) + ",\"state\"")},
            {with("[\"a\",\"r1-3\"]", "[".repeat(100_000) + "]".repeat(100_000))},
            {with("16000", "4294983296")},
            {with("16000", "18446744073709567616")},
            {with("16000", "1e999")},
            {with("16000", "16000.5")},
            {with("16000", "-16000")},
            {with("16000", "9".repeat(100_000))},
            {with("32768", "4294967297")},
            {with("\"gpu\":0", "\"gpu\":4294967296")},
            {with("\"gpu\":0", "\"gpu\":null")},
            {with("1772086629250", "18446744073709551617")},
            {with("1772086629250", "9223372036854775807")},
            {with("1772086629250", "-1")},
            {with("1772086629250", "1.5")},
            {with("1772086629250", "\"1772086629250\"")},
            {with("\"sequence\":4", "\"sequence\":18446744073709551620")},
            {with("\"sequence\":4", "\"sequence\":-1")},
            {with("\"draining\"", "\"" + "d".repeat(100_000) + "\"")},
            {with("\"draining\"", "[\"" + "d".repeat(100_000) + "\"]")},
            {with("\"huvo11a\"", "\"" + "s".repeat(100_000) + "\"")},
            {VALID_REPORT.substring(0, 150)},
            {"\u0000\u00FF"},
        };
    }

    // Guards against a worker that is never used again, or with another capacity: a number of its report was cut off.
    @Test(dataProvider = "oddReports")
    public void anOddReportIsRejectedWithABriefReason(String body) {
        ValidationException rejection = expectThrows(ValidationException.class, () -> parse(body));
        assertTrue(
                rejection.getMessage().length() < 500,
                "length: " + rejection.getMessage().length());
    }

    @Test
    public void aReportThatIsNotUtf8IsRejected() {
        byte[] body = VALID_REPORT.getBytes(StandardCharsets.ISO_8859_1);
        body[VALID_REPORT.indexOf("huvo11a")] = (byte) 0xC3;
        assertThrows(ValidationException.class, () -> Json.parseObject(body));
    }

    @Test(dataProvider = "invalidReports")
    public void anInvalidReportIsRejected(String body) {
        assertThrows(ValidationException.class, () -> parse(body));
    }
}
