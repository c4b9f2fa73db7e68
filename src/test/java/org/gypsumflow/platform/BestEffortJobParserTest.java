package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class BestEffortJobParserTest {
    private static final Route ROUTE = new Route(
            RouteName.of("r"), "", "/", ServiceName.of("s"), 0, 1, 1.6, Duration.ofMillis(60), Duration.ofSeconds(1));

    private static Optional<BestEffortJob> parse(String body) {
        return BestEffortJobParser.parse(JobId.of("5c0e7a21d94b36f8"), ROUTE, 1, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void aJobOfOneStepIsParsedWithAllFields() {
        BestEffortJob job = parse("{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":3100,"
                        + "\"memMb\":64,\"estimateMs\":90}]}")
                .orElseThrow();
        assertEquals(job.taskCount(), 4);
        assertEquals(job.resourcesPerTask(), Resources.of(3100, 64, 0));
        assertEquals(job.estimate(), Duration.ofMillis(90));
    }

    @DataProvider
    public Object[][] unsupportedJobs() {
        return new Object[][] {
            {"{\"spec\":\"x\",\"steps\":[{\"count\":1}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":1},{\"count\":1,\"dependsOn\":[0]}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":2,\"gang\":true}]}"},
            {"{\"bestEffort\":true,\"times\":3,\"steps\":[{\"count\":1}]}"},
        };
    }

    @Test(dataProvider = "unsupportedJobs")
    public void aValidJobWithAnUnsupportedFeatureIsParsedAsEmpty(String body) {
        assertTrue(parse(body).isEmpty());
    }

    @DataProvider
    public Object[][] invalidBodies() {
        return new Object[][] {
            {"not json"},
            {"[]"},
            {"{\"bestEffort\":true}"},
            {"{\"bestEffort\":true,\"steps\":[]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"cpu\":1}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":0}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":\"four\"}]}"},
            {"{\"bestEffort\":\"yes\",\"steps\":[{\"count\":1}]}"},
            {"{\"spec\":7,\"bestEffort\":true,\"steps\":[{\"count\":1}]}"},
        };
    }

    @DataProvider
    public Object[][] oddBodies() {
        String job = "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":1,%s}]}";
        return new Object[][] {
            {"[".repeat(100_000)},
            {"{\"bestEffort\":true,\"steps\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":4294967297}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":18446744073709551617}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":2147483647}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":-1}]}"},
            {"{\"bestEffort\":true,\"steps\":[{\"count\":1e999}]}"},
            {"{\"bestEffort\":true,\"steps\":[7]}"},
            {String.format(job, "\"cpu\":4294967296")},
            {String.format(job, "\"cpu\":-500")},
            {String.format(job, "\"memMb\":4294967297")},
            {String.format(job, "\"gpu\":4294967296")},
            {String.format(job, "\"estimateMs\":9223372036854775807")},
            {String.format(job, "\"estimateMs\":18446744073709551617")},
            {String.format(job, "\"estimateMs\":-1")},
            {String.format(job, "\"estimateMs\":\"" + "9".repeat(100_000) + "\"")},
        };
    }

    // Guards against a job of 4,294,967,297 tasks that was answered as done after one of them.
    @Test(dataProvider = "oddBodies")
    public void anOddBodyIsRejectedWithABriefReason(String body) {
        ValidationException rejection = expectThrows(ValidationException.class, () -> parse(body));
        assertTrue(
                rejection.getMessage().length() < 500,
                "length: " + rejection.getMessage().length());
    }

    @Test(dataProvider = "invalidBodies")
    public void anInvalidBodyIsRejected(String body) {
        assertThrows(ValidationException.class, () -> parse(body));
    }
}
