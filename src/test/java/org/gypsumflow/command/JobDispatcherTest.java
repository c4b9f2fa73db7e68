package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
    private static final Duration PATIENCE = Duration.ofSeconds(10);
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

    private record Sent(MemberName agent, TaskAssignment order) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<MemberName> stopped = new ArrayList<>();
    private final List<BestEffortOutcome> answers = new ArrayList<>();
    private JobDispatcher dispatcher;

    @BeforeMethod
    public void startWithTwoIdleWorkers() {
        sent.clear();
        stopped.clear();
        answers.clear();
        AgentClient ports = new AgentClient(
                (agent, orders) -> orders.forEach(order -> sent.add(new Sent(agent, order))),
                (agent, job, indexes) -> stopped.add(agent));
        dispatcher = JobDispatcher.create(
                WorkerCapacityTracker.create(),
                EarliestFinishPlacement.policy(),
                ports,
                (event, details) -> {},
                JobObserver.none());
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), room(32)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(32)), 0);
    }

    private static WorkerStatus room(int freeCores) {
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
        dispatcher.submit(job, millis(atMillis), PATIENCE, answers::add);
    }

    private void end(Sent order, RunOutcome ending, long atMillis) {
        RunResult ended =
                new RunResult(order.order().task(), order.order().runNumber(), ending, Duration.ofMillis(200));
        dispatcher.agentReported(order.agent(), new AgentReport(List.of(ended), room(32)), millis(atMillis));
    }

    @Test
    public void aJobIsAnsweredOnceAllItsTasksAreDone() {
        submit(3);
        end(sent.get(0), RunOutcome.DONE, 200);
        end(sent.get(1), RunOutcome.DONE, 210);
        assertTrue(answers.isEmpty());
        end(sent.get(2), RunOutcome.DONE, 220);
        assertEquals(answers, List.of(BestEffortOutcome.completed()));
    }

    @Test
    public void anEndReportedTwiceCountsOnce() {
        submit(2);
        end(sent.get(0), RunOutcome.DONE, 200);
        end(sent.get(0), RunOutcome.DONE, 201);
        assertTrue(answers.isEmpty());
    }

    @Test
    public void aJobThatFindsNoWorkerIsRefusedAtOnceAndHasNotRun() {
        submit(1, 0);
        dispatcher.cancel(JOB);
        answers.clear();
        sent.clear();
        dispatcher.agentDisconnected(FIRST, 0);
        dispatcher.agentDisconnected(SECOND, 0);
        submit(1, 2500);
        assertEquals(answers.get(0).verdict(), Verdict.NOT_RUN);
        assertTrue(sent.isEmpty());
    }

    @Test
    public void aJobThatComesWhileItsAgentsRestartWaitsForThem() {
        dispatcher.agentDisconnected(FIRST, 0);
        dispatcher.agentDisconnected(SECOND, 0);
        submit(1, 0);
        assertTrue(answers.isEmpty());
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), room(32)), millis(60));
        assertEquals(sent.size(), 1);
    }

    @Test
    public void aJobThatFoundNoAgentInTimeIsRefusedWhileItsCallerCanStillGoElsewhere() {
        dispatcher.agentDisconnected(FIRST, 0);
        dispatcher.agentDisconnected(SECOND, 0);
        submit(1, 0);
        dispatcher.tick(millis(140));
        assertEquals(answers.get(0).verdict(), Verdict.NOT_RUN);
    }

    @Test
    public void aJobWaitsForRoomWhileItMayStillEndInTime() {
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), room(-60)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(-60)), 0);
        submit(2, 0);
        assertTrue(sent.isEmpty() && answers.isEmpty());
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(10)), millis(40));
        assertEquals(sent.size(), 2);
    }

    private void submitLater(ServiceName service) {
        Route later = new Route(
                RouteName.of("later"),
                "host",
                "/later/",
                service,
                ROUTE.priority() + 1,
                1,
                1.6,
                Duration.ofMillis(60),
                PATIENCE);
        BestEffortJob job = new BestEffortJob(
                JobId.of("00000000000000cc"), later, 1, "", 1, Resources.of(3000, 64, 0), Duration.ofMillis(300));
        dispatcher.submit(job, 0, PATIENCE, answers::add);
    }

    @Test
    public void aJobForWorkersOfAnotherServiceDoesNotWaitBehindOneOfHigherPriority() {
        MemberName other = MemberName.of("other");
        WorkerStatus room = room(32);
        dispatcher.agentReported(
                other,
                new AgentReport(
                        List.of(),
                        new WorkerStatus(
                                true,
                                "other",
                                "zone",
                                room.capacity(),
                                room.uncommitted(),
                                room.idle(),
                                room.assignedByReceiver(),
                                room.meanRunDuration(),
                                1,
                                0,
                                0,
                                0)),
                0);
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), room(-60)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(-60)), 0);
        submit(2);
        assertTrue(sent.isEmpty());
        submitLater(ServiceName.of("other"));
        assertEquals(sent.get(0).agent(), other);
    }

    @Test
    public void aJobThatIsTooLargeForAnyWorkerIsRefusedAtOnce() {
        BestEffortJob job =
                new BestEffortJob(JOB, ROUTE, 1, "", 1, Resources.of(64_000, 64, 0), Duration.ofMillis(300));
        dispatcher.submit(job, 0, PATIENCE, answers::add);
        assertEquals(answers.get(0).verdict(), Verdict.NOT_RUN);
    }

    @Test
    public void whatIsLeftOfABegunJobWaitsForRoomInsteadOfBeingGivenUp() {
        submit(2);
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), room(-90)), millis(10));
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(-90)), millis(10));
        RunResult bounced = new RunResult(
                sent.get(0).order().task(), sent.get(0).order().runNumber(), RunOutcome.NOT_STARTED, Duration.ZERO);
        dispatcher.agentReported(sent.get(0).agent(), new AgentReport(List.of(bounced), room(-90)), millis(12));
        assertTrue(answers.isEmpty());
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(10)), millis(60));
        assertEquals(sent.size(), 3);
    }

    @Test
    public void aJobOfLowerPriorityDoesNotTakeTheRoomThatOneOfHigherPriorityWaitsFor() {
        dispatcher.agentReported(FIRST, new AgentReport(List.of(), room(4)), 0);
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(-60)), 0);
        submit(8, 0);
        assertTrue(sent.isEmpty());
        submitLater(ROUTE.service());
        assertTrue(sent.isEmpty());
        dispatcher.agentReported(SECOND, new AgentReport(List.of(), room(32)), millis(30));
        assertEquals(sent.get(0).order().task().job(), JOB);
    }

    @Test
    public void aFailedTaskRunsAgainUntilItsRouteAllowsNoMore() {
        submit(1);
        end(sent.get(0), RunOutcome.FAILED, 100);
        assertEquals(sent.get(1).order().runNumber().value(), 2);
        end(sent.get(1), RunOutcome.FAILED, 200);
        assertEquals(answers.get(0).verdict(), Verdict.FAILED);
    }

    @Test
    public void aTaskOfALostAgentStartsElsewhereOnlyWhenItsRunHasSurelyEnded() {
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
    public void anEndFromBeforeTheAgentWasLostChangesNothingAfterwards() {
        submit(1);
        Sent first = sent.get(0);
        dispatcher.agentDisconnected(first.agent(), millis(700));
        end(first, RunOutcome.DONE, 650);
        assertTrue(answers.isEmpty());
    }

    @Test
    public void aJobWhoseDeadlinePassesIsStoppedAndMayHaveRun() {
        submit(2);
        dispatcher.tick(PATIENCE.toNanos());
        assertEquals(answers.get(0).verdict(), Verdict.MAY_HAVE_RUN);
        assertFalse(stopped.isEmpty());
    }

    @Test
    public void aSecondAskerOfAJobUnderWayGetsTheSameAnswerAndStartsNothing() {
        submit(1);
        submit(1);
        assertEquals(sent.size(), 1);
        end(sent.get(0), RunOutcome.DONE, 200);
        assertEquals(answers, List.of(BestEffortOutcome.completed(), BestEffortOutcome.completed()));
    }

    @Test
    public void aCancelledJobIsStoppedWhereItRuns() {
        submit(2);
        assertTrue(dispatcher.cancel(JobId.of("00000000000000aa")));
        assertTrue(answers.get(0).cancelled());
        assertEquals(stopped.size(), sent.stream().map(Sent::agent).distinct().count());
    }

    @Test
    public void aJobEndsWhenTheLastOfItsAskersIsGone() {
        java.util.function.Consumer<BestEffortOutcome> early = answer -> {};
        java.util.function.Consumer<BestEffortOutcome> late = answer -> {};
        BestEffortJob job = new BestEffortJob(
                JobId.of("00000000000000bb"), ROUTE, 1, "", 1, Resources.of(3000, 64, 0), Duration.ofMillis(300));
        dispatcher.submit(job, 0, PATIENCE, early);
        dispatcher.submit(job, 0, PATIENCE, late);
        dispatcher.removeWaiter(job.id(), early);
        assertTrue(dispatcher.isActive(job.id()));
        dispatcher.removeWaiter(job.id(), late);
        assertFalse(dispatcher.isActive(job.id()));
        assertEquals(stopped.size(), 1);
    }

    @Test
    public void aProcessThatStoodStillGivesUpWhatOthersMayHaveTakenOver() {
        submit(1);
        dispatcher.abandonAll("paused");
        assertEquals(answers.get(0).verdict(), Verdict.MAY_HAVE_RUN);
        assertEquals(dispatcher.activeJobCount(), 0);
    }
}
