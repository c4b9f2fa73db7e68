package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.gypsumflow.standin.LoopbackCluster;
import org.gypsumflow.standin.LoopbackCluster.RunningDaemon;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** End-to-end tests of the best-effort daemons over sockets, against stand-ins for the platform's protocol. */
public final class BestEffortDaemonTest {
    private static final int MAX_TRIES = 300;

    private LoopbackCluster cluster;

    @BeforeMethod
    public void startCluster() {
        cluster = LoopbackCluster.start(Duration.ofMillis(50), settings -> {
            Daemon daemon = Daemon.start(SettingsReader.parse(settings));
            return new RunningDaemon(daemon.httpPort(), daemon::abort);
        });
    }

    @AfterMethod
    public void stopCluster() {
        cluster.close();
    }

    private static void awaitCondition(String condition, BooleanSupplier predicate) {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            if (predicate.getAsBoolean()) {
                return;
            }
            CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS))
                    .join();
        }
        throw new IllegalStateException("timed out waiting until " + condition);
    }

    private void startServingJobs() {
        cluster.putRoutes(1);
        cluster.reportWorker("ready").join();
        awaitCondition(
                "a job completes",
                () -> cluster.submitJob("00000000000000ff", 1).join().status() == 200);
    }

    private static String bodyText(ClientResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    @Test
    public void anEntryWithoutRoutesIsNotReadyAndRejectsJobs() {
        assertEquals(cluster.getReadiness().join().status(), 503);
        assertEquals(cluster.submitJob("0000000000000001", 1).join().status(), 503);
    }

    @Test
    public void aJobCompletesAndEachOfItsTasksStartsOnce() {
        startServingJobs();
        ClientResponse response = cluster.submitJob("0000000000000002", 5).join();
        assertEquals(bodyText(response), "{\"state\":\"done\"}");
        List<String> starts = cluster.worker().startedTasks().stream()
                .filter(task -> task.startsWith("0000000000000002"))
                .sorted()
                .toList();
        assertEquals(
                starts,
                IntStream.range(0, 5)
                        .mapToObj(index -> "0000000000000002.0.0." + index)
                        .toList());
    }

    @Test
    public void anUnknownRouteAnUnknownJobAndAnEmptyQueueGiveDifferentResponses() {
        startServingJobs();
        assertEquals(cluster.get("/elsewhere/0000000000000003").join().status(), 404);
        assertEquals(cluster.get("/jobs/0000000000000003").join().status(), 410);
        assertEquals(bodyText(cluster.get("/jobs/").join()), "{\"pending\":0}");
    }

    @Test
    public void jobsRunWhileTheStoreIsUnavailable() {
        startServingJobs();
        cluster.store().setUnavailable(true);
        assertEquals(cluster.submitJob("0000000000000004", 3).join().status(), 200);
    }

    @Test
    public void aDrainingWorkerStartsNoTask() {
        startServingJobs();
        int before = cluster.worker().startedTasks().size();
        assertEquals((int) cluster.reportWorker("draining").join(), 200);
        assertEquals(cluster.submitJob("0000000000000005", 1).join().status(), 503);
        assertEquals(cluster.worker().startedTasks().size(), before);
    }

    @Test
    public void aClosedZoneStartsNoTaskUntilItIsReopened() {
        startServingJobs();
        cluster.store().put("keyed.op", "evacuate/sofia", "{}");
        awaitCondition(
                "the zone is closed",
                () -> cluster.submitJob("0000000000000006", 1).join().status() == 503);
        int before = cluster.worker().startedTasks().size();
        cluster.submitJob("0000000000000007", 1).join();
        assertEquals(cluster.worker().startedTasks().size(), before);
        cluster.store().put("keyed.op", "evacuate/sofia", "");
        awaitCondition(
                "the zone is open",
                () -> cluster.submitJob("0000000000000008", 1).join().status() == 200);
        assertTrue(cluster.worker().startedTasks().size() > before);
    }

    // Guards against tasks that start in an evacuated zone: the store turned the entries away and served the agents,
    // which
    // knew closed zones from the entries only.
    @Test
    public void aZoneIsClosedWhileTheStoreTurnsTheEntryAway() {
        startServingJobs();
        cluster.store().rejectRequestsTo(LoopbackCluster.STORE_OF_ENTRY);
        cluster.store().put("keyed.op", "evacuate/sofia", "{}");
        awaitCondition(
                "the zone is closed",
                () -> cluster.submitJob("0000000000000009", 1).join().status() == 503);
        int before = cluster.worker().startedTasks().size();
        cluster.submitJob("000000000000000a", 1).join();
        assertEquals(cluster.worker().startedTasks().size(), before);
    }

    @Test
    public void newRoutesAreApplied() {
        startServingJobs();
        cluster.store().put("keyed.op", "config", "{\"version\":9,\"routes\":[],\"services\":[]}");
        awaitCondition("the route is gone", () -> cluster.get("/jobs/").join().status() == 404);
    }
}
