package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.Verdict;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class JobDispatcherTest {
    private static final JobId JOB = JobId.of("00000000000000aa");
    private static final MemberName FIRST = MemberName.of("first");
    private static final MemberName SECOND = MemberName.of("second");
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(10);
    private static final Route ROUTE = new Route(
            RouteName.of("route"),
            "",
            "/",
            ServiceName.of("service"),
            0,
            2,
            1.6,
            Duration.ofMillis(60),
            Duration.ofSeconds(2));

    private record Sent(MemberName agent, TaskAssignment assignment) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<MemberName> stopped = new ArrayList<>();
    private final List<BestEffortOutcome> outcomes = new ArrayList<>();
    private JobDispatcher dispatcher;

    @BeforeMethod
    public void startWithTwoIdleWorkers() {
        sent.clear();
        stopped.clear();
        outcomes.clear();
        AgentClient agentClient = new AgentClient(
                (agent, assignments) -> assignments.forEach(assignment -> sent.add(new Sent(agent, assignment))),
                (agent, job, indexes) -> stopped.add(agent));
        dispatcher = JobDispatcher.create(
                WorkerCapacityTracker.create(),
                EarliestFinishPlacement.policy(),
                agentClient,
                CapacityShares.disabled(),
                (event, details) -> {},
                JobObserver.none());
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), status(32)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(32)), 0);
    }

    private static WorkerStatus status(int freeCores) {
        return new WorkerStatus(
                true,
                "service",
                "zone",
                Resources.of(32_000, 100_000, 0),
                Resources.of(freeCores * 1000, 100_000, 0),
                Resources.of(freeCores * 1000, 100_000, 0),
                Resources.NONE,
                Duration.ofMillis(200),
                0.8,
                0,
                0,
                0);
    }

    private static long millis(long value) {
        return Duration.ofMillis(value).toNanos();
    }

    private void submit(int count) {
        submit(count, 0);
    }

    private void submit(int count, long atMillis) {
        BestEffortJob job =
                new BestEffortJob(JOB, ROUTE, 1, "text", count, Resources.of(3000, 64, 0), Duration.ofMillis(300));
        dispatcher.submit(job, millis(atMillis), CALLER_TIMEOUT, outcomes::add);
    }

    private void finish(Sent assigned, RunOutcome outcome, long atMillis) {
        RunResult result = new RunResult(
                assigned.assignment().task(), assigned.assignment().runNumber(), outcome, Duration.ofMillis(200));
        dispatcher.agentReported(assigned.agent(), new AgentReport(List.of(result), status(32)), millis(atMillis));
    }

    @Test
    public void aJobCompletesOnceAllItsTasksAreDone() {
        submit(3);
        finish(sent.get(0), RunOutcome.DONE, 200);
        finish(sent.get(1), RunOutcome.DONE, 210);
        assertTrue(outcomes.isEmpty());
        finish(sent.get(2), RunOutcome.DONE, 220);
        assertEquals(outcomes, List.of(BestEffortOutcome.completed()));
    }

    @Test
    public void aRunResultReportedTwiceCountsOnce() {
        submit(2);
        finish(sent.get(0), RunOutcome.DONE, 200);
        finish(sent.get(0), RunOutcome.DONE, 201);
        assertTrue(outcomes.isEmpty());
    }

    @Test
    public void aJobWithoutWorkersIsRejectedImmediatelyAndHasNotRun() {
        submit(1, 0);
        dispatcher.cancel(JOB);
        outcomes.clear();
        sent.clear();
        dispatcher.agentDisconnected(FIRST, 0);
        dispatcher.agentDisconnected(SECOND, 0);
        submit(1, 2500);
        assertEquals(outcomes.get(0).verdict(), Verdict.NOT_RUN);
        assertTrue(sent.isEmpty());
    }

    @Test
    public void aJobSubmittedWhileItsAgentsRestartWaitsForThem() {
        dispatcher.agentDisconnected(FIRST, 0);
        dispatcher.agentDisconnected(SECOND, 0);
        submit(1, 0);
        assertTrue(outcomes.isEmpty());
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), status(32)), millis(60));
        assertEquals(sent.size(), 1);
    }

    @Test
    public void aJobThatFindsNoAgentIsRejectedWhileItsCallerCanStillTryAnotherEntry() {
        dispatcher.agentDisconnected(FIRST, 0);
        dispatcher.agentDisconnected(SECOND, 0);
        submit(1, 0);
        dispatcher.tick(millis(140));
        assertEquals(outcomes.get(0).verdict(), Verdict.NOT_RUN);
    }

    @Test
    public void aJobWaitsForCapacityWhileItCanStillFinishInTime() {
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), status(-60)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(-60)), 0);
        submit(2, 0);
        assertTrue(sent.isEmpty() && outcomes.isEmpty());
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(10)), millis(40));
        assertEquals(sent.size(), 2);
    }

    private void submitWithLowerPriority(ServiceName service) {
        Route lowerPriority = new Route(
                RouteName.of("later"),
                "host",
                "/later/",
                service,
                ROUTE.priority() + 1,
                1,
                1.6,
                Duration.ofMillis(60),
                CALLER_TIMEOUT);
        BestEffortJob job = new BestEffortJob(
                JobId.of("00000000000000cc"),
                lowerPriority,
                1,
                "",
                1,
                Resources.of(3000, 64, 0),
                Duration.ofMillis(300));
        dispatcher.submit(job, 0, CALLER_TIMEOUT, outcomes::add);
    }

    @Test
    public void aJobDoesNotWaitBehindAHigherPriorityJobOfAnotherService() {
        MemberName other = MemberName.of("other");
        WorkerStatus status = status(32);
        dispatcher.agentReported(
                other,
                new AgentReport(
                        List.of(),
                        new WorkerStatus(
                                true,
                                "other",
                                "zone",
                                status.capacity(),
                                status.uncommitted(),
                                status.idle(),
                                status.assignedByReceiver(),
                                status.meanRunDuration(),
                                1,
                                0,
                                0,
                                0)),
                0);
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), status(-60)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(-60)), 0);
        submit(2);
        assertTrue(sent.isEmpty());
        submitWithLowerPriority(ServiceName.of("other"));
        assertEquals(sent.get(0).agent(), other);
    }

    @Test
    public void aJobTooLargeForAnyWorkerIsRejectedImmediately() {
        BestEffortJob job =
                new BestEffortJob(JOB, ROUTE, 1, "", 1, Resources.of(64_000, 64, 0), Duration.ofMillis(300));
        dispatcher.submit(job, 0, CALLER_TIMEOUT, outcomes::add);
        assertEquals(outcomes.get(0).verdict(), Verdict.NOT_RUN);
    }

    @Test
    public void remainingTasksOfAJobThatMayHaveRunWaitForCapacityInsteadOfBeingAbandoned() {
        submit(2);
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), status(-90)), millis(10));
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(-90)), millis(10));
        RunResult notStarted = new RunResult(
                sent.get(0).assignment().task(),
                sent.get(0).assignment().runNumber(),
                RunOutcome.NOT_STARTED,
                Duration.ZERO);
        dispatcher.agentReported(sent.get(0).agent(), new AgentReport(List.of(notStarted), status(-90)), millis(12));
        assertTrue(outcomes.isEmpty());
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(10)), millis(60));
        assertEquals(sent.size(), 3);
    }

    @Test
    public void aJobDoesNotTakeTheCapacityThatAHigherPriorityJobWaitsFor() {
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), status(4)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(-60)), 0);
        submit(8, 0);
        assertTrue(sent.isEmpty());
        submitWithLowerPriority(ROUTE.service());
        assertTrue(sent.isEmpty());
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), status(32)), millis(30));
        assertEquals(sent.get(0).assignment().task().job(), JOB);
    }

    @Test
    public void aFailedTaskRunsAgainUpToTheMaxAttemptsOfItsRoute() {
        submit(1);
        finish(sent.get(0), RunOutcome.FAILED, 100);
        assertEquals(sent.get(1).assignment().runNumber().value(), 2);
        finish(sent.get(1), RunOutcome.FAILED, 200);
        assertEquals(outcomes.get(0).verdict(), Verdict.FAILED);
    }

    @Test
    public void aTaskOfADisconnectedAgentStartsElsewhereOnlyWhenItCanNoLongerRunThere() {
        submit(1);
        MemberName lost = sent.get(0).agent();
        dispatcher.agentDisconnected(lost, millis(700));
        dispatcher.tick(millis(600));
        assertEquals(sent.size(), 1);
        dispatcher.tick(millis(700));
        assertEquals(sent.size(), 2);
        assertFalse(sent.get(1).agent().equals(lost));
    }

    @Test
    public void aRunResultThatArrivesAfterItsAgentDisconnectedIsIgnored() {
        submit(1);
        Sent first = sent.get(0);
        dispatcher.agentDisconnected(first.agent(), millis(700));
        finish(first, RunOutcome.DONE, 650);
        assertTrue(outcomes.isEmpty());
    }

    @Test
    public void aJobWhoseDeadlinePassesIsStoppedAndMayHaveRun() {
        submit(2);
        dispatcher.tick(CALLER_TIMEOUT.toNanos());
        assertEquals(outcomes.get(0).verdict(), Verdict.MAY_HAVE_RUN);
        assertFalse(stopped.isEmpty());
    }

    @Test
    public void aSecondWaiterOfAnActiveJobGetsTheSameOutcomeAndStartsNoTasks() {
        submit(1);
        submit(1);
        assertEquals(sent.size(), 1);
        finish(sent.get(0), RunOutcome.DONE, 200);
        assertEquals(outcomes, List.of(BestEffortOutcome.completed(), BestEffortOutcome.completed()));
    }

    @Test
    public void aCancelledJobIsStoppedAtEachOfItsAgents() {
        submit(2);
        assertTrue(dispatcher.cancel(JobId.of("00000000000000aa")));
        assertTrue(outcomes.get(0).cancelled());
        assertEquals(stopped.size(), sent.stream().map(Sent::agent).distinct().count());
    }

    @Test
    public void aJobIsAbandonedWhenItsLastWaiterIsRemoved() {
        java.util.function.Consumer<BestEffortOutcome> firstWaiter = outcome -> {};
        java.util.function.Consumer<BestEffortOutcome> lastWaiter = outcome -> {};
        BestEffortJob job = new BestEffortJob(
                JobId.of("00000000000000bb"), ROUTE, 1, "", 1, Resources.of(3000, 64, 0), Duration.ofMillis(300));
        dispatcher.submit(job, 0, CALLER_TIMEOUT, firstWaiter);
        dispatcher.submit(job, 0, CALLER_TIMEOUT, lastWaiter);
        dispatcher.removeWaiter(job.id(), firstWaiter);
        assertTrue(dispatcher.isActive(job.id()));
        dispatcher.removeWaiter(job.id(), lastWaiter);
        assertFalse(dispatcher.isActive(job.id()));
        assertEquals(stopped.size(), 1);
    }

    @Test
    public void aProcessThatWasPausedAbandonsItsJobs() {
        submit(1);
        dispatcher.abandonAll("paused");
        assertEquals(outcomes.get(0).verdict(), Verdict.MAY_HAVE_RUN);
        assertEquals(dispatcher.activeJobCount(), 0);
    }

    // Guards against a second start at the same entry while the stops of the first runs are unanswered or late.
    @Test
    public void aJobSubmittedAgainWhileItsFormerRunsAreStoppingStartsOnlyAfterTheirEnd() {
        submit(2);
        dispatcher.cancel(JOB);
        List<Sent> former = List.copyOf(sent);
        sent.clear();
        submit(2, 10);
        finish(former.get(0), RunOutcome.LOST, 50);
        assertTrue(sent.isEmpty());
        finish(former.get(1), RunOutcome.LOST, 60);
        assertEquals(sent.size(), 2);
    }

    // Guards against a result of the former runs that counts for the new ones.
    @Test
    public void resultsOfFormerRunsDoNotCountForAJobSubmittedAgain() {
        submit(1);
        dispatcher.cancel(JOB);
        outcomes.clear();
        submit(1, 10);
        Sent former = sent.get(0);
        finish(former, RunOutcome.DONE, 50);
        assertEquals(sent.size(), 2);
        finish(former, RunOutcome.DONE, 51);
        assertTrue(outcomes.isEmpty());
        assertTrue(sent.get(1)
                        .assignment()
                        .runNumber()
                        .compareTo(former.assignment().runNumber())
                > 0);
    }

    // Guards against a late result of a lost agent that counts for a run which began after the reassignment time.
    @Test
    public void runNumbersGoOnAfterTheFormerRunsHaveEnded() {
        submit(1);
        dispatcher.cancel(JOB);
        dispatcher.agentDisconnected(sent.get(0).agent(), millis(700));
        dispatcher.tick(millis(700));
        submit(1, 800);
        assertEquals(sent.get(1).assignment().runNumber().value(), 2);
    }

    // Guards against a second start at the same entry while an agent that is out of contact may still run the task.
    // Guards against a former run whose number counts again: many other jobs ended early while it was being stopped.
    @Test
    public void runNumbersGoOnHoweverManyOtherJobsEndBeforeTheFormerRuns() {
        submit(1);
        dispatcher.abandon(JOB);
        for (int other = 1; other <= 6000; other++) {
            JobId id = JobId.of(String.format("%016x", 0xf000_0000L + other));
            BestEffortJob job =
                    new BestEffortJob(id, ROUTE, 1, "text", 1, Resources.of(3000, 64, 0), Duration.ofMillis(300));
            dispatcher.submit(job, millis(10), CALLER_TIMEOUT, outcomes::add);
            Sent assigned = sent.get(sent.size() - 1);
            dispatcher.abandon(id);
            finish(assigned, RunOutcome.LOST, 10);
        }
        finish(sent.get(0), RunOutcome.LOST, 20);
        submit(1, 30);
        assertEquals(sent.get(sent.size() - 1).assignment().runNumber().value(), 2);
    }

    @Test
    public void aJobSubmittedAgainWhileAnAgentOfItsFormerRunsIsLostStartsAfterTheReassignmentTime() {
        submit(1);
        dispatcher.cancel(JOB);
        dispatcher.agentDisconnected(sent.get(0).agent(), millis(700));
        submit(1, 10);
        dispatcher.tick(millis(690));
        assertEquals(sent.size(), 1);
        dispatcher.tick(millis(700));
        assertEquals(sent.size(), 2);
    }

    @Test
    public void aJobSubmittedAgainMayHaveRunIfItsTimeCannotSufficeAfterTheEndOfItsFormerRuns() {
        submit(1);
        dispatcher.cancel(JOB);
        outcomes.clear();
        BestEffortJob job =
                new BestEffortJob(JOB, ROUTE, 1, "text", 1, Resources.of(3000, 64, 0), Duration.ofMillis(300));
        dispatcher.submit(job, millis(10), Duration.ofMillis(200), outcomes::add);
        assertEquals(outcomes.get(0).verdict(), Verdict.MAY_HAVE_RUN);
        assertFalse(dispatcher.isActive(JOB));
        dispatcher.submit(job, millis(10), CALLER_TIMEOUT, outcomes::add);
        assertEquals(outcomes.size(), 1);
        dispatcher.tick(millis(2000));
        assertEquals(outcomes.get(1).verdict(), Verdict.MAY_HAVE_RUN);
    }

    @Test
    public void aJobThatIsCancelledWhileItWaitsForTheEndOfItsFormerRunsDoesNotStart() {
        submit(1);
        dispatcher.cancel(JOB);
        submit(1, 10);
        assertTrue(dispatcher.cancel(JOB));
        finish(sent.get(0), RunOutcome.LOST, 50);
        assertEquals(sent.size(), 1);
        submit(1, 60);
        assertEquals(sent.size(), 2);
    }
}
