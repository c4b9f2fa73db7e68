package org.gypsumflow.world;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.world.BestEffortSimulation.Attempt;
import org.gypsumflow.world.BestEffortSimulation.EntryHost;
import org.gypsumflow.world.FakeWorker.TaskBehaviour;
import org.gypsumflow.world.FakeWorkerHost.Fate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A job that has run for long and is sent to another entry while no stop reaches its worker for some time. */
public final class LongJobHandoverTest {
    private static final Route ROUTE = new Route(
            RouteName.of("route"),
            "",
            "/",
            FakeWorkerHost.SERVICE,
            0,
            3,
            2.0,
            Duration.ofSeconds(60),
            Duration.ofSeconds(200));
    private static final TaskBehaviour TASK = new TaskBehaviour(1000, 100_000, false);
    private static final BestEffortJob JOB = new BestEffortJob(
            JobId.of("00000000000000c1"),
            ROUTE,
            1,
            TASK.specification(),
            1,
            TASK.resources(),
            Duration.ofMillis(TASK.millis()));
    private static final Duration CALLER_PATIENCE = Duration.ofSeconds(200);
    private static final Duration RESEND_DELAY = Duration.ofMillis(1300);
    private static final Duration TIME_WITHOUT_STOPS = Duration.ofSeconds(5);

    private BestEffortSimulation simulation;
    private EntryHost owner;
    private EntryHost other;

    @BeforeMethod
    public void startTwoEntriesAndTwoWorkers() {
        simulation = new BestEffortSimulation(1, false, DispatchFeatures.none());
        owner = simulation.addEntry("entry-1", "sofia");
        other = simulation.addEntry("entry-2", "burgas");
        simulation.addAgent("agent-1", "sofia", Resources.of(4000, 1000, 0));
        simulation.addAgent("agent-2", "burgas", Resources.of(4000, 1000, 0));
        simulation.clock.advance(Duration.ofSeconds(3));
    }

    @DataProvider
    public static Object[][] ages() {
        return new Object[][] {{1}, {4}, {9}, {12}, {16}, {31}, {61}};
    }

    // Guards against two runs of one task: 15 s after it was accepted, the other entries forgot who owned a job.
    @Test(dataProvider = "ages")
    public void aJobThatIsSentToAnotherEntryStartsAfterItsFormerRunHasEndedHoweverLongThatWent(int ageSeconds) {
        Attempt first = simulation.submit(owner, JOB, CALLER_PATIENCE);
        simulation.clock.advance(Duration.ofSeconds(ageSeconds));
        setStopFates(Fate.NEVER_EXECUTED);
        simulation.disconnect(first, Duration.ZERO);
        simulation.clock.advance(RESEND_DELAY);
        simulation.submit(other, JOB, CALLER_PATIENCE);
        assertSecondRunFollowsTheFirst();
    }

    // Guards against two runs of one task: only the entry that takes a job over is known as its owner, and it is lost
    // while it waits for the end of the former run.
    @Test
    public void aJobThatIsSentToAThirdEntryStartsAfterItsFormerRunHasEndedAlthoughTheSecondEntryIsLost() {
        EntryHost third = simulation.addEntry("entry-3", "plovdiv");
        simulation.clock.advance(Duration.ofSeconds(4));
        Attempt first = simulation.submit(owner, JOB, CALLER_PATIENCE);
        simulation.clock.advance(Duration.ofSeconds(16));
        setStopFates(Fate.NEVER_EXECUTED);
        simulation.disconnect(first, Duration.ZERO);
        simulation.clock.advance(RESEND_DELAY);
        simulation.submit(other, JOB, CALLER_PATIENCE);
        simulation.clock.advance(Duration.ofSeconds(20));
        simulation.kill(other, true);
        simulation.clock.advance(RESEND_DELAY);
        simulation.submit(third, JOB, CALLER_PATIENCE);
        assertSecondRunFollowsTheFirst();
    }

    private void setStopFates(Fate fate) {
        simulation.agents.values().forEach(agent -> agent.worker.setStopFates(() -> fate));
    }

    private void assertSecondRunFollowsTheFirst() {
        simulation.clock.advance(TIME_WITHOUT_STOPS);
        setStopFates(Fate.ANSWERED);
        simulation.clock.advance(TIME_WITHOUT_STOPS);
        assertEquals(simulation.runs.size(), 2, "starts: " + simulation.runs);
        assertEquals(BestEffortInvariants.overlappingRuns(simulation.runs), List.of());
    }
}
