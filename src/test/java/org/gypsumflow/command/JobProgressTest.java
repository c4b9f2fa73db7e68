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
    public void startAfresh() {
        progress = JobProgress.create(2);
    }

    private static TaskOutcome done(String result) {
        return TaskOutcome.completed(result, WORKER);
    }

    @Test
    public void anAnswerThatArrivesTwiceCountsOnce() {
        progress.place(0, WORKER, AGENT);
        assertTrue(progress.report(0, Attempt.FIRST, done("first"), true).isPresent());
        assertFalse(progress.report(0, Attempt.FIRST, done("second"), true).isPresent());
        progress.place(1, WORKER, AGENT);
        progress.report(1, Attempt.FIRST, done("other"), true);
        assertEquals(progress.outcome().tasks().get(0).result(), "first");
    }

    @Test
    public void aLateAnswerToAnEarlierAttemptIsIgnored() {
        progress.place(0, WORKER, AGENT);
        progress.report(0, Attempt.FIRST, TaskOutcome.notRun("refused"), true);
        progress.place(0, WORKER, AGENT);
        assertFalse(progress.report(0, Attempt.FIRST, TaskOutcome.notRun("late"), true)
                .isPresent());
        assertFalse(progress.isWaiting(0));
        assertTrue(progress.report(0, Attempt.of(2), done("second"), true).isPresent());
    }

    @Test
    public void anAnswerForATaskThatWasNotPlacedIsIgnored() {
        assertFalse(progress.report(0, Attempt.FIRST, done("stray"), true).isPresent());
        assertFalse(progress.report(7, Attempt.FIRST, done("stray"), true).isPresent());
    }

    @Test
    public void aJobWithOneFailedTaskIsFailedAndCarriesNoResult() {
        progress.place(0, WORKER, AGENT);
        progress.place(1, WORKER, AGENT);
        progress.report(0, Attempt.FIRST, done("result"), true);
        progress.report(1, Attempt.FIRST, TaskOutcome.failed("broken", WORKER), true);
        assertEquals(progress.outcome().verdict(), Verdict.FAILED);
        assertEquals(progress.outcome().tasks().get(0).result(), "");
    }

    @Test
    public void aJobIsNotRunOnlyIfNoTaskMayHaveRun() {
        progress.place(0, WORKER, AGENT);
        progress.endWaiting("deadline");
        progress.endPlaced("deadline");
        assertTrue(progress.isDone());
        assertEquals(progress.outcome().verdict(), Verdict.MAY_HAVE_RUN);
        JobProgress untouched = JobProgress.create(2);
        untouched.endWaiting("cancelled");
        assertEquals(untouched.outcome().verdict(), Verdict.NOT_RUN);
    }
}
