package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.gypsumflow.model.Attempt;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.model.WorkerName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class JobProgressTest {
    private static final WorkerName WORKER = WorkerName.of("worker");
    private static final Incarnation AGENT = Incarnation.of("agent");
    private JobProgress progress;

    @BeforeMethod
    public void createProgress() {
        progress = JobProgress.create(2);
    }

    private static TaskOutcome completed(String result) {
        return TaskOutcome.completed(result, WORKER);
    }

    @Test
    public void aReportThatArrivesTwiceCountsOnce() {
        progress.markStarted(0, WORKER, AGENT);
        assertTrue(progress.finishAttempt(0, Attempt.FIRST, completed("first"), true)
                .isPresent());
        assertFalse(progress.finishAttempt(0, Attempt.FIRST, completed("second"), true)
                .isPresent());
        progress.markStarted(1, WORKER, AGENT);
        progress.finishAttempt(1, Attempt.FIRST, completed("other"), true);
        assertEquals(progress.outcome().tasks().get(0).result(), "first");
    }

    @Test
    public void aLateReportOfAnEarlierAttemptIsIgnored() {
        progress.markStarted(0, WORKER, AGENT);
        progress.finishAttempt(0, Attempt.FIRST, TaskOutcome.notRun("rejected"), true);
        progress.markStarted(0, WORKER, AGENT);
        assertFalse(progress.finishAttempt(0, Attempt.FIRST, TaskOutcome.notRun("late"), true)
                .isPresent());
        assertFalse(progress.isWaiting(0));
        assertTrue(progress.finishAttempt(0, Attempt.of(2), completed("second"), true)
                .isPresent());
    }

    @Test
    public void aReportOfATaskThatWasNotStartedIsIgnored() {
        assertFalse(progress.finishAttempt(0, Attempt.FIRST, completed("stray"), true)
                .isPresent());
        assertFalse(progress.finishAttempt(7, Attempt.FIRST, completed("stray"), true)
                .isPresent());
    }

    @Test
    public void aJobWithAFailedTaskFailsAndCarriesNoResults() {
        progress.markStarted(0, WORKER, AGENT);
        progress.markStarted(1, WORKER, AGENT);
        progress.finishAttempt(0, Attempt.FIRST, completed("result"), true);
        progress.finishAttempt(1, Attempt.FIRST, TaskOutcome.failed("broken", WORKER), true);
        assertEquals(progress.outcome().verdict(), Verdict.FAILED);
        assertEquals(progress.outcome().tasks().get(0).result(), "");
    }

    @Test
    public void aJobHasTheVerdictNotRunOnlyIfNoTaskMayHaveRun() {
        progress.markStarted(0, WORKER, AGENT);
        progress.endWaitingTasks("deadline");
        progress.abandonStartedTasks("deadline");
        assertTrue(progress.isDone());
        assertEquals(progress.outcome().verdict(), Verdict.MAY_HAVE_RUN);
        JobProgress neverStarted = JobProgress.create(2);
        neverStarted.endWaitingTasks("cancelled");
        assertEquals(neverStarted.outcome().verdict(), Verdict.NOT_RUN);
    }
}
