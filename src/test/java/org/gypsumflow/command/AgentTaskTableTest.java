package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.model.Attempt;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.CommandMessage.ResolveTask;
import org.gypsumflow.model.CommandMessage.StartTask;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.model.WorkerName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class AgentTaskTableTest {
    private static final Incarnation AGENT = Incarnation.of("agent");
    private static final Incarnation ENTRY = Incarnation.of("entry");
    private static final ServiceName SERVICE = ServiceName.of("bookings");
    private static final WorkerName WORKER = WorkerName.of("worker");
    private static final AvailabilityZone SOFIA = AvailabilityZone.of("sofia");
    private static final TaskId TASK = TaskId.of(SubmissionDigest.ofText("job"), 0);
    private static final long CONFIGURATION_VALID_UNTIL_NANOS =
            Duration.ofSeconds(3).toNanos();
    private AgentTaskTable table;

    @BeforeMethod
    public void createTable() {
        table = AgentTaskTable.create(AGENT, Duration.ofMinutes(10));
    }

    private static StartTask startRequest(Incarnation agent, int attempt, int index) {
        TaskId task = TaskId.of(TASK.submission(), index);
        Duration timeout = Duration.ofSeconds(1);
        return new StartTask(task, Attempt.of(attempt), agent, ENTRY, SERVICE, "", timeout, TraceParent.NONE);
    }

    private static StartGuard guard(Configuration configuration, boolean draining) {
        return new StartGuard(
                WORKER, SOFIA, Optional.of(SERVICE), 2, configuration, CONFIGURATION_VALID_UNTIL_NANOS, draining);
    }

    private static StartGuard acceptingGuard() {
        return guard(Configuration.EMPTY, false);
    }

    private void assertRejected(StartDecision decision) {
        StartDecision.ReportStatus answer = (StartDecision.ReportStatus) decision;
        assertEquals(answer.outcome().verdict(), Verdict.NOT_RUN);
    }

    @Test
    public void aTaskStartsOnlyOnceEvenIfItsStartIsSentRepeatedly() {
        assertEquals(table.decideStart(startRequest(AGENT, 1, 0), acceptingGuard(), 0), new StartDecision.Start());
        assertEquals(
                table.decideStart(startRequest(AGENT, 2, 0), acceptingGuard(), 0),
                new StartDecision.ReportStatus(TaskStatus.RUNNING, null));
        table.finish(TASK, TaskOutcome.completed("done", WORKER), 1);
        StartDecision.ReportStatus duplicate =
                (StartDecision.ReportStatus) table.decideStart(startRequest(AGENT, 3, 0), acceptingGuard(), 2);
        assertEquals(duplicate.outcome().result(), "done");
    }

    @Test
    public void anAttemptNeverStartsAfterItWasResolved() {
        assertRejected(table.resolve(new ResolveTask(TASK, Attempt.FIRST, AGENT, ENTRY), 0));
        assertRejected(table.decideStart(startRequest(AGENT, 1, 0), acceptingGuard(), 1));
        assertEquals(table.decideStart(startRequest(AGENT, 2, 0), acceptingGuard(), 2), new StartDecision.Start());
    }

    @Test
    public void aStartSentToAnEarlierIncarnationIsRejectedAndItsResolutionProvesNothing() {
        assertRejected(table.decideStart(startRequest(Incarnation.of("earlier"), 1, 0), acceptingGuard(), 0));
        StartDecision.ReportStatus answer =
                table.resolve(new ResolveTask(TASK, Attempt.FIRST, Incarnation.of("earlier"), ENTRY), 0);
        assertEquals(answer.outcome().verdict(), Verdict.MAY_HAVE_RUN);
    }

    @Test
    public void noTaskStartsInAClosedZone() {
        Configuration closed = new ConfigurationChange.CloseZone(SOFIA).applyTo(Configuration.EMPTY);
        assertEquals(closed.closedZones(), Set.of(SOFIA));
        assertRejected(table.decideStart(startRequest(AGENT, 1, 0), guard(closed, false), 0));
    }

    @Test
    public void noTaskStartsOnceTheConfigurationIsTooOld() {
        assertRejected(table.decideStart(startRequest(AGENT, 1, 0), acceptingGuard(), CONFIGURATION_VALID_UNTIL_NANOS));
    }

    @Test
    public void noTaskStartsOnADrainingWorker() {
        assertRejected(table.decideStart(startRequest(AGENT, 1, 0), guard(Configuration.EMPTY, true), 0));
    }

    @Test
    public void noMoreTasksStartThanThereAreSlots() {
        table.decideStart(startRequest(AGENT, 1, 0), acceptingGuard(), 0);
        table.decideStart(startRequest(AGENT, 1, 1), acceptingGuard(), 0);
        assertRejected(table.decideStart(startRequest(AGENT, 1, 2), acceptingGuard(), 0));
        assertEquals(table.runningTaskCount(), 2);
    }

    @Test
    public void aTaskThatTheTargetNeverReceivedMayStartOnlyUnderALaterAttempt() {
        table.decideStart(startRequest(AGENT, 1, 0), acceptingGuard(), 0);
        table.finish(TASK, TaskOutcome.notRun("rejected"), 1);
        assertRejected(table.decideStart(startRequest(AGENT, 1, 0), acceptingGuard(), 2));
        assertEquals(table.decideStart(startRequest(AGENT, 2, 0), acceptingGuard(), 3), new StartDecision.Start());
    }

    @Test
    public void aTaskIsEvictedAfterTheRetentionTimeButNeverWhileItRuns() {
        table.decideStart(startRequest(AGENT, 1, 0), acceptingGuard(), 0);
        long lateNanos = Duration.ofMinutes(20).toNanos();
        table.resolve(new ResolveTask(TaskId.of(TASK.submission(), 7), Attempt.FIRST, AGENT, ENTRY), lateNanos);
        assertEquals(table.startedTasks(TASK.submission()).size(), 1);
        table.finish(TASK, TaskOutcome.completed("", WORKER), lateNanos);
        assertTrue(table.taskCount() >= 1);
        table.decideStart(
                startRequest(AGENT, 1, 9),
                acceptingGuard(),
                lateNanos + Duration.ofMinutes(11).toNanos());
        assertEquals(table.startedTasks(TASK.submission()).size(), 0);
    }
}
