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
import org.gypsumflow.model.RouteName;
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

    private AgentScheduler scheduler;

    @BeforeMethod
    public void startWithAWorkerOfEightCores() {
        scheduler = AgentScheduler.create();
        scheduler.workerReported(report(1, 1, false), 0);
    }

    private static WorkerReport report(long startedAtMillis, long sequence, boolean draining) {
        return new WorkerReport(
                "worker",
                startedAtMillis,
                ServiceName.of("service"),
                ZONE,
                Resources.of(8000, 1000, 0),
                "rack",
                draining,
                sequence,
                -1);
    }

    private static long millis(long value) {
        return Duration.ofMillis(value).toNanos();
    }

    private static BestEffortTaskId task(int index) {
        return BestEffortTaskId.of(JOB, index);
    }

    private void assign(int index, int slackMillis) {
        assign(index, 3000, slackMillis);
    }

    private void assign(int index, int cpuMillicores, int slackMillis) {
        TaskAssignment assignment = new TaskAssignment(
                task(index),
                RunNumber.FIRST,
                "text",
                RouteName.of("route"),
                Resources.of(cpuMillicores, 10, 0),
                Duration.ofMillis(100),
                Duration.ofMillis(500),
                Duration.ofMillis(slackMillis),
                true);
        scheduler.assign(ENTRY, assignment, 0);
    }

    private List<BestEffortTaskId> startedTasks() {
        return scheduler.drainActions().runsToStart().stream()
                .map(TaskRun::task)
                .toList();
    }

    private List<RunOutcome> outcomes() {
        return scheduler.drainActions().finishedAssignments().stream()
                .map(finished -> finished.result().outcome())
                .toList();
    }

    @Test
    public void noMoreTasksStartThanTheWorkerHasCapacityFor() {
        assign(0, 100);
        assign(1, 100);
        assign(2, 100);
        assertEquals(startedTasks().size(), 2);
    }

    @Test
    public void anAssignmentThatMayNotQueueIsReturnedImmediatelyFromAFullWorker() {
        assign(0, 100);
        assign(1, 100);
        scheduler.drainActions();
        TaskAssignment assignment = new TaskAssignment(
                task(2),
                RunNumber.FIRST,
                "text",
                RouteName.of("route"),
                Resources.of(3000, 10, 0),
                Duration.ofMillis(100),
                Duration.ofMillis(500),
                Duration.ofMillis(100),
                false);
        scheduler.assign(ENTRY, assignment, 0);
        assertEquals(outcomes(), List.of(RunOutcome.NOT_STARTED));
    }

    @Test
    public void idleCapacityDoesNotCountWaitingTasksWithSlack() {
        assign(0, 600);
        assign(1, 600);
        assign(2, 600);
        assertEquals(scheduler.workerStatusFor(ENTRY, 0).uncommitted().cpuMillicores(), -1000);
        assertEquals(scheduler.workerStatusFor(ENTRY, 0).idle().cpuMillicores(), 2000);
    }

    @Test
    public void aTaskWithSlackLeavesTheReserveFreeUntilItIsUrgent() {
        for (int index = 0; index < 3; index++) {
            assign(index, 2600, 600);
        }
        assertEquals(startedTasks(), List.of(task(0), task(1)));
        scheduler.tick(millis(500));
        assertEquals(startedTasks(), List.of(task(2)));
    }

    @Test
    public void anUrgentTaskStartsBeforeWaitingTasksWithSlack() {
        for (int index = 0; index < 3; index++) {
            assign(index, 2600, 600);
        }
        scheduler.drainActions();
        assign(3, 2600, 50);
        assertEquals(startedTasks(), List.of(task(3)));
    }

    @Test
    public void theWaitingTaskWithTheLeastSlackGetsTheCapacityOfAFinishedRun() {
        assign(0, 100);
        assign(1, 100);
        assign(2, 300);
        assign(3, 50);
        scheduler.drainActions();
        scheduler.runStarted(task(0), RunNumber.FIRST, 0);
        scheduler.runFinished(task(0), RunNumber.FIRST, RunOutcome.DONE, millis(100));
        assertEquals(startedTasks(), List.of(task(3)));
    }

    @Test
    public void aStoppedRunTakesUpCapacityUntilItsOutcomeIsReported() {
        assign(0, 100);
        assign(1, 100);
        assign(2, 100);
        scheduler.drainActions();
        scheduler.stop(ENTRY, JOB, List.of(0), millis(10));
        assertTrue(startedTasks().isEmpty());
        scheduler.runFinished(task(0), RunNumber.FIRST, RunOutcome.LOST, millis(40));
        assertEquals(startedTasks(), List.of(task(2)));
    }

    @Test
    public void aTaskThatExceedsItsMaxQueueTimeIsReturnedUnstarted() {
        assign(0, 100);
        assign(1, 100);
        assign(2, 100);
        scheduler.drainActions();
        scheduler.tick(millis(501));
        assertEquals(outcomes(), List.of(RunOutcome.NOT_STARTED));
    }

    @Test
    public void aDrainingWorkerGetsNoNewTasksAndKeepsItsRuns() {
        assign(0, 100);
        scheduler.drainActions();
        scheduler.workerReported(report(1, 2, true), millis(10));
        assign(1, 100);
        Actions actions = scheduler.drainActions();
        assertTrue(actions.runsToStart().isEmpty() && actions.runsToStop().isEmpty());
        assertEquals(actions.finishedAssignments().size(), 1);
    }

    @Test
    public void aWorkerInAClosedZoneGetsNoTasks() {
        scheduler.setClosedZones(Set.of(ZONE), 0);
        assign(0, 100);
        assertEquals(outcomes(), List.of(RunOutcome.NOT_STARTED));
        assertFalse(scheduler.acceptsTasks());
    }

    // Guards against two runs of one task: a new incarnation of the worker accepted a start before its first report
    // arrived, which counted the run as lost.
    @Test
    public void runsAreLostOnceANewIncarnationOfTheWorkerHasStoppedThemAndDoesNotListThem() {
        assign(0, 100);
        scheduler.drainActions();
        scheduler.workerReported(report(2, 1, false), millis(10));
        Actions actions = scheduler.drainActions();
        assertEquals(actions.runsToStop().size(), 1);
        assertEquals(actions.finishedAssignments(), List.of());
        scheduler.stopAcknowledged(task(0), RunNumber.FIRST, millis(12));
        scheduler.reconcile(Set.of(), millis(11), millis(13));
        assertEquals(outcomes(), List.of());
        scheduler.reconcile(Set.of(), millis(13), millis(14));
        assertEquals(outcomes(), List.of(RunOutcome.LOST));
    }

    @Test
    public void aReportOfAnEarlierIncarnationIsIgnored() {
        scheduler.workerReported(report(5, 1, false), 0);
        assertFalse(scheduler.workerReported(report(4, 9, true), 0));
        assertTrue(scheduler.acceptsTasks());
    }

    @Test
    public void tasksOfADisconnectedEntryAreStopped() {
        assign(0, 100);
        assign(1, 100);
        assign(2, 100);
        scheduler.drainActions();
        assertEquals(scheduler.stopAllOf(ENTRY, millis(10), millis(10)), 3);
        assertEquals(scheduler.drainActions().runsToStop().size(), 2);
        assertEquals(scheduler.activeRunCount(), 2);
    }

    @Test
    public void aRejectedRunNumberIsRetriedWithTheNextOne() {
        assign(0, 100);
        scheduler.drainActions();
        scheduler.startRejected(task(0), RunNumber.FIRST, true, false, 0);
        assertEquals(scheduler.drainActions().runsToStart().get(0).number(), RunNumber.of(2));
        scheduler.runStarted(task(0), RunNumber.of(2), 0);
        scheduler.runFinished(task(0), RunNumber.of(2), RunOutcome.DONE, millis(90));
        assertEquals(
                scheduler.drainActions().finishedAssignments().get(0).result().runNumber(), RunNumber.FIRST);
    }

    @Test
    public void aStalledRunIsStopped() {
        assign(0, 100);
        scheduler.drainActions();
        scheduler.runStarted(task(0), RunNumber.FIRST, 0);
        scheduler.runProgressed(task(0), RunNumber.FIRST, 10, millis(50));
        assertTrue(scheduler.tick(millis(200)).isEmpty());
        assertEquals(scheduler.tick(millis(700)).size(), 1);
    }

    @Test
    public void aConfirmedRunMissingFromTheTaskListingIsLost() {
        assign(0, 100);
        scheduler.drainActions();
        scheduler.runStarted(task(0), RunNumber.FIRST, millis(5));
        scheduler.reconcile(Set.of(), millis(4), millis(20));
        assertTrue(outcomes().isEmpty());
        scheduler.reconcile(Set.of(), millis(6), millis(20));
        assertEquals(outcomes(), List.of(RunOutcome.LOST));
    }

    @Test
    public void aWorkerThatFailsAllTasksReportsAHighFailureRateForAWhile() {
        for (int index = 0; index < 6; index++) {
            assign(index, 100);
            scheduler.drainActions();
            scheduler.runStarted(task(index), RunNumber.FIRST, 0);
            scheduler.runFinished(task(index), RunNumber.FIRST, RunOutcome.FAILED, millis(1));
        }
        assertTrue(scheduler.workerStatusFor(ENTRY, millis(1)).failureRate() > 0.3);
        assertTrue(scheduler.workerStatusFor(ENTRY, millis(10_000)).failureRate() < 0.1);
    }
}
