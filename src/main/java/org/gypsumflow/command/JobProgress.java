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
 * Tracks the tasks of one claimed job from waiting through started to ended.
 *
 * <p>A task returns to waiting only after its last attempt is proved not to have run. A report is matched by task and
 * attempt, and ignored if it matches no started task. Not thread-safe.
 *
 * @see org.gypsumflow.model.JobRequest
 */
public final class JobProgress {
    /**
     * A task that was sent to an agent and has not ended.
     *
     * @param index position in the job, from 0
     * @param attempt attempt under which it was sent
     * @param worker worker it was sent to
     * @param agent incarnation of the worker's agent
     */
    public record StartedTask(int index, Attempt attempt, WorkerName worker, Incarnation agent) {}

    private final List<Attempt> currentAttempts = new ArrayList<>();
    private final List<StartedTask> startedTasks = new ArrayList<>();
    private final List<TaskOutcome> outcomes = new ArrayList<>();
    private int endedCount;

    private JobProgress(int taskCount) {
        for (int index = 0; index < taskCount; index++) {
            currentAttempts.add(Attempt.FIRST);
            startedTasks.add(null);
            outcomes.add(null);
        }
    }

    /**
     * Creates the progress of a job of which no task has started.
     *
     * @param taskCount number of tasks of the job
     * @return progress with all tasks waiting
     */
    public static JobProgress create(int taskCount) {
        return new JobProgress(taskCount);
    }

    /**
     * Returns the attempt under which a task was started or will be started next.
     *
     * @param index position in the job, from 0
     * @return the attempt
     */
    public Attempt currentAttempt(int index) {
        return currentAttempts.get(index);
    }

    /**
     * Returns whether a task waits for a worker.
     *
     * @param index position in the job, from 0
     * @return true if the task is neither started nor ended
     */
    public boolean isWaiting(int index) {
        return startedTasks.get(index) == null && outcomes.get(index) == null;
    }

    /**
     * Records that a waiting task is about to be sent to an agent.
     *
     * @param index position of the waiting task in the job, from 0
     * @param worker worker it is sent to
     * @param agent incarnation of the worker's agent
     * @return the started task
     */
    public StartedTask markStarted(int index, WorkerName worker, Incarnation agent) {
        StartedTask startedTask = new StartedTask(index, currentAttempts.get(index), worker, agent);
        startedTasks.set(index, startedTask);
        return startedTask;
    }

    /**
     * Returns a started task.
     *
     * @param index position in the job, from 0
     * @return the started task, or empty if the task waits or has ended
     */
    public Optional<StartedTask> startedTask(int index) {
        return Optional.ofNullable(startedTasks.get(index));
    }

    /**
     * Lists the tasks that were sent to a worker and have not ended.
     *
     * @param worker worker the tasks were sent to
     * @return the started tasks; empty if there are none
     */
    public List<StartedTask> startedTasksOn(WorkerName worker) {
        return startedTasks.stream()
                .filter(startedTask ->
                        startedTask != null && startedTask.worker().equals(worker))
                .toList();
    }

    /**
     * Finishes an attempt of a started task with the outcome that its agent reported.
     *
     * @param index position in the job, from 0
     * @param attempt attempt that the report is about
     * @param outcome outcome of the attempt
     * @param retry whether a task that did not run returns to waiting under the next attempt instead of ending
     * @return the task as it was started, or empty if the report matches no started task
     */
    public Optional<StartedTask> finishAttempt(int index, Attempt attempt, TaskOutcome outcome, boolean retry) {
        if (index < 0 || index >= startedTasks.size()) {
            return Optional.empty();
        }
        StartedTask startedTask = startedTasks.get(index);
        if (startedTask == null || !startedTask.attempt().equals(attempt)) {
            return Optional.empty();
        }
        startedTasks.set(index, null);
        if (outcome.verdict() == Verdict.NOT_RUN && retry) {
            currentAttempts.set(index, attempt.next());
            return Optional.of(startedTask);
        }
        endTask(index, outcome);
        return Optional.of(startedTask);
    }

    /**
     * Ends all waiting tasks with the verdict {@link Verdict#NOT_RUN}.
     *
     * @param reason why they will not run, for the caller
     */
    public void endWaitingTasks(String reason) {
        for (int index = 0; index < outcomes.size(); index++) {
            if (isWaiting(index)) {
                endTask(index, TaskOutcome.notRun(reason));
            }
        }
    }

    /**
     * Ends all started tasks with the verdict {@link Verdict#MAY_HAVE_RUN}.
     *
     * @param reason why their outcomes are unknown, for the caller
     * @return the tasks that were started until now
     */
    public List<StartedTask> abandonStartedTasks(String reason) {
        List<StartedTask> abandoned = new ArrayList<>();
        for (int index = 0; index < outcomes.size(); index++) {
            if (startedTasks.get(index) != null) {
                abandoned.add(startedTasks.get(index));
                startedTasks.set(index, null);
                endTask(index, TaskOutcome.mayHaveRun(reason));
            }
        }
        return abandoned;
    }

    /**
     * Returns whether any task has ended with a verdict other than {@link Verdict#COMPLETED}.
     *
     * @return true if the job can no longer complete
     */
    public boolean hasUnsuccessfulTask() {
        return outcomes.stream().anyMatch(outcome -> outcome != null && outcome.verdict() != Verdict.COMPLETED);
    }

    /**
     * Returns whether all tasks have ended.
     *
     * @return true if the job's outcome is known
     */
    public boolean isDone() {
        return endedCount == outcomes.size();
    }

    /**
     * Aggregates the outcomes of all tasks; must only be called once {@link #isDone} returns true.
     *
     * @return the outcome of the job
     */
    public JobOutcome outcome() {
        return JobOutcome.aggregate(outcomes);
    }

    /**
     * Finds the first waiting task.
     *
     * @return its position in the job, or empty if no task waits
     */
    public OptionalInt firstWaiting() {
        for (int index = 0; index < outcomes.size(); index++) {
            if (isWaiting(index)) {
                return OptionalInt.of(index);
            }
        }
        return OptionalInt.empty();
    }

    private void endTask(int index, TaskOutcome outcome) {
        outcomes.set(index, outcome);
        endedCount++;
    }
}
