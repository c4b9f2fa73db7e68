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
    private static final String GOOD = job(3, 20, ",\"timeoutMillis\":20000");
    private TestCluster site;

    private static String job(int tasks, int millis, String more) {
        String list = String.join(",", Collections.nCopies(tasks, "{\"payload\":\"" + millis + "\"}"));
        return "{\"service\":\"bookings\",\"tasks\":[" + list + "]" + more + "}";
    }

    @BeforeClass
    public void startSite() {
        site = TestCluster.start(2, "plovdiv", "sofia");
    }

    @AfterClass(alwaysRun = true)
    public void stopSite() {
        site.close();
    }

    @Test
    public void aJobIsAnsweredWholeAndItsResubmissionStartsNothing() {
        TestCluster.Answer first = site.submit(0, "whole", job(40, 20, ""));
        assertEquals(
                first.json().path("verdict").asText(), "COMPLETED", first.json().toString());
        assertEquals(first.json().path("tasks").size(), 40);
        int starts = site.starts().size();
        TestCluster.Answer again = site.submit(1, "whole", job(40, 20, ""));
        assertEquals(again, first);
        assertEquals(site.starts().size(), starts);
        assertEquals(new HashSet<>(site.starts()).size(), starts);
    }

    @DataProvider
    public static Object[][] badJobs() {
        return new Object[][] {
            {"broken JSON", "{\"service\":", 400, "field \"body\": is not JSON"},
            {"no object", "[]", 400, "field \"body\": must be a JSON object"},
            {"empty job", job(0, 1, ""), 400, "field \"tasks\": the job has no task"},
            {"181 tasks", job(181, 1, ""), 400, "field \"tasks\": the job has 181 tasks, at most 180 are allowed"},
            {"no service", "{\"tasks\":[]}", 400, "field \"service\": must be a text"},
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

    @Test(dataProvider = "badJobs")
    public void badInputIsRefusedWithTheNameOfTheField(String name, String body, int status, String message) {
        int starts = site.starts().size();
        TestCluster.Answer answer = site.submit(0, "bad", body);
        assertEquals(answer.status(), status, name + ": " + answer.json());
        assertEquals(answer.json().path("verdict").asText(), "NOT_RUN");
        assertTrue(
                answer.json().path("message").asText().startsWith(message),
                answer.json().toString());
        assertEquals(site.starts().size(), starts);
    }

    @Test
    public void aKeyThatIsMissingTooLongOrNotPrintableIsRefused() {
        assertEquals(site.submit(0, "x".repeat(129), GOOD).status(), 400);
        assertEquals(site.submit(0, "a b", GOOD).status(), 400);
        byte[] body = GOOD.getBytes(StandardCharsets.UTF_8);
        TestCluster.Answer answer = site.post(0, "jobs", "caller-token", Map.of(), body);
        assertEquals(answer.json().path("message").asText(), "field \"Idempotency-Key\": is missing or empty");
    }

    @Test
    public void anUnknownCallerIsRefusedAndNothingRuns() {
        int starts = site.starts().size();
        Map<String, String> headers = Map.of("Idempotency-Key", "stranger");
        TestCluster.Answer answer = site.post(0, "jobs", "wrong", headers, GOOD.getBytes(StandardCharsets.UTF_8));
        assertEquals(answer.status(), 401);
        assertEquals(answer.json().path("code").asText(), "UNKNOWN_CALLER");
        assertEquals(site.starts().size(), starts);
    }

    @Test
    public void aCallerIsNoOperator() {
        byte[] body = "{\"intent\":\"drain sofia\"}".getBytes(StandardCharsets.UTF_8);
        assertEquals(site.post(0, "plans", "caller-token", Map.of(), body).status(), 403);
    }

    @Test
    public void anUnknownPathIsNamed() {
        TestCluster.Answer answer = site.post(0, "nonsense", "caller-token", Map.of(), new byte[0]);
        assertEquals(answer.status(), 404);
        assertTrue(answer.json().path("message").asText().contains("/v1/commands/nonsense"));
    }

    @Test
    public void theSameKeyWithAnotherBodyIsRefused() {
        assertEquals(site.submit(0, "reused", GOOD).status(), 200);
        TestCluster.Answer other = site.submit(1, "reused", job(3, 21, ""));
        assertEquals(other.status(), 422);
        assertEquals(other.json().path("code").asText(), "KEY_REUSED");
    }

    @Test
    public void aServiceWithoutTargetsIsRefusedAsNotRun() {
        TestCluster.Answer answer = site.submit(0, "nowhere", GOOD.replace("bookings", "nowhere"));
        assertEquals(answer.json().path("code").asText(), "NO_TARGET");
        assertEquals(answer.json().path("verdict").asText(), "NOT_RUN");
    }

    @Test
    public void twoClientsWithOneKeyAtTwoEntriesAtOnceGetOneRun() {
        int before = site.starts().size();
        CompletableFuture<TestCluster.Answer> left = site.submitAsync(0, "race", job(10, 50, ""));
        CompletableFuture<TestCluster.Answer> right = site.submitAsync(1, "race", job(10, 50, ""));
        assertEquals(left.join(), right.join());
        assertEquals(left.join().status(), 200);
        assertEquals(site.starts().size(), before + 10);
    }

    @Test
    public void aTicketRunsOnceAtWhicheverEntryItArrives() {
        byte[] body = "{\"count\":1}".getBytes(StandardCharsets.UTF_8);
        String ticket = site.post(0, "tickets", "caller-token", Map.of(), body)
                .json()
                .path("tickets")
                .get(0)
                .asText();
        int before = site.starts().size();
        TestCluster.Answer elsewhere = site.submit(1, ticket, GOOD);
        assertEquals(elsewhere.status(), 200, elsewhere.json().toString());
        assertEquals(site.submit(0, ticket, GOOD), elsewhere);
        assertEquals(site.starts().size(), before + 3);
    }

    @Test
    public void anIntentThatIsNotUnderstoodIsAnsweredWithTheClosestOnes() {
        byte[] body = "{\"intent\":\"drian sofia\"}".getBytes(StandardCharsets.UTF_8);
        TestCluster.Answer answer = site.post(0, "plans", "operator-token", Map.of(), body);
        assertEquals(answer.status(), 400);
        assertTrue(answer.json().path("message").asText().contains("drain ZONE"));
    }

    @Test(dependsOnMethods = "twoClientsWithOneKeyAtTwoEntriesAtOnceGetOneRun")
    public void aTargetThatAnswersGarbageOrFailsLeavesAClearVerdict() {
        site.targets.forEach(target -> target.setMode(Mode.MALFORMED_RESPONSE));
        TestCluster.Answer garbage = site.submit(0, "garbage", GOOD);
        site.targets.forEach(target -> target.setMode(Mode.FAIL));
        TestCluster.Answer failed = site.submit(0, "failed", GOOD);
        site.targets.forEach(target -> target.setMode(Mode.UNRESPONSIVE));
        TestCluster.Answer silent = site.submit(0, "silent", job(2, 20, ",\"timeoutMillis\":700"));
        site.targets.forEach(target -> target.setMode(Mode.NORMAL));
        assertEquals(
                garbage.json().path("verdict").asText(),
                "MAY_HAVE_RUN",
                garbage.json().toString());
        assertEquals(
                failed.json().path("verdict").asText(), "FAILED", failed.json().toString());
        assertEquals(
                silent.json().path("verdict").asText(),
                "MAY_HAVE_RUN",
                silent.json().toString());
    }

    @Test(dependsOnMethods = "aTargetThatAnswersGarbageOrFailsLeavesAClearVerdict")
    public void aKeyIsHeldWhileTheLogIsOutAndRunsOnceItIsBack() {
        site.log.setBehaviour(new Behaviour(true, Duration.ofMillis(2), false));
        CompletableFuture<TestCluster.Answer> held = site.submitAsync(0, "held", GOOD);
        TestCluster.Answer refused = site.submit(1, "hurried", job(1, 20, ",\"timeoutMillis\":500"));
        assertEquals(
                refused.json().path("verdict").asText(),
                "MAY_HAVE_RUN",
                refused.json().toString());
        assertTrue(refused.json().path("message").asText().contains("started nothing"));
        site.log.setBehaviour(new Behaviour(false, Duration.ofMillis(2), false));
        assertEquals(held.join().status(), 200, held.join().json().toString());
    }

    @Test(dependsOnMethods = "aKeyIsHeldWhileTheLogIsOutAndRunsOnceItIsBack")
    public void aDrainedZoneStartsNothingAndItsPlanTellsSo() {
        byte[] intent = "{\"intent\":\"drain sofia\"}".getBytes(StandardCharsets.UTF_8);
        String plan = site.post(0, "plans", "operator-token", Map.of(), intent)
                .json()
                .path("plan")
                .asText();
        byte[] confirmation = ("{\"plan\":\"" + plan + "\"}").getBytes(StandardCharsets.UTF_8);
        TestCluster.Answer confirmed = site.post(1, "confirmations", "operator-token", Map.of(), confirmation);
        assertEquals(
                confirmed.json().path("standing").asText(),
                "ACCEPTED",
                confirmed.json().toString());
        site.await(() -> !site.query(0, "plans/" + plan).json().path("done").isEmpty());
        int before = site.starts().size();
        assertEquals(site.submit(0, "drained", job(30, 20, "")).status(), 200);
        assertTrue(site.starts().stream()
                .filter(start -> start.contains(" sofia "))
                .noneMatch(start -> start.startsWith(digest("drained"))));
        assertEquals(site.starts().size(), before + 30);
        assertEquals(
                site.post(1, "confirmations", "operator-token", Map.of(), confirmation)
                        .status(),
                409);
    }

    @Test(dependsOnMethods = "aDrainedZoneStartsNothingAndItsPlanTellsSo")
    public void aGracefulShutdownOfAnEntryCutsNoRequest() {
        CompletableFuture<TestCluster.Answer> running = site.submitAsync(1, "shutdown", job(8, 700, ""));
        site.await(() -> site.starts().stream().anyMatch(start -> start.startsWith(digest("shutdown"))));
        site.entries.remove(1).shutdown();
        assertEquals(running.join().status(), 200, running.join().json().toString());
    }

    @Test
    public void healthReadinessAndMetricsAreServed() {
        assertEquals(site.text(site.url(0) + "/health/live"), "live");
        assertEquals(site.text(site.url(0) + "/health/ready"), "ready");
        assertTrue(site.text(site.url(0) + "/metrics").contains("gypsumflow_workers_connected"));
    }

    private static String digest(String key) {
        return org.gypsumflow.model.SubmissionKey.of(org.gypsumflow.model.Caller.of("ruseva"), key)
                .digest()
                .toString();
    }
}
