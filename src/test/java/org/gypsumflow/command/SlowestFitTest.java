package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.gypsumflow.command.PlacementRule.Wanted;
import org.gypsumflow.command.WorkerBoard.Candidate;
import org.gypsumflow.model.DispatchMessage.WorkerRoom;
import org.gypsumflow.model.NodeName;
import org.gypsumflow.model.Resources;
import org.testng.annotations.Test;

public final class SlowestFitTest {
    private static final Resources TASK = Resources.of(3000, 64, 0);
    private static final PlacementRule RULE = SlowestFit.rule();

    private static Candidate worker(String name, int freeCores, double slowness, double failing) {
        WorkerRoom room = new WorkerRoom(
                true,
                "service",
                "zone",
                Resources.of(32_000, 100_000, 0),
                Resources.of(freeCores * 1000, 100_000, 0),
                Resources.NONE,
                Duration.ofMillis(200),
                slowness,
                failing,
                0);
        return new Candidate(NodeName.of(name), room, room.free());
    }

    private static Wanted job(int count, int estimateMillis) {
        return new Wanted(
                count,
                TASK,
                Duration.ofMillis(estimateMillis),
                1.6,
                Duration.ofMillis(60),
                Duration.ofMillis(estimateMillis * 5L),
                false);
    }

    @Test
    public void shortTasksGoToTheSlowestWorkerThatStillEndsThemInTime() {
        List<Candidate> workers = List.of(worker("fast", 32, 0.8, 0), worker("slow", 32, 1.8, 0));
        assertEquals(RULE.choose(job(2, 60), workers), Collections.nCopies(2, NodeName.of("slow")));
    }

    @Test
    public void longTasksGoToFastWorkersOnly() {
        List<Candidate> workers = List.of(worker("fast", 32, 0.8, 0), worker("slow", 32, 1.8, 0));
        assertEquals(RULE.choose(job(2, 1300), workers), Collections.nCopies(2, NodeName.of("fast")));
    }

    @Test
    public void aWorkerThatFailsEverythingGetsNothingThoughItLooksIdle() {
        List<Candidate> workers = List.of(worker("busy", 6, 0.8, 0), worker("failing", 32, 0.1, 0.9));
        assertEquals(RULE.choose(job(2, 300), workers), Collections.nCopies(2, NodeName.of("busy")));
    }

    @Test
    public void tasksOfAWideJobSpreadOverEquallyFastWorkers() {
        List<Candidate> workers = List.of(worker("one", 32, 0.8, 0), worker("two", 32, 0.8, 0));
        List<NodeName> chosen = RULE.choose(job(8, 300), workers);
        assertEquals(Collections.frequency(chosen, NodeName.of("one")), 4);
    }

    @Test
    public void aJobThatNoWorkerCanEndInTimeDoesNotStart() {
        List<Candidate> workers = List.of(worker("full", -90, 0.8, 0), worker("slow", 3, 6, 0));
        assertTrue(RULE.choose(job(4, 300), workers).isEmpty());
    }

    @Test
    public void estimatesThatAreTooHighEverywhereDoNotMakeSlowWorkersLookFit() {
        List<Candidate> workers = List.of(
                worker("one", 32, 0.7, 0),
                worker("two", 32, 0.7, 0),
                worker("three", 32, 0.7, 0),
                worker("slow", 32, 1.53, 0));
        assertTrue(!RULE.choose(job(4, 120), workers).contains(NodeName.of("slow")));
    }

    @Test
    public void aTaskLargerThanAnyWorkerIsNeverPlaced() {
        Wanted wanted = new Wanted(
                1,
                Resources.of(64_000, 1, 0),
                Duration.ofMillis(50),
                1.6,
                Duration.ofMillis(60),
                Duration.ofSeconds(1),
                false);
        assertTrue(RULE.choose(wanted, List.of(worker("one", 32, 0.8, 0))).isEmpty());
    }

    @Test
    public void whatIsLeftOfABegunJobMayEndLate() {
        Wanted wanted =
                new Wanted(1, TASK, Duration.ofMillis(300), 1.6, Duration.ofMillis(-400), Duration.ofMillis(900), true);
        assertEquals(RULE.choose(wanted, List.of(worker("one", 4, 0.8, 0))), List.of(NodeName.of("one")));
    }
}
