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

/** Runs the real daemons over sockets against stand-ins that speak the platform's protocol. */
public final class BestEffortDaemonTest {
    private static final int MOST_TRIES = 300;

    private LoopbackCluster site;

    @BeforeMethod
    public void startASite() {
        site = LoopbackCluster.start(Duration.ofMillis(50), settings -> {
            Daemon daemon = Daemon.start(SettingsReader.parse(settings));
            return new RunningDaemon(daemon.httpPort(), daemon::abort);
        });
    }

    @AfterMethod
    public void stopTheSite() {
        site.close();
    }

    private static void until(String what, BooleanSupplier condition) {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            if (condition.getAsBoolean()) {
                return;
            }
            CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS))
                    .join();
        }
        throw new IllegalStateException("waited in vain until " + what);
    }

    private void open() {
        site.putRoutes(1);
        site.reportWorker("ready").join();
        until(
                "a job is answered",
                () -> site.submitJob("00000000000000ff", 1).join().status() == 200);
    }

    private static String text(ClientResponse answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Test
    public void anEntryWithoutRoutesIsNotReadyAndRefusesJobs() {
        assertEquals(site.getReadiness().join().status(), 503);
        assertEquals(site.submitJob("0000000000000001", 1).join().status(), 503);
    }

    @Test
    public void aJobIsAnsweredWholeAndEachTaskStartsOnce() {
        open();
        ClientResponse answer = site.submitJob("0000000000000002", 5).join();
        assertEquals(text(answer), "{\"state\":\"done\"}");
        List<String> starts = site.worker().startedTasks().stream()
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
    public void anUnknownRouteAnUnknownJobAndAnEmptyQueueAreToldApart() {
        open();
        assertEquals(site.get("/elsewhere/0000000000000003").join().status(), 404);
        assertEquals(site.get("/jobs/0000000000000003").join().status(), 410);
        assertEquals(text(site.get("/jobs/").join()), "{\"pending\":0}");
    }

    @Test
    public void jobsGoOnWhileTheStoreIsDown() {
        open();
        site.store().setUnavailable(true);
        assertEquals(site.submitJob("0000000000000004", 3).join().status(), 200);
    }

    @Test
    public void aDrainingWorkerStartsNothing() {
        open();
        int before = site.worker().startedTasks().size();
        assertEquals((int) site.reportWorker("draining").join(), 200);
        assertEquals(site.submitJob("0000000000000005", 1).join().status(), 503);
        assertEquals(site.worker().startedTasks().size(), before);
    }

    @Test
    public void aZoneThatIsEmptiedStartsNothingUntilItIsTakenBack() {
        open();
        site.store().put("keyed.op", "evacuate/sofia", "{}");
        until(
                "the zone is closed",
                () -> site.submitJob("0000000000000006", 1).join().status() == 503);
        int before = site.worker().startedTasks().size();
        site.submitJob("0000000000000007", 1).join();
        assertEquals(site.worker().startedTasks().size(), before);
        site.store().put("keyed.op", "evacuate/sofia", "");
        until(
                "the zone is open",
                () -> site.submitJob("0000000000000008", 1).join().status() == 200);
        assertTrue(site.worker().startedTasks().size() > before);
    }

    @Test
    public void newRoutesComeIntoForce() {
        open();
        site.store().put("keyed.op", "config", "{\"version\":9,\"routes\":[],\"services\":[]}");
        until("the route is gone", () -> site.get("/jobs/").join().status() == 404);
    }
}
