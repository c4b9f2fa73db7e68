package org.gypsumflow.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.gypsumflow.model.Attempt;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.model.WorkerName;

/**
 * Tracks the tasks of one claimed job from waiting over started to ended.
 *
 * <p>A task goes back to waiting only after its last attempt proved not run. Answers are matched by task and attempt;
 * any other answer is ignored. Not safe for use by several threads.
 */
public final class JobProgress {
    /**
     * Where a task was started.
     *
     * @param index position in the job
     * @param attempt which placement
     * @param worker worker it was sent to
     * @param agent incarnation it was sent to
     */
    public record StartedTask(int index, Attempt attempt, WorkerName worker, Incarnation agent) {}

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<StartedTask> placed = new ArrayList<>();
    private final List<TaskOutcome> outcomes = new ArrayList<>();
    private int ended;

    private JobProgress(int size) {
        for (int index = 0; index < size; index++) {
            attempts.add(Attempt.FIRST);
            placed.add(null);
            outcomes.add(null);
        }
    }

    /**
     * Creates the progress of a job none of whose tasks has started.
     *
     * @param size number of tasks
     * @return the progress
     */
    public static JobProgress create(int size) {
        return new JobProgress(size);
    }

    /**
     * Returns the attempt that the task is in or waits for.
     *
     * @param index position in the job
     * @return the attempt
     */
    public Attempt currentAttempt(int index) {
        return attempts.get(index);
    }

    /**
     * Tells whether a task waits for a worker.
     *
     * @param index position in the job
     * @return true if it neither was started nor has ended
     */
    public boolean isWaiting(int index) {
        return placed.get(index) == null && outcomes.get(index) == null;
    }

    /**
     * Records that a task is about to be sent to an agent.
     *
     * @param index position in the job, of a waiting task
     * @param worker worker it is sent to
     * @param agent incarnation it is sent to
     * @return the placement
     */
    public StartedTask markStarted(int index, WorkerName worker, Incarnation agent) {
        StartedTask placement = new StartedTask(index, attempts.get(index), worker, agent);
        placed.set(index, placement);
        return placement;
    }

    /**
     * Returns where a task was sent.
     *
     * @param index position in the job
     * @return the placement, or empty if the task waits or has ended
     */
    public Optional<StartedTask> startedTask(int index) {
        return Optional.ofNullable(placed.get(index));
    }

    /**
     * Lists the tasks that were sent to a worker and have not ended.
     *
     * @param worker the worker
     * @return their placements
     */
    public List<StartedTask> startedTasksOn(WorkerName worker) {
        return placed.stream()
                .filter(placement -> placement != null && placement.worker().equals(worker))
                .toList();
    }

    /**
     * Ends a placement with what the agent proved.
     *
     * @param index position in the job
     * @param attempt attempt that the answer is about
     * @param outcome the outcome
     * @param retry true if a task that did not run shall wait again
     * @return the placement that ended, or empty if the answer matches none
     */
    public Optional<StartedTask> finishAttempt(int index, Attempt attempt, TaskOutcome outcome, boolean retry) {
        if (index < 0 || index >= placed.size()) {
            return Optional.empty();
        }
        StartedTask placement = placed.get(index);
        if (placement == null || !placement.attempt().equals(attempt)) {
            return Optional.empty();
        }
        placed.set(index, null);
        if (outcome.verdict() == Verdict.NOT_RUN && retry) {
            attempts.set(index, attempt.next());
            return Optional.of(placement);
        }
        end(index, outcome);
        return Optional.of(placement);
    }

    /**
     * Ends every waiting task as not run.
     *
     * @param reason why
     */
    public void endWaitingTasks(String reason) {
        for (int index = 0; index < outcomes.size(); index++) {
            if (isWaiting(index)) {
                end(index, TaskOutcome.notRun(reason));
            }
        }
    }

    /**
     * Ends every placed task as possibly run.
     *
     * @param reason why
     * @return the placements that ended
     */
    public List<StartedTask> abandonStartedTasks(String reason) {
        List<StartedTask> open = new ArrayList<>();
        for (int index = 0; index < outcomes.size(); index++) {
            if (placed.get(index) != null) {
                open.add(placed.get(index));
                placed.set(index, null);
                end(index, TaskOutcome.mayHaveRun(reason));
            }
        }
        return open;
    }

    /**
     * Tells whether some task ended otherwise than completed, so that the job cannot complete.
     *
     * @return true if the job's answer can no longer be complete
     */
    public boolean hasUnsuccessfulTask() {
        return outcomes.stream().anyMatch(outcome -> outcome != null && outcome.verdict() != Verdict.COMPLETED);
    }

    /**
     * Tells whether all tasks have ended.
     *
     * @return true if the answer is known
     */
    public boolean isDone() {
        return ended == outcomes.size();
    }

    /**
     * Joins the outcomes.
     *
     * @return the job's answer, once {@link #isDone}
     */
    public JobOutcome outcome() {
        return JobOutcome.aggregate(outcomes);
    }

    /**
     * Finds a waiting task.
     *
     * @return position of the first one, or empty
     */
    public OptionalInt firstWaiting() {
        for (int index = 0; index < outcomes.size(); index++) {
            if (isWaiting(index)) {
                return OptionalInt.of(index);
            }
        }
        return OptionalInt.empty();
    }

    private void end(int index, TaskOutcome outcome) {
        outcomes.set(index, outcome);
        ended++;
    }
}
