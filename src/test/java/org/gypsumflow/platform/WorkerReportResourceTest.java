package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

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

    @Test(dataProvider = "invalidReports")
    public void anInvalidReportIsRejected(String body) {
        assertThrows(ValidationException.class, () -> parse(body));
    }
}
