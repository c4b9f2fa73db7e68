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
final class JobRun {
    /** What is known of one task. */
    enum Standing {
        /** Needs a worker. */
        WAITING,
        /** Ordered at an agent. */
        ORDERED,
        /** Ordered at an agent that is out of touch; may still run. */
        UNKNOWN,
        /** Did its work. */
        DONE
    }

    private static final class Task {
        private Standing standing = Standing.WAITING;
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

    JobRun(BestEffortJob job, long acceptedNanos, long deadlineNanos) {
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

    void ask(Consumer<BestEffortOutcome> asker) {
        askers.add(asker);
    }

    /** Removes an asker and tells whether any is left. */
    boolean leave(Consumer<BestEffortOutcome> asker) {
        askers.remove(asker);
        return !askers.isEmpty();
    }

    void answer(BestEffortOutcome answer) {
        askers.forEach(asker -> asker.accept(answer));
        askers.clear();
    }

    Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - acceptedNanos);
    }

    Duration allowanceLeft(long nowNanos) {
        return job.route().latencyAllowance().minus(age(nowNanos));
    }

    /** Time by which a task should have started to end in time on a worker that takes as long as estimated. */
    Duration slack(long nowNanos) {
        double spare = job.estimate().toNanos() * (job.route().latencyFactor() - 1);
        return allowanceLeft(nowNanos).plusNanos((long) spare);
    }

    /** Time until an answer is worth nothing or nobody waits for it. */
    Duration uselessIn(long nowNanos) {
        double objective = job.estimate().toNanos() * job.route().latencyFactor()
                + job.route().latencyAllowance().toNanos();
        long useless = (long) (objective * DispatchLimits.USELESS_AFTER) - (nowNanos - acceptedNanos);
        return Duration.ofNanos(Math.min(useless, deadlineNanos - nowNanos));
    }

    List<Integer> waiting() {
        List<Integer> waiting = new ArrayList<>();
        for (int index = 0; index < tasks.length; index++) {
            if (tasks[index].standing == Standing.WAITING) {
                waiting.add(index);
            }
        }
        return waiting;
    }

    /** Tasks that are ordered or may run, by agent. */
    Map<MemberName, List<Integer>> placed() {
        Map<MemberName, List<Integer>> placed = new TreeMap<>();
        for (int index = 0; index < tasks.length; index++) {
            Task task = tasks[index];
            if (task.standing == Standing.ORDERED || task.standing == Standing.UNKNOWN) {
                placed.computeIfAbsent(task.agent, agent -> new ArrayList<>()).add(index);
            }
        }
        return placed;
    }

    /** Tasks that are ordered at an agent in touch. */
    List<Integer> orderedAt(MemberName agent) {
        List<Integer> ordered = new ArrayList<>();
        for (int index = 0; index < tasks.length; index++) {
            if (tasks[index].standing == Standing.ORDERED && tasks[index].agent.equals(agent)) {
                ordered.add(index);
            }
        }
        return ordered;
    }

    RunNumber run(int index) {
        return tasks[index].run;
    }

    void order(int index, MemberName agent) {
        tasks[index].standing = Standing.ORDERED;
        tasks[index].agent = agent;
        orders++;
    }

    /** Tells where a task is ordered under this run, if it is. */
    Optional<MemberName> agentOf(int index, RunNumber run) {
        boolean current = index >= 0
                && index < tasks.length
                && tasks[index].standing == Standing.ORDERED
                && tasks[index].run.equals(run);
        return current ? Optional.of(tasks[index].agent) : Optional.empty();
    }

    void done(int index, Duration ran) {
        tasks[index].standing = Standing.DONE;
        tasks[index].ran = ran;
        begun = true;
        done++;
    }

    /** Counts the orders given for the tasks, repeated ones included. */
    int orders() {
        return orders;
    }

    /** Tells where the tasks that are done ran, and how long. */
    List<WorkerSpeeds.Sample> runs() {
        List<WorkerSpeeds.Sample> runs = new ArrayList<>();
        for (Task task : tasks) {
            if (task.standing == Standing.DONE) {
                runs.add(new WorkerSpeeds.Sample(task.agent, task.ran));
            }
        }
        return runs;
    }

    boolean isComplete() {
        return done == tasks.length;
    }

    /** Counts a failure and tells how many the task has had. */
    int failed(int index) {
        begun = true;
        again(index);
        return ++tasks[index].failures;
    }

    void lost(int index) {
        begun = true;
        again(index);
    }

    void notStarted(int index) {
        again(index);
    }

    /** Marks a task whose agent is out of touch; it may go elsewhere only later. */
    void unknown(int index, long untilNanos) {
        begun = true;
        tasks[index].standing = Standing.UNKNOWN;
        tasks[index].unknownUntilNanos = untilNanos;
    }

    /** Takes back the tasks that have surely ended where they were. */
    boolean releaseUnknown(long nowNanos) {
        boolean released = false;
        for (int index = 0; index < tasks.length; index++) {
            Task task = tasks[index];
            if (task.standing == Standing.UNKNOWN && nowNanos - task.unknownUntilNanos >= 0) {
                again(index);
                released = true;
            }
        }
        return released;
    }

    /** Tells whether a part of the job may have run. */
    boolean mayHaveRun() {
        return begun || !placed().isEmpty();
    }

    private void again(int index) {
        tasks[index].standing = Standing.WAITING;
        tasks[index].run = tasks[index].run.next();
        tasks[index].agent = null;
    }
}
