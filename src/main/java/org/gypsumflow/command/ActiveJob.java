package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RunNumber;

/** One job at its entry: where its tasks are and who waits for the answer. */
final class ActiveJob {
    /** What is known of one task. */
    enum AssignmentState {
        /** Needs a worker. */
        WAITING,
        /** Ordered at an agent. */
        ASSIGNED,
        /** Ordered at an agent that is out of touch; may still run. */
        UNKNOWN,
        /** Did its work. */
        DONE
    }

    private static final class Task {
        private AssignmentState standing = AssignmentState.WAITING;
        private RunNumber run = RunNumber.FIRST;
        private MemberName agent;
        private int failures;
        private Duration ran;
        private long unknownUntilNanos;
    }

    private final BestEffortJob job;
    private final long acceptedNanos;
    private final long deadlineNanos;
    private final Task[] tasks;
    private final List<Consumer<BestEffortOutcome>> askers = new ArrayList<>();
    private int done;
    private boolean begun;
    private int orders;

    ActiveJob(BestEffortJob job, long acceptedNanos, long deadlineNanos) {
        this.job = job;
        this.acceptedNanos = acceptedNanos;
        this.deadlineNanos = deadlineNanos;
        this.tasks = new Task[job.taskCount()];
        Arrays.setAll(tasks, index -> new Task());
    }

    BestEffortJob job() {
        return job;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    void addWaiter(Consumer<BestEffortOutcome> asker) {
        askers.add(asker);
    }

    /** Removes an asker and tells whether any is left. */
    boolean removeWaiter(Consumer<BestEffortOutcome> asker) {
        askers.remove(asker);
        return !askers.isEmpty();
    }

    void notifyWaiters(BestEffortOutcome answer) {
        askers.forEach(asker -> asker.accept(answer));
        askers.clear();
    }

    Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - acceptedNanos);
    }

    Duration remainingLatencyAllowance(long nowNanos) {
        return job.route().latencyAllowance().minus(age(nowNanos));
    }

    /** Time by which a task should have started to end in time on a worker that takes as long as estimated. */
    Duration slack(long nowNanos) {
        double spare = job.estimate().toNanos() * (job.route().latencyFactor() - 1);
        return remainingLatencyAllowance(nowNanos).plusNanos((long) spare);
    }

    /** Time until an answer is worth nothing or nobody waits for it. */
    Duration timeToHardDeadline(long nowNanos) {
        double objective = job.estimate().toNanos() * job.route().latencyFactor()
                + job.route().latencyAllowance().toNanos();
        long useless = (long) (objective * BestEffortTimings.HARD_DEADLINE_FACTOR) - (nowNanos - acceptedNanos);
        return Duration.ofNanos(Math.min(useless, deadlineNanos - nowNanos));
    }

    List<Integer> waitingTasks() {
        List<Integer> waiting = new ArrayList<>();
        for (int index = 0; index < tasks.length; index++) {
            if (tasks[index].standing == AssignmentState.WAITING) {
                waiting.add(index);
            }
        }
        return waiting;
    }

    /** Tasks that are ordered or may run, by agent. */
    Map<MemberName, List<Integer>> tasksByAgent() {
        Map<MemberName, List<Integer>> placed = new TreeMap<>();
        for (int index = 0; index < tasks.length; index++) {
            Task task = tasks[index];
            if (task.standing == AssignmentState.ASSIGNED || task.standing == AssignmentState.UNKNOWN) {
                placed.computeIfAbsent(task.agent, agent -> new ArrayList<>()).add(index);
            }
        }
        return placed;
    }

    /** Tasks that are ordered at an agent in touch. */
    List<Integer> tasksAssignedTo(MemberName agent) {
        List<Integer> ordered = new ArrayList<>();
        for (int index = 0; index < tasks.length; index++) {
            if (tasks[index].standing == AssignmentState.ASSIGNED && tasks[index].agent.equals(agent)) {
                ordered.add(index);
            }
        }
        return ordered;
    }

    RunNumber runNumber(int index) {
        return tasks[index].run;
    }

    void assign(int index, MemberName agent) {
        tasks[index].standing = AssignmentState.ASSIGNED;
        tasks[index].agent = agent;
        orders++;
    }

    /** Tells where a task is ordered under this run, if it is. */
    Optional<MemberName> agentOf(int index, RunNumber run) {
        boolean current = index >= 0
                && index < tasks.length
                && tasks[index].standing == AssignmentState.ASSIGNED
                && tasks[index].run.equals(run);
        return current ? Optional.of(tasks[index].agent) : Optional.empty();
    }

    void recordSuccess(int index, Duration ran) {
        tasks[index].standing = AssignmentState.DONE;
        tasks[index].ran = ran;
        begun = true;
        done++;
    }

    /** Counts the orders given for the tasks, repeated ones included. */
    int assignmentCount() {
        return orders;
    }

    /** Tells where the tasks that are done ran, and how long. */
    List<WorkerSpeedEstimator.Sample> completedRuns() {
        List<WorkerSpeedEstimator.Sample> runs = new ArrayList<>();
        for (Task task : tasks) {
            if (task.standing == AssignmentState.DONE) {
                runs.add(new WorkerSpeedEstimator.Sample(task.agent, task.ran));
            }
        }
        return runs;
    }

    boolean isComplete() {
        return done == tasks.length;
    }

    /** Counts a failure and tells how many the task has had. */
    int recordFailure(int index) {
        begun = true;
        again(index);
        return ++tasks[index].failures;
    }

    void recordLost(int index) {
        begun = true;
        again(index);
    }

    void recordNotStarted(int index) {
        again(index);
    }

    /** Marks a task whose agent is out of touch; it may go elsewhere only later. */
    void markUnknown(int index, long untilNanos) {
        begun = true;
        tasks[index].standing = AssignmentState.UNKNOWN;
        tasks[index].unknownUntilNanos = untilNanos;
    }

    /** Takes back the tasks that have surely ended where they were. */
    boolean requeueUnknown(long nowNanos) {
        boolean released = false;
        for (int index = 0; index < tasks.length; index++) {
            Task task = tasks[index];
            if (task.standing == AssignmentState.UNKNOWN && nowNanos - task.unknownUntilNanos >= 0) {
                again(index);
                released = true;
            }
        }
        return released;
    }

    /** Tells whether a part of the job may have run. */
    boolean mayHaveRun() {
        return begun || !tasksByAgent().isEmpty();
    }

    private void again(int index) {
        tasks[index].standing = AssignmentState.WAITING;
        tasks[index].run = tasks[index].run.next();
        tasks[index].agent = null;
    }
}
