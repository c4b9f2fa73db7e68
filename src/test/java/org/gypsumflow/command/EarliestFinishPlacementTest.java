package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.gypsumflow.command.JobPlacementPolicy.Placement;
import org.gypsumflow.command.JobPlacementPolicy.PlacementRequest;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.command.interference.Interference;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.testng.annotations.Test;

public final class EarliestFinishPlacementTest {
    private static final Resources TASK_RESOURCES = Resources.of(3000, 64, 0);
    private static final JobPlacementPolicy POLICY = EarliestFinishPlacement.policy();

    private static Candidate worker(String name, int freeCores, double slowdown, double failureRate) {
        WorkerStatus status = new WorkerStatus(
                true,
                "service",
                "zone",
                Resources.of(32_000, 100_000, 0),
                Resources.of(freeCores * 1000, 100_000, 0),
                Resources.of(freeCores * 1000, 100_000, 0),
                Resources.NONE,
                Duration.ofMillis(200),
                slowdown,
                0,
                failureRate,
                0);
        return new Candidate(
                MemberName.of(name), status, status.uncommitted(), status.idle(), slowdown, Interference.NONE);
    }

    private static Candidate disturbed(Candidate worker, double first, double further) {
        return new Candidate(
                worker.agent(),
                worker.reportedStatus(),
                worker.uncommitted(),
                worker.idle(),
                worker.slowdown(),
                new Interference(first, further));
    }

    private static PlacementRequest job(int count, int estimateMillis) {
        return new PlacementRequest(
                count,
                TASK_RESOURCES,
                Duration.ofMillis(estimateMillis),
                1.6,
                Duration.ofMillis(60),
                Duration.ofMillis(60 + estimateMillis * 3L / 5),
                Duration.ofMillis(estimateMillis * 5L),
                false);
    }

    private static List<MemberName> chosenAgents(PlacementRequest request, List<Candidate> workers) {
        return POLICY.choose(request, workers).stream().map(Placement::agent).toList();
    }

    @Test
    public void tasksGoToTheFastestWorkerWithFreeCapacity() {
        List<Candidate> workers = List.of(worker("fast", 32, 0.6, 0), worker("slow", 32, 1.3, 0));
        assertEquals(chosenAgents(job(2, 1300), workers), Collections.nCopies(2, MemberName.of("fast")));
    }

    @Test
    public void aTaskGoesToASlowerWorkerThatFinishesItEarlierThanAFullFastOne() {
        List<Candidate> workers = List.of(worker("fast", -60, 0.8, 0), worker("slow", 32, 1.3, 0));
        assertEquals(chosenAgents(job(1, 300), workers), List.of(MemberName.of("slow")));
    }

    @Test
    public void aShortTaskAvoidsAQueueWhoseWaitIsOnlyExpectedToBeShort() {
        List<Candidate> workers = List.of(worker("fast", -4, 0.5, 0), worker("slow", 32, 1.2, 0));
        assertEquals(chosenAgents(job(1, 110), workers), List.of(MemberName.of("slow")));
    }

    @Test
    public void onlyATaskPlacedOnAWorkerKnownToBeFullMayQueue() {
        assertEquals(
                POLICY.choose(job(1, 1000), List.of(worker("full", 0, 0.8, 0))),
                List.of(new Placement(MemberName.of("full"), true)));
        assertEquals(
                POLICY.choose(job(1, 1000), List.of(worker("free", 9, 0.8, 0))),
                List.of(new Placement(MemberName.of("free"), false)));
    }

    @Test
    public void anIdleWorkerThatFailsMostTasksGetsNone() {
        List<Candidate> workers = List.of(worker("busy", 6, 0.8, 0), worker("failing", 32, 0.1, 0.9));
        assertEquals(chosenAgents(job(2, 300), workers), Collections.nCopies(2, MemberName.of("busy")));
    }

    @Test
    public void tasksOfAJobSpreadOverEquallyFastWorkers() {
        List<Candidate> workers = List.of(worker("one", 32, 0.8, 0), worker("two", 32, 0.8, 0));
        List<MemberName> chosenAgents = chosenAgents(job(8, 300), workers);
        assertEquals(Collections.frequency(chosenAgents, MemberName.of("one")), 4);
    }

    @Test
    public void aJobThatNoWorkerCanFinishInTimeIsNotPlaced() {
        List<Candidate> workers = List.of(worker("full", -90, 0.8, 0), worker("slow", 3, 6, 0));
        assertTrue(POLICY.choose(job(4, 300), workers).isEmpty());
    }

    @Test
    public void slowWorkersGetNoTasksWhenEstimatesAreTooHighForAllWorkers() {
        List<Candidate> workers = List.of(
                worker("one", 0, 0.4, 0),
                worker("two", 0, 0.4, 0),
                worker("three", 0, 0.4, 0),
                worker("slow", 9, 1.2, 0));
        assertTrue(!chosenAgents(job(1, 300), workers).contains(MemberName.of("slow")));
    }

    @Test
    public void aTaskLargerThanAnyWorkerIsNeverPlaced() {
        PlacementRequest request = new PlacementRequest(
                1,
                Resources.of(64_000, 1, 0),
                Duration.ofMillis(50),
                1.6,
                Duration.ofMillis(60),
                Duration.ofMillis(90),
                Duration.ofSeconds(1),
                false);
        assertTrue(POLICY.choose(request, List.of(worker("one", 32, 0.8, 0))).isEmpty());
    }

    @Test
    public void remainingTasksOfAJobThatMayHaveRunMayFinishLate() {
        PlacementRequest request = new PlacementRequest(
                1,
                TASK_RESOURCES,
                Duration.ofMillis(300),
                1.6,
                Duration.ofMillis(-400),
                Duration.ofMillis(-220),
                Duration.ofMillis(900),
                true);
        assertEquals(chosenAgents(request, List.of(worker("one", 4, 0.8, 0))), List.of(MemberName.of("one")));
    }

    @Test
    public void atHalfLoadATaskIsKeptApartFromKindsThatSlowItDown() {
        List<Candidate> workers =
                List.of(disturbed(worker("shared", 20, 0.8, 0), 1.8, 1.8), worker("apart", 12, 1.0, 0));
        assertEquals(chosenAgents(job(3, 300), workers), Collections.nCopies(3, MemberName.of("apart")));
    }

    @Test
    public void tasksOfAKindThatSlowsItselfDownSpreadOverTheWorkers() {
        List<Candidate> workers =
                List.of(disturbed(worker("one", 32, 0.8, 0), 1, 1.8), disturbed(worker("two", 32, 0.9, 0), 1, 1.8));
        List<MemberName> chosenAgents = chosenAgents(job(2, 300), workers);
        assertEquals(Collections.frequency(chosenAgents, MemberName.of("two")), 1);
    }

    // Guards against jobs that are rejected although workers have room, because all workers run disturbing kinds.
    @Test
    public void whereThereIsNoRoomApartKindsShareAndNothingIsRejected() {
        for (int freeCores = -40; freeCores <= 32; freeCores++) {
            for (int estimateMillis : new int[] {30, 300, 3000}) {
                List<Candidate> undisturbed = List.of(worker("one", freeCores, 0.8, 0), worker("two", 2, 1.2, 0));
                List<Candidate> disturbed = undisturbed.stream()
                        .map(worker -> disturbed(worker, 3, 4))
                        .toList();
                PlacementRequest request = job(4, estimateMillis);
                assertEquals(
                        chosenAgents(request, disturbed).isEmpty(),
                        chosenAgents(request, undisturbed).isEmpty());
            }
        }
    }
}
