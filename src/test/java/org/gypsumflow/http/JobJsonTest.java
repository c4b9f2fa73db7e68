package org.gypsumflow.http;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class JobJsonTest {
    private static final SubmissionKey KEY = SubmissionKey.of(Caller.of("caller"), "key");
    private static final String JOB = "{\"service\":\"s\",\"tasks\":[{\"payload\":\"p\"}],%s}";

    @DataProvider
    public Object[][] oddJobs() {
        return new Object[][] {
            {"[".repeat(100_000)},
            {"{\"service\":\"s\",\"tasks\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}"},
            {String.format(JOB, "\"timeoutMillis\":18446744073709551621")},
            {String.format(JOB, "\"timeoutMillis\":9223372036854775807")},
            {String.format(JOB, "\"timeoutMillis\":1e999")},
            {String.format(JOB, "\"timeoutMillis\":-1")},
            {String.format(JOB, "\"deadline\":\"+1000000000-12-31T23:59:59Z\"")},
            {String.format(JOB, "\"deadline\":\"-1000000000-01-01T00:00:00Z\"")},
            {String.format(JOB, "\"deadline\":\"" + "9".repeat(100_000) + "\"")},
            {String.format(JOB, "\"" + "u".repeat(40_000) + "\":1")},
            {"{\"service\":[\"s\"],\"tasks\":[{\"payload\":\"p\"}]}"},
            {"{\"service\":\"s\",\"tasks\":[7]}"},
            {"{\"service\":\"s\""},
        };
    }

    // Guards against a timeout that is cut off, and against an internal error for a deadline beyond a long.
    @Test(dataProvider = "oddJobs")
    public void anOddJobIsRejectedWithABriefReason(String body) {
        ValidationException rejection = expectThrows(
                ValidationException.class,
                () -> JobJson.parseJob(KEY, body.getBytes(StandardCharsets.UTF_8), Instant.EPOCH));
        assertTrue(
                rejection.getMessage().length() < 500,
                "length: " + rejection.getMessage().length());
    }
}
