package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.standin.LogStandIn.Behaviour;
import org.gypsumflow.standin.TargetStandIn.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public final class AtMostOnceDaemonTest {
    private static final String VALID_JOB = job(3, 20, ",\"timeoutMillis\":20000");
    private TestCluster cluster;

    private static String job(int tasks, int millis, String extraFields) {
        String list = String.join(",", Collections.nCopies(tasks, "{\"payload\":\"" + millis + "\"}"));
        return "{\"service\":\"bookings\",\"tasks\":[" + list + "]" + extraFields + "}";
    }

    @BeforeClass
    public void startCluster() {
        cluster = TestCluster.start(2, "plovdiv", "sofia");
    }

    @AfterClass(alwaysRun = true)
    public void stopCluster() {
        cluster.close();
    }

    @Test
    public void aJobReturnsAllOutcomesAndItsResubmissionStartsNothing() {
        TestCluster.Response first = cluster.submit(0, "whole", job(40, 20, ""));
        assertEquals(
                first.json().path("verdict").asText(), "COMPLETED", first.json().toString());
        assertEquals(first.json().path("tasks").size(), 40);
        int startedBefore = cluster.readStartedTasks().size();
        TestCluster.Response repeated = cluster.submit(1, "whole", job(40, 20, ""));
        assertEquals(repeated, first);
        assertEquals(cluster.readStartedTasks().size(), startedBefore);
        assertEquals(new HashSet<>(cluster.readStartedTasks()).size(), startedBefore);
    }

    @DataProvider
    public static Object[][] invalidJobs() {
        return new Object[][] {
            {"broken JSON", "{\"service\":", 400, "field \"body\": is not JSON"},
            {"no object", "[]", 400, "field \"body\": must be a JSON object"},
            {"empty job", job(0, 1, ""), 400, "field \"tasks\": the job has no task"},
            {"181 tasks", job(181, 1, ""), 400, "field \"tasks\": the job has 181 tasks, at most 180 are allowed"},
            {"no service", "{\"tasks\":[]}", 400, "field \"service\": must be a string"},
            {"bad service", "{\"service\":\"a b\",\"tasks\":[]}", 400, "field \"service\": \"a b\" must start"},
            {"unknown field", job(1, 1, ",\"color\":1"), 400, "field \"color\": is unknown"},
            {"past deadline", job(1, 1, ",\"deadline\":\"2020-01-01T00:00:00Z\""), 400, "field \"deadline\":"},
            {"malformed deadline", job(1, 1, ",\"deadline\":\"soon\""), 400, "field \"deadline\": \"soon\" is not"},
            {"timeout of zero", job(1, 1, ",\"timeoutMillis\":0"), 400, "field \"timeoutMillis\": is 0, allowed is 1"},
            {"timeout in words", job(1, 1, ",\"timeoutMillis\":\"x\""), 400, "field \"timeoutMillis\": must be"},
            {"task without payload", "{\"service\":\"bookings\",\"tasks\":[{}]}", 400, "field \"tasks[0].payload\""},
            {
                "payload too long",
                "{\"service\":\"bookings\",\"tasks\":[{\"payload\":\"" + "x".repeat(4097) + "\"}]}",
                400,
                "field \"tasks[0].payload\": has 4097 characters, at most 4096 are allowed"
            },
            {"body too large", "{\"x\":\"" + "x".repeat(5_000_000) + "\"}", 413, "the body is larger than"},
        };
    }

    @Test(dataProvider = "invalidJobs")
    public void invalidInputIsRejectedWithTheNameOfTheField(String name, String body, int status, String message) {
        int startedBefore = cluster.readStartedTasks().size();
        TestCluster.Response response = cluster.submit(0, "bad", body);
        assertEquals(response.status(), status, name + ": " + response.json());
        assertEquals(response.json().path("verdict").asText(), "NOT_RUN");
        assertTrue(
                response.json().path("message").asText().startsWith(message),
                response.json().toString());
        assertEquals(cluster.readStartedTasks().size(), startedBefore);
    }

    @Test
    public void aKeyThatIsMissingTooLongOrNotPrintableIsRejected() {
        assertEquals(cluster.submit(0, "x".repeat(129), VALID_JOB).status(), 400);
        assertEquals(cluster.submit(0, "a b", VALID_JOB).status(), 400);
        byte[] body = VALID_JOB.getBytes(StandardCharsets.UTF_8);
        TestCluster.Response response = cluster.post(0, "jobs", "caller-token", Map.of(), body);
        assertEquals(response.json().path("message").asText(), "field \"Idempotency-Key\": is missing or empty");
    }

    @Test
    public void anUnknownCallerIsRejectedAndNothingRuns() {
        int startedBefore = cluster.readStartedTasks().size();
        Map<String, String> headers = Map.of("Idempotency-Key", "stranger");
        TestCluster.Response response =
                cluster.post(0, "jobs", "wrong", headers, VALID_JOB.getBytes(StandardCharsets.UTF_8));
        assertEquals(response.status(), 401);
        assertEquals(response.json().path("code").asText(), "UNKNOWN_CALLER");
        assertEquals(cluster.readStartedTasks().size(), startedBefore);
    }

    @Test
    public void aCallerCannotCreatePlans() {
        byte[] body = "{\"intent\":\"drain sofia\"}".getBytes(StandardCharsets.UTF_8);
        assertEquals(cluster.post(0, "plans", "caller-token", Map.of(), body).status(), 403);
    }

    @Test
    public void anUnknownPathIsNamedInTheResponse() {
        TestCluster.Response response = cluster.post(0, "nonsense", "caller-token", Map.of(), new byte[0]);
        assertEquals(response.status(), 404);
        assertTrue(response.json().path("message").asText().contains("/v1/commands/nonsense"));
    }

    @Test
    public void aKeyReusedWithAnotherBodyIsRejected() {
        assertEquals(cluster.submit(0, "reused", VALID_JOB).status(), 200);
        TestCluster.Response other = cluster.submit(1, "reused", job(3, 21, ""));
        assertEquals(other.status(), 422);
        assertEquals(other.json().path("code").asText(), "KEY_REUSED");
    }

    @Test
    public void aJobOfAServiceWithoutTargetsIsRejectedAsNotRun() {
        TestCluster.Response response = cluster.submit(0, "nowhere", VALID_JOB.replace("bookings", "nowhere"));
        assertEquals(response.json().path("code").asText(), "NO_TARGET");
        assertEquals(response.json().path("verdict").asText(), "NOT_RUN");
    }

    @Test
    public void concurrentSubmissionsOfOneKeyAtTwoEntriesRunOnce() {
        int before = cluster.readStartedTasks().size();
        CompletableFuture<TestCluster.Response> left = cluster.submitAsync(0, "race", job(10, 50, ""));
        CompletableFuture<TestCluster.Response> right = cluster.submitAsync(1, "race", job(10, 50, ""));
        assertEquals(left.join(), right.join());
        assertEquals(left.join().status(), 200);
        assertEquals(cluster.readStartedTasks().size(), before + 10);
    }

    @Test
    public void aTicketRunsOnceAtWhicheverEntryItIsSubmitted() {
        byte[] body = "{\"count\":1}".getBytes(StandardCharsets.UTF_8);
        String ticket = cluster.post(0, "tickets", "caller-token", Map.of(), body)
                .json()
                .path("tickets")
                .get(0)
                .asText();
        int before = cluster.readStartedTasks().size();
        TestCluster.Response elsewhere = cluster.submit(1, ticket, VALID_JOB);
        assertEquals(elsewhere.status(), 200, elsewhere.json().toString());
        assertEquals(cluster.submit(0, ticket, VALID_JOB), elsewhere);
        assertEquals(cluster.readStartedTasks().size(), before + 3);
    }

    @Test
    public void anUnknownIntentIsRejectedWithTheClosestKnownOnes() {
        byte[] body = "{\"intent\":\"drian sofia\"}".getBytes(StandardCharsets.UTF_8);
        TestCluster.Response response = cluster.post(0, "plans", "operator-token", Map.of(), body);
        assertEquals(response.status(), 400);
        assertTrue(response.json().path("message").asText().contains("drain ZONE"));
    }

    @Test(dependsOnMethods = "concurrentSubmissionsOfOneKeyAtTwoEntriesRunOnce")
    public void malformedFailedAndMissingTargetResponsesGiveDistinctVerdicts() {
        cluster.targets.forEach(target -> target.setMode(Mode.MALFORMED_RESPONSE));
        TestCluster.Response malformed = cluster.submit(0, "garbage", VALID_JOB);
        cluster.targets.forEach(target -> target.setMode(Mode.FAIL));
        TestCluster.Response failed = cluster.submit(0, "failed", VALID_JOB);
        cluster.targets.forEach(target -> target.setMode(Mode.UNRESPONSIVE));
        TestCluster.Response unresponsive = cluster.submit(0, "silent", job(2, 20, ",\"timeoutMillis\":700"));
        cluster.targets.forEach(target -> target.setMode(Mode.NORMAL));
        assertEquals(
                malformed.json().path("verdict").asText(),
                "MAY_HAVE_RUN",
                malformed.json().toString());
        assertEquals(
                failed.json().path("verdict").asText(), "FAILED", failed.json().toString());
        assertEquals(
                unresponsive.json().path("verdict").asText(),
                "MAY_HAVE_RUN",
                unresponsive.json().toString());
    }

    @Test(dependsOnMethods = "malformedFailedAndMissingTargetResponsesGiveDistinctVerdicts")
    public void aJobWaitsWhileTheLogIsUnavailableAndRunsAfterwards() {
        cluster.log.setBehaviour(new Behaviour(true, Duration.ofMillis(2), false));
        CompletableFuture<TestCluster.Response> waiting = cluster.submitAsync(0, "held", VALID_JOB);
        TestCluster.Response timedOut = cluster.submit(1, "hurried", job(1, 20, ",\"timeoutMillis\":500"));
        assertEquals(
                timedOut.json().path("verdict").asText(),
                "MAY_HAVE_RUN",
                timedOut.json().toString());
        assertTrue(timedOut.json().path("message").asText().contains("started nothing"));
        cluster.log.setBehaviour(new Behaviour(false, Duration.ofMillis(2), false));
        assertEquals(waiting.join().status(), 200, waiting.join().json().toString());
    }

    @Test(dependsOnMethods = "aJobWaitsWhileTheLogIsUnavailableAndRunsAfterwards")
    public void aDrainedZoneStartsNothingAndItsPlanIsReportedAsApplied() {
        byte[] intent = "{\"intent\":\"drain sofia\"}".getBytes(StandardCharsets.UTF_8);
        String plan = cluster.post(0, "plans", "operator-token", Map.of(), intent)
                .json()
                .path("plan")
                .asText();
        byte[] confirmation = ("{\"plan\":\"" + plan + "\"}").getBytes(StandardCharsets.UTF_8);
        TestCluster.Response confirmed = cluster.post(1, "confirmations", "operator-token", Map.of(), confirmation);
        assertEquals(
                confirmed.json().path("standing").asText(),
                "ACCEPTED",
                confirmed.json().toString());
        cluster.await(
                () -> !cluster.query(0, "plans/" + plan).json().path("done").isEmpty());
        int before = cluster.readStartedTasks().size();
        assertEquals(cluster.submit(0, "drained", job(30, 20, "")).status(), 200);
        assertTrue(cluster.readStartedTasks().stream()
                .filter(start -> start.contains(" sofia "))
                .noneMatch(start -> start.startsWith(digest("drained"))));
        assertEquals(cluster.readStartedTasks().size(), before + 30);
        assertEquals(
                cluster.post(1, "confirmations", "operator-token", Map.of(), confirmation)
                        .status(),
                409);
    }

    @Test(dependsOnMethods = "aDrainedZoneStartsNothingAndItsPlanIsReportedAsApplied")
    public void anOrderlyShutdownOfAnEntryInterruptsNoRequest() {
        CompletableFuture<TestCluster.Response> running = cluster.submitAsync(1, "shutdown", job(8, 700, ""));
        cluster.await(
                () -> cluster.readStartedTasks().stream().anyMatch(start -> start.startsWith(digest("shutdown"))));
        cluster.entries.remove(1).shutdown();
        assertEquals(running.join().status(), 200, running.join().json().toString());
    }

    @Test
    public void healthReadinessAndMetricsAreServed() {
        assertEquals(cluster.getText(cluster.url(0) + "/health/live"), "live");
        assertEquals(cluster.getText(cluster.url(0) + "/health/ready"), "ready");
        assertTrue(cluster.getText(cluster.url(0) + "/metrics").contains("gypsumflow_workers_connected"));
    }

    private static String digest(String key) {
        return org.gypsumflow.model.SubmissionKey.of(org.gypsumflow.model.Caller.of("ruseva"), key)
                .digest()
                .toString();
    }
}
