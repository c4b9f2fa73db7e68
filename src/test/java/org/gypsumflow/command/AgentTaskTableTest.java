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
    private static final long FRESH_UNTIL = Duration.ofSeconds(3).toNanos();
    private AgentTaskTable ledger;

    @BeforeMethod
    public void createTable() {
        ledger = AgentTaskTable.create(AGENT, Duration.ofMinutes(10));
    }

    private static StartTask start(Incarnation agent, int attempt, int index) {
        TaskId task = TaskId.of(TASK.submission(), index);
        Duration timeout = Duration.ofSeconds(1);
        return new StartTask(task, Attempt.of(attempt), agent, ENTRY, SERVICE, "", timeout, TraceParent.NONE);
    }

    private static StartGuard guard(Configuration configuration, boolean leaving) {
        return new StartGuard(WORKER, SOFIA, Optional.of(SERVICE), 2, configuration, FRESH_UNTIL, leaving);
    }

    private static StartGuard open() {
        return guard(Configuration.EMPTY, false);
    }

    private void assertRefused(StartDecision decision) {
        StartDecision.Answer answer = (StartDecision.Answer) decision;
        assertEquals(answer.outcome().verdict(), Verdict.NOT_RUN);
    }

    @Test
    public void aTaskStartsOnceHoweverOftenItIsSent() {
        assertEquals(ledger.decideStart(start(AGENT, 1, 0), open(), 0), new StartDecision.Start());
        assertEquals(
                ledger.decideStart(start(AGENT, 2, 0), open(), 0), new StartDecision.Answer(TaskStatus.RUNNING, null));
        ledger.finish(TASK, TaskOutcome.completed("done", WORKER), 1);
        StartDecision.Answer again = (StartDecision.Answer) ledger.decideStart(start(AGENT, 3, 0), open(), 2);
        assertEquals(again.outcome().result(), "done");
    }

    @Test
    public void aResolvedStartNeverStartsAfterwards() {
        assertRefused(ledger.resolve(new ResolveTask(TASK, Attempt.FIRST, AGENT, ENTRY), 0));
        assertRefused(ledger.decideStart(start(AGENT, 1, 0), open(), 1));
        assertEquals(ledger.decideStart(start(AGENT, 2, 0), open(), 2), new StartDecision.Start());
    }

    @Test
    public void aStartForAnEarlierLifeIsRefusedAndAResolveForItProvesNothing() {
        assertRefused(ledger.decideStart(start(Incarnation.of("earlier"), 1, 0), open(), 0));
        StartDecision.Answer answer =
                ledger.resolve(new ResolveTask(TASK, Attempt.FIRST, Incarnation.of("earlier"), ENTRY), 0);
        assertEquals(answer.outcome().verdict(), Verdict.MAY_HAVE_RUN);
    }

    @Test
    public void nothingStartsInAClosedZone() {
        Configuration closed = new ConfigurationChange.CloseZone(SOFIA).applyTo(Configuration.EMPTY);
        assertEquals(closed.closedZones(), Set.of(SOFIA));
        assertRefused(ledger.decideStart(start(AGENT, 1, 0), guard(closed, false), 0));
    }

    @Test
    public void nothingStartsOnceTheConfigurationIsNoLongerConfirmed() {
        assertRefused(ledger.decideStart(start(AGENT, 1, 0), open(), FRESH_UNTIL));
    }

    @Test
    public void nothingStartsOnAWorkerThatIsLeaving() {
        assertRefused(ledger.decideStart(start(AGENT, 1, 0), guard(Configuration.EMPTY, true), 0));
    }

    @Test
    public void nothingStartsBeyondTheSlots() {
        ledger.decideStart(start(AGENT, 1, 0), open(), 0);
        ledger.decideStart(start(AGENT, 1, 1), open(), 0);
        assertRefused(ledger.decideStart(start(AGENT, 1, 2), open(), 0));
        assertEquals(ledger.runningTaskCount(), 2);
    }

    @Test
    public void aTaskThatTheTargetNeverReceivedMayStartUnderALaterAttemptOnly() {
        ledger.decideStart(start(AGENT, 1, 0), open(), 0);
        ledger.finish(TASK, TaskOutcome.notRun("refused"), 1);
        assertRefused(ledger.decideStart(start(AGENT, 1, 0), open(), 2));
        assertEquals(ledger.decideStart(start(AGENT, 2, 0), open(), 3), new StartDecision.Start());
    }

    @Test
    public void aTaskIsForgottenOnlyAfterTheWindowAndNeverWhileItRuns() {
        ledger.decideStart(start(AGENT, 1, 0), open(), 0);
        long late = Duration.ofMinutes(20).toNanos();
        ledger.resolve(new ResolveTask(TaskId.of(TASK.submission(), 7), Attempt.FIRST, AGENT, ENTRY), late);
        assertEquals(ledger.startedTasks(TASK.submission()).size(), 1);
        ledger.finish(TASK, TaskOutcome.completed("", WORKER), late);
        assertTrue(ledger.taskCount() >= 1);
        ledger.decideStart(
                start(AGENT, 1, 9), open(), late + Duration.ofMinutes(11).toNanos());
        assertEquals(ledger.startedTasks(TASK.submission()).size(), 0);
    }
}
