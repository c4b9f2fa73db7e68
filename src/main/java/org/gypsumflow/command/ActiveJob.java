package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.gypsumflow.command.EndingJobs.UnendedRun;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RunNumber;

/**
 * A best-effort job without an outcome: the state of its tasks, its time limits and the waiters for the outcome. It
 * decides which tasks need a worker, so that no task runs twice at the same time, and whether any part of the job may
 * have run, which its outcome tells the caller.
 */
final class ActiveJob {
    /** What the entry knows of the present run of one task. */
    enum AssignmentState {
        /** Waits for a worker. */
        WAITING,
        /** Assigned to a connected agent. */
        ASSIGNED,
        /** Assigned to an agent whose connection was lost; may still run there. */
        UNKNOWN,
        /** Completed successfully. */
        DONE
    }

    private static final class Task {
        private AssignmentState state = AssignmentState.WAITING;
        private RunNumber runNumber;
        private MemberName agent;
        private int failureCount;
        private Duration runDuration;
        private RunSurroundings surroundings;
        private long reassignAtNanos;

        private Task(RunNumber firstRunNumber) {
            this.runNumber = firstRunNumber;
        }
    }

    private final BestEffortJob job;
    private final long acceptedNanos;
    private final long deadlineNanos;
    private final Duration initialSlack;
    private final Task[] tasks;
    private final List<Consumer<BestEffortOutcome>> waiters = new ArrayList<>();
    private int doneCount;
    private boolean hasRun;
    private int assignmentCount;

    /**
     * Creates a job of which nothing has started in this life.
     *
     * @param firstRunNumber number of the first run of each task, higher than those of its runs in former lives
     * @param mayHaveRun true if parts of the job may be running from a former life
     */
    ActiveJob(BestEffortJob job, long acceptedNanos, long deadlineNanos, RunNumber firstRunNumber, boolean mayHaveRun) {
        this.job = job;
        this.acceptedNanos = acceptedNanos;
        this.deadlineNanos = deadlineNanos;
        double spareNanos = job.estimate().toNanos() * (job.route().latencyFactor() - 1);
        this.initialSlack = job.route().latencyAllowance().plusNanos((long) spareNanos);
        this.tasks = new Task[job.taskCount()];
        this.hasRun = mayHaveRun;
        Arrays.setAll(tasks, index -> new Task(firstRunNumber));
    }

    BestEffortJob job() {
        return job;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    void addWaiter(Consumer<BestEffortOutcome> waiter) {
        waiters.add(waiter);
    }

    /** Removes a waiter; returns whether any is left. */
    boolean removeWaiter(Consumer<BestEffortOutcome> waiter) {
        waiters.remove(waiter);
        return !waiters.isEmpty();
    }

    void notifyWaiters(BestEffortOutcome outcome) {
        waiters.forEach(waiter -> waiter.accept(outcome));
        waiters.clear();
    }

    Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - acceptedNanos);
    }

    Duration remainingLatencyAllowance(long nowNanos) {
        return job.route().latencyAllowance().minus(age(nowNanos));
    }

    /** Returns the time left to start a task and still meet the objective, on a worker as fast as estimated. */
    Duration slack(long nowNanos) {
        return initialSlack.minusNanos(nowNanos - acceptedNanos);
    }

    /** Returns the slack at the time at which the job was accepted. */
    Duration initialSlack() {
        return initialSlack;
    }

    /** Returns the time left until a result has no value or the caller no longer waits for it, whichever is earlier. */
    Duration timeToHardDeadline(long nowNanos) {
        double objectiveNanos = job.estimate().toNanos() * job.route().latencyFactor()
                + job.route().latencyAllowance().toNanos();
        long objectiveBoundNanos =
                (long) (objectiveNanos * BestEffortTimings.HARD_DEADLINE_FACTOR) - (nowNanos - acceptedNanos);
        return Duration.ofNanos(Math.min(objectiveBoundNanos, deadlineNanos - nowNanos));
    }

    List<Integer> waitingTasks() {
        List<Integer> waiting = new ArrayList<>();
        for (int index = 0; index < tasks.length; index++) {
            if (tasks[index].state == AssignmentState.WAITING) {
                waiting.add(index);
            }
        }
        return waiting;
    }

    /** Returns the indexes of tasks that are assigned or may still run, by agent. */
    Map<MemberName, List<Integer>> tasksByAgent() {
        Map<MemberName, List<Integer>> indexesByAgent = new TreeMap<>();
        for (int index = 0; index < tasks.length; index++) {
            Task task = tasks[index];
            if (task.state == AssignmentState.ASSIGNED || task.state == AssignmentState.UNKNOWN) {
                indexesByAgent
                        .computeIfAbsent(task.agent, agent -> new ArrayList<>())
                        .add(index);
            }
        }
        return indexesByAgent;
    }

    /** Returns the indexes of tasks assigned to a connected agent. */
    List<Integer> tasksAssignedTo(MemberName agent) {
        List<Integer> assigned = new ArrayList<>();
        for (int index = 0; index < tasks.length; index++) {
            if (tasks[index].state == AssignmentState.ASSIGNED && tasks[index].agent.equals(agent)) {
                assigned.add(index);
            }
        }
        return assigned;
    }

    RunNumber runNumber(int index) {
        return tasks[index].runNumber;
    }

    void assign(int index, MemberName agent) {
        tasks[index].state = AssignmentState.ASSIGNED;
        tasks[index].agent = agent;
        assignmentCount++;
    }

    /** Returns the connected agent of a task, or empty if that run of the task is not the present one. */
    Optional<MemberName> agentOf(int index, RunNumber runNumber) {
        boolean current = index >= 0
                && index < tasks.length
                && tasks[index].state == AssignmentState.ASSIGNED
                && tasks[index].runNumber.equals(runNumber);
        return current ? Optional.of(tasks[index].agent) : Optional.empty();
    }

    void recordSuccess(int index, RunResult result) {
        tasks[index].state = AssignmentState.DONE;
        tasks[index].runDuration = result.runDuration();
        tasks[index].surroundings = result.surroundings();
        hasRun = true;
        doneCount++;
    }

    /** Returns the number of assignments made for the tasks, repeated ones included. */
    int assignmentCount() {
        return assignmentCount;
    }

    /** Returns for each completed task where it ran and for how long. */
    List<WorkerSpeedEstimator.Sample> completedRuns() {
        List<WorkerSpeedEstimator.Sample> runs = new ArrayList<>();
        for (Task task : tasks) {
            if (task.state == AssignmentState.DONE) {
                runs.add(new WorkerSpeedEstimator.Sample(task.agent, task.runDuration, task.surroundings));
            }
        }
        return runs;
    }

    boolean isComplete() {
        return doneCount == tasks.length;
    }

    /** Records a failure; returns how many the task has had, this one included. */
    int recordFailure(int index) {
        hasRun = true;
        requeue(index);
        return ++tasks[index].failureCount;
    }

    void recordLost(int index) {
        hasRun = true;
        requeue(index);
    }

    void recordNotStarted(int index) {
        requeue(index);
    }

    /** Marks a task whose agent is disconnected; it may be assigned elsewhere from the given time on. */
    void markUnknown(int index, long reassignAtNanos) {
        hasRun = true;
        tasks[index].state = AssignmentState.UNKNOWN;
        tasks[index].reassignAtNanos = reassignAtNanos;
    }

    /** Requeues tasks of disconnected agents that can no longer run there; returns them with their agents, by index. */
    Map<Integer, MemberName> requeueUnknown(long nowNanos) {
        Map<Integer, MemberName> requeued = new TreeMap<>();
        for (int index = 0; index < tasks.length; index++) {
            Task task = tasks[index];
            if (task.state == AssignmentState.UNKNOWN && nowNanos - task.reassignAtNanos >= 0) {
                requeued.put(index, task.agent);
                requeue(index);
            }
        }
        return requeued;
    }

    /** Returns whether any part of the job may have run. */
    boolean mayHaveRun() {
        if (hasRun) {
            return true;
        }
        for (Task task : tasks) {
            if (task.state == AssignmentState.ASSIGNED || task.state == AssignmentState.UNKNOWN) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the runs that may not have ended, each with the monotonic time in nanoseconds from which it can no longer
     * be running, or empty while its agent is connected.
     */
    Map<UnendedRun, OptionalLong> unendedRuns() {
        Map<UnendedRun, OptionalLong> unended = new HashMap<>();
        tasksByAgent()
                .forEach((agent, indexes) -> indexes.forEach(index -> {
                    Task task = tasks[index];
                    unended.put(
                            new UnendedRun(BestEffortTaskId.of(job.id(), index), task.runNumber, agent),
                            task.state == AssignmentState.UNKNOWN
                                    ? OptionalLong.of(task.reassignAtNanos)
                                    : OptionalLong.empty());
                }));
        return unended;
    }

    /** Returns whether every assignment of a task has ended with its success, so that no result can come late. */
    boolean hasOnlySuccessfulRuns() {
        return assignmentCount == doneCount;
    }

    /** Returns a run number that is higher than those of all runs of the tasks. */
    RunNumber nextRunNumber() {
        return Arrays.stream(tasks)
                .map(task -> task.runNumber)
                .max(Comparator.naturalOrder())
                .orElse(RunNumber.FIRST)
                .next();
    }

    private void requeue(int index) {
        tasks[index].state = AssignmentState.WAITING;
        tasks[index].runNumber = tasks[index].runNumber.next();
        tasks[index].agent = null;
    }
}
