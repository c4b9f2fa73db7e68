package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.gypsumflow.command.AgentScheduler.Actions;
import org.gypsumflow.command.AgentScheduler.TaskRun;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class AgentSchedulerTest {
    private static final MemberName ENTRY = MemberName.of("entry");
    private static final JobId JOB = JobId.of("00000000000000aa");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("sofia");

    private AgentScheduler desk;

    @BeforeMethod
    public void startWithAWorkerOfEightCores() {
        desk = AgentScheduler.create();
        desk.workerReported(report(1, 1, false), 0);
    }

    private static WorkerReport report(long born, long sequence, boolean draining) {
        return new WorkerReport(
                "worker",
                born,
                ServiceName.of("service"),
                ZONE,
                Resources.of(8000, 1000, 0),
                "rack",
                draining,
                sequence);
    }

    private static long millis(long value) {
        return Duration.ofMillis(value).toNanos();
    }

    private static BestEffortTaskId task(int index) {
        return BestEffortTaskId.of(JOB, index);
    }

    private void order(int index, int urgencyMillis) {
        order(index, 3000, urgencyMillis);
    }

    private void order(int index, int processorMillis, int urgencyMillis) {
        TaskAssignment order = new TaskAssignment(
                task(index),
                RunNumber.FIRST,
                "text",
                Resources.of(processorMillis, 10, 0),
                Duration.ofMillis(100),
                Duration.ofMillis(500),
                Duration.ofMillis(urgencyMillis),
                true);
        desk.assign(ENTRY, order, 0);
    }

    private List<BestEffortTaskId> started() {
        return desk.drainActions().runsToStart().stream().map(TaskRun::task).toList();
    }

    private List<RunOutcome> ends() {
        return desk.drainActions().finishedAssignments().stream()
                .map(end -> end.result().outcome())
                .toList();
    }

    @Test
    public void noMoreStartsThanTheWorkerHasRoomFor() {
        order(0, 100);
        order(1, 100);
        order(2, 100);
        assertEquals(started().size(), 2);
    }

    @Test
    public void anOrderThatMayNotWaitComesBackAtOnceWhenThereIsNoRoom() {
        order(0, 100);
        order(1, 100);
        desk.drainActions();
        TaskAssignment order = new TaskAssignment(
                task(2),
                RunNumber.FIRST,
                "text",
                Resources.of(3000, 10, 0),
                Duration.ofMillis(100),
                Duration.ofMillis(500),
                Duration.ofMillis(100),
                false);
        desk.assign(ENTRY, order, 0);
        assertEquals(ends(), List.of(RunOutcome.NOT_STARTED));
    }

    @Test
    public void roomForUrgentTasksLeavesOutWaitingTasksWithTimeToSpare() {
        order(0, 600);
        order(1, 600);
        order(2, 600);
        assertEquals(desk.workerStatusFor(ENTRY, 0).uncommitted().cpuMillicores(), -1000);
        assertEquals(desk.workerStatusFor(ENTRY, 0).idle().cpuMillicores(), 2000);
    }

    @Test
    public void anOrderWithTimeToSpareLeavesTheLastRoomUntilItIsUrgent() {
        for (int index = 0; index < 3; index++) {
            order(index, 2600, 600);
        }
        assertEquals(started(), List.of(task(0), task(1)));
        desk.tick(millis(500));
        assertEquals(started(), List.of(task(2)));
    }

    @Test
    public void anUrgentOrderStartsAheadOfWaitingOnesWithTimeToSpare() {
        for (int index = 0; index < 3; index++) {
            order(index, 2600, 600);
        }
        desk.drainActions();
        order(3, 2600, 50);
        assertEquals(started(), List.of(task(3)));
    }

    @Test
    public void theMostUrgentOrderGetsTheRoomThatAnEndLeaves() {
        order(0, 100);
        order(1, 100);
        order(2, 300);
        order(3, 50);
        desk.drainActions();
        desk.runStarted(task(0), RunNumber.FIRST, 0);
        desk.runFinished(task(0), RunNumber.FIRST, RunOutcome.DONE, millis(100));
        assertEquals(started(), List.of(task(3)));
    }

    @Test
    public void roomOfAStoppedRunIsFreeOnlyWhenItsEndIsListed() {
        order(0, 100);
        order(1, 100);
        order(2, 100);
        desk.drainActions();
        desk.stop(ENTRY, JOB, List.of(0), millis(10));
        assertTrue(started().isEmpty());
        desk.runFinished(task(0), RunNumber.FIRST, RunOutcome.LOST, millis(40));
        assertEquals(started(), List.of(task(2)));
    }

    @Test
    public void anOrderThatWaitsTooLongIsGivenBackUnstarted() {
        order(0, 100);
        order(1, 100);
        order(2, 100);
        desk.drainActions();
        desk.tick(millis(501));
        assertEquals(ends(), List.of(RunOutcome.NOT_STARTED));
    }

    @Test
    public void aDrainingWorkerGetsNothingNewAndKeepsWhatRuns() {
        order(0, 100);
        desk.drainActions();
        desk.workerReported(report(1, 2, true), millis(10));
        order(1, 100);
        Actions actions = desk.drainActions();
        assertTrue(actions.runsToStart().isEmpty() && actions.runsToStop().isEmpty());
        assertEquals(actions.finishedAssignments().size(), 1);
    }

    @Test
    public void aWorkerInAZoneThatIsEmptiedGetsNothing() {
        desk.setClosedZones(Set.of(ZONE), 0);
        order(0, 100);
        assertEquals(ends(), List.of(RunOutcome.NOT_STARTED));
        assertFalse(desk.acceptsTasks());
    }

    @Test
    public void aWorkerBornAgainHasLostAllRuns() {
        order(0, 100);
        desk.drainActions();
        desk.workerReported(report(2, 1, false), millis(10));
        assertEquals(ends(), List.of(RunOutcome.LOST));
    }

    @Test
    public void aReportOfAnEarlierLifeChangesNothing() {
        desk.workerReported(report(5, 1, false), 0);
        assertFalse(desk.workerReported(report(4, 9, true), 0));
        assertTrue(desk.acceptsTasks());
    }

    @Test
    public void ordersOfALostEntryStop() {
        order(0, 100);
        order(1, 100);
        order(2, 100);
        desk.drainActions();
        assertEquals(desk.stopAllOf(ENTRY, millis(10)), 3);
        assertEquals(desk.drainActions().runsToStop().size(), 2);
        assertEquals(desk.activeRunCount(), 2);
    }

    @Test
    public void aRefusedRunNumberIsTriedAgainHigher() {
        order(0, 100);
        desk.drainActions();
        desk.startRejected(task(0), RunNumber.FIRST, true, false, 0);
        assertEquals(desk.drainActions().runsToStart().get(0).number(), RunNumber.of(2));
        desk.runStarted(task(0), RunNumber.of(2), 0);
        desk.runFinished(task(0), RunNumber.of(2), RunOutcome.DONE, millis(90));
        assertEquals(desk.drainActions().finishedAssignments().get(0).result().runNumber(), RunNumber.FIRST);
    }

    @Test
    public void aRunThatStandsStillIsStopped() {
        order(0, 100);
        desk.drainActions();
        desk.runStarted(task(0), RunNumber.FIRST, 0);
        desk.runProgressed(task(0), RunNumber.FIRST, 10, millis(50));
        assertTrue(desk.tick(millis(200)).isEmpty());
        assertEquals(desk.tick(millis(700)).size(), 1);
    }

    @Test
    public void aConfirmedRunThatTheAccountLacksIsLost() {
        order(0, 100);
        desk.drainActions();
        desk.runStarted(task(0), RunNumber.FIRST, millis(5));
        desk.reconcile(Set.of(), millis(4), millis(20));
        assertTrue(ends().isEmpty());
        desk.reconcile(Set.of(), millis(6), millis(20));
        assertEquals(ends(), List.of(RunOutcome.LOST));
    }

    @Test
    public void aWorkerThatFailsEverythingIsReportedAsFailing() {
        for (int index = 0; index < 6; index++) {
            order(index, 100);
            desk.drainActions();
            desk.runStarted(task(index), RunNumber.FIRST, 0);
            desk.runFinished(task(index), RunNumber.FIRST, RunOutcome.FAILED, millis(1));
        }
        assertTrue(desk.workerStatusFor(ENTRY, millis(1)).failureRate() > 0.3);
        assertTrue(desk.workerStatusFor(ENTRY, millis(10_000)).failureRate() < 0.1);
    }
}
