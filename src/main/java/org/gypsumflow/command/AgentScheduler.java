package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerReport;

/**
 * The orders at one agent: which wait, which run, and what room the worker has left.
 *
 * <p>The agent alone orders the worker about, so its book of the worker's room is exact.
 */
public final class AgentScheduler {
    /** State of one order. */
    private enum Stage {
        WAITING,
        STARTING,
        RUNNING,
        STOPPING
    }

    /** One order that has not ended. */
    private static final class Entry {
        private final MemberName owner;
        private final TaskAssignment order;
        private final long arrivedNanos;
        private Stage stage = Stage.WAITING;
        private RunNumber workerRun;
        private long confirmedNanos;
        private boolean confirmed;
        private long startedNanos;
        private int percent;
        private long progressNanos;

        private Entry(MemberName owner, TaskAssignment order, long arrivedNanos) {
            this.owner = owner;
            this.order = order;
            this.arrivedNanos = arrivedNanos;
            this.workerRun = order.runNumber();
        }

        private long latestStartNanos() {
            return arrivedNanos + order.maxQueueTime().toNanos();
        }

        private long urgencyNanos() {
            return arrivedNanos + order.slack().toNanos();
        }

        private Duration slack(long nowNanos) {
            return Duration.ofNanos(urgencyNanos() - nowNanos);
        }

        private Duration waited() {
            return stage == Stage.WAITING ? Duration.ZERO : Duration.ofNanos(startedNanos - arrivedNanos);
        }

        private boolean occupiesWorker() {
            return stage != Stage.WAITING;
        }
    }

    /**
     * What must be done at the worker.
     *
     * @param runsToStart runs to start
     * @param runsToStop runs to stop
     * @param finishedAssignments ends to report, with the entry that ordered each
     */
    public record Actions(
            List<TaskRun> runsToStart, List<TaskRun> runsToStop, List<FinishedAssignment> finishedAssignments) {
        /**
         * Tells whether there is nothing to do.
         *
         * @return true if there is nothing
         */
        public boolean isEmpty() {
            return runsToStart.isEmpty() && runsToStop.isEmpty() && finishedAssignments.isEmpty();
        }
    }

    /**
     * A run of a task at the worker.
     *
     * @param task the task
     * @param number number that the worker knows
     * @param specification what to run
     */
    public record TaskRun(BestEffortTaskId task, RunNumber number, String specification) {}

    /**
     * A run that stood still.
     *
     * @param run the run
     * @param elapsed how long it ran
     * @param estimate how long it was thought to run
     * @param percentDone how much of it was done, 0 to 100
     */
    public record StalledRun(TaskRun run, Duration elapsed, Duration estimate, int percentDone) {}

    /**
     * An end with the entry that must hear of it.
     *
     * @param owner the entry
     * @param result the end
     * @param estimate how long the task was thought to run
     * @param queueTime how long it waited here for room before it started, zero if it did not start
     */
    public record FinishedAssignment(MemberName owner, RunResult result, Duration estimate, Duration queueTime) {}

    private final Map<BestEffortTaskId, Entry> entries = new HashMap<>();
    private final RunStatistics statistics = RunStatistics.create();
    private WorkerReport worker;
    private Set<AvailabilityZone> closed = Set.of();
    private boolean leaving;
    private boolean reachable;
    private Actions actions = nothing();

    private AgentScheduler() {}

    /**
     * Creates a desk without a worker and without orders.
     *
     * @return the desk
     */
    public static AgentScheduler create() {
        return new AgentScheduler();
    }

    /**
     * Takes a worker's report; one that is older than the last of the same life is ignored.
     *
     * @param report the report
     * @param nowNanos monotonic clock
     * @return true if the worker is another life than before
     */
    public boolean workerReported(WorkerReport report, long nowNanos) {
        boolean sameLife = worker != null
                && worker.startedAtMillis() == report.startedAtMillis()
                && worker.worker().equals(report.worker());
        if (worker != null && report.startedAtMillis() < worker.startedAtMillis()) {
            return false;
        }
        if (sameLife && report.sequence() < worker.sequence()) {
            return false;
        }
        worker = report;
        reachable = true;
        if (!sameLife) {
            endAllAtWorker(nowNanos);
        }
        if (report.draining()) {
            returnWaiting(entry -> true, nowNanos);
        }
        return !sameLife;
    }

    /**
     * Takes note that the worker is gone; whatever ran there has ended with it.
     *
     * @param nowNanos monotonic clock
     */
    public void workerExited(long nowNanos) {
        reachable = false;
        endAllAtWorker(nowNanos);
        returnWaiting(entry -> true, nowNanos);
    }

    /**
     * Takes note that the worker's lease has ended unanswered: whatever ran there has ended.
     *
     * @param nowNanos monotonic clock
     */
    public void leaseExpired(long nowNanos) {
        endAllAtWorker(nowNanos);
    }

    /**
     * Tells whether a run is being stopped.
     *
     * @param task the task
     * @param run the run
     * @return true if the worker has not confirmed its end yet
     */
    public boolean isStopping(BestEffortTaskId task, RunNumber run) {
        Entry entry = at(task, run);
        return entry != null && entry.stage == Stage.STOPPING;
    }

    /**
     * Takes note that the worker leaves orders unanswered, so that it gets no more until it answers.
     *
     * @param answers true once it answers again
     * @param nowNanos monotonic clock
     */
    public void setWorkerResponsive(boolean answers, long nowNanos) {
        reachable = answers && worker != null;
        if (!reachable) {
            returnWaiting(entry -> true, nowNanos);
        }
    }

    /**
     * Sets the zones that get no tasks.
     *
     * @param zones the zones
     * @param nowNanos monotonic clock
     */
    public void setClosedZones(Set<AvailabilityZone> zones, long nowNanos) {
        this.closed = Set.copyOf(zones);
        if (!acceptsTasks()) {
            returnWaiting(entry -> true, nowNanos);
        }
    }

    /**
     * Takes no more orders, since this process is stopping.
     *
     * @param nowNanos monotonic clock
     */
    public void startDraining(long nowNanos) {
        leaving = true;
        returnWaiting(entry -> true, nowNanos);
    }

    /**
     * Takes an order.
     *
     * @param owner entry that gave it
     * @param order the order
     * @param nowNanos monotonic clock
     */
    public void assign(MemberName owner, TaskAssignment order, long nowNanos) {
        Entry known = entries.get(order.task());
        boolean possible = known == null && acceptsTasks() && worker.capacity().canFit(order.resources());
        Entry arrived = new Entry(owner, order, nowNanos);
        if (!possible || (!order.mayQueue() && !hasRoomNow(arrived, nowNanos))) {
            report(arrived, RunOutcome.NOT_STARTED, Duration.ZERO);
            return;
        }
        entries.put(order.task(), arrived);
        startWhatFits(nowNanos);
    }

    /**
     * Stops orders of a job, whether they wait or run.
     *
     * @param owner entry that gave them
     * @param job the job
     * @param indexes which tasks
     * @param nowNanos monotonic clock
     */
    public void stop(MemberName owner, JobId job, List<Integer> indexes, long nowNanos) {
        for (int index : indexes) {
            Entry entry = entries.get(BestEffortTaskId.of(job, index));
            if (entry != null && entry.owner.equals(owner)) {
                stop(entry);
            }
        }
        startWhatFits(nowNanos);
    }

    /**
     * Takes note that a worker has left; whatever ran there has ended with it.
     *
     * @param left id of the worker
     * @param nowNanos monotonic clock
     */
    public void workerDeregistered(String left, long nowNanos) {
        if (worker != null && worker.worker().equals(left)) {
            workerExited(nowNanos);
        }
    }

    /**
     * Stops all orders of an entry that is out of touch: it may order them elsewhere.
     *
     * @param owner the entry
     * @param nowNanos monotonic clock
     * @return number of orders
     */
    public int stopAllOf(MemberName owner, long nowNanos) {
        List<Entry> orders = entries.values().stream()
                .filter(entry -> entry.owner.equals(owner))
                .toList();
        orders.forEach(this::stop);
        startWhatFits(nowNanos);
        return orders.size();
    }

    /**
     * Gives back what waits, since this process did not run for a while and its entries may have ordered it elsewhere.
     *
     * @param nowNanos monotonic clock
     */
    public void processPaused(long nowNanos) {
        returnWaiting(entry -> true, nowNanos);
    }

    /**
     * Takes note that the worker runs a task.
     *
     * @param task the task
     * @param run the run
     * @param nowNanos monotonic clock
     */
    public void runStarted(BestEffortTaskId task, RunNumber run, long nowNanos) {
        Entry entry = at(task, run);
        if (entry != null && entry.stage == Stage.STARTING) {
            entry.stage = Stage.RUNNING;
            entry.progressNanos = nowNanos;
            entry.confirmed = true;
            entry.confirmedNanos = nowNanos;
        }
    }

    /**
     * Takes note that the worker has heard that a run must stop.
     *
     * @param task the task
     * @param run the run
     * @param nowNanos monotonic clock
     */
    public void stopAcknowledged(BestEffortTaskId task, RunNumber run, long nowNanos) {
        Entry entry = at(task, run);
        if (entry != null && entry.stage == Stage.STOPPING) {
            entry.confirmed = true;
            entry.confirmedNanos = nowNanos;
        }
    }

    /**
     * Takes note that a start had no answer: the run is stopped, so that it cannot begin later.
     *
     * @param task the task
     * @param run the run
     */
    public void startUnconfirmed(BestEffortTaskId task, RunNumber run) {
        Entry entry = at(task, run);
        if (entry != null && entry.stage == Stage.STARTING) {
            stop(entry);
        }
    }

    /**
     * Ends the runs that a worker's account lacks although the worker had confirmed them before.
     *
     * @param listed tasks that the account lists as running or ended
     * @param askedNanos when the account was asked for, on the monotonic clock
     * @param nowNanos monotonic clock
     */
    public void reconcile(Set<BestEffortTaskId> listed, long askedNanos, long nowNanos) {
        for (Entry entry : List.copyOf(entries.values())) {
            boolean known = entry.occupiesWorker() && entry.confirmed && entry.confirmedNanos - askedNanos < 0;
            if (known && !listed.contains(entry.order.task())) {
                end(entry, RunOutcome.LOST, nowNanos);
            }
        }
    }

    /**
     * Takes note that the worker refused a start and will never run it.
     *
     * @param task the task
     * @param run the run
     * @param retryHigher true if only the run's number was too low
     * @param workerFault true if the worker is not well
     * @param nowNanos monotonic clock
     */
    public void startRejected(
            BestEffortTaskId task, RunNumber run, boolean retryHigher, boolean workerFault, long nowNanos) {
        Entry entry = at(task, run);
        if (entry == null) {
            return;
        }
        if (workerFault) {
            statistics.recordFailure(nowNanos);
        }
        if (retryHigher && entry.stage == Stage.STARTING) {
            entry.workerRun = run.next();
            actions.runsToStart().add(new TaskRun(task, entry.workerRun, entry.order.specification()));
            return;
        }
        end(entry, RunOutcome.NOT_STARTED, nowNanos);
    }

    /**
     * Takes note that a run ended.
     *
     * @param task the task
     * @param run the run
     * @param ending how it ended
     * @param nowNanos monotonic clock
     */
    public void runFinished(BestEffortTaskId task, RunNumber run, RunOutcome ending, long nowNanos) {
        Entry entry = at(task, run);
        if (entry == null) {
            return;
        }
        Duration ran = Duration.ofNanos(nowNanos - entry.startedNanos);
        switch (ending) {
            case DONE -> statistics.recordSuccess(ran, entry.order.estimate(), nowNanos);
            case FAILED -> statistics.recordFailure(nowNanos);
            case LOST, NOT_STARTED -> {}
        }
        end(entry, ending, nowNanos);
    }

    /**
     * Takes note of how far a run is.
     *
     * @param task the task
     * @param run the run
     * @param percent how much is done, 0 to 100
     * @param nowNanos monotonic clock
     * @return false if no such run was ordered here, so that it must be stopped
     */
    public boolean runProgressed(BestEffortTaskId task, RunNumber run, int percent, long nowNanos) {
        Entry entry = at(task, run);
        if (entry == null) {
            return false;
        }
        if (percent > entry.percent) {
            entry.percent = percent;
            entry.progressNanos = nowNanos;
        }
        return true;
    }

    /**
     * Does what time demands: gives back what waited too long and stops what stands still.
     *
     * @param nowNanos monotonic clock
     * @return runs that stood still
     */
    public List<StalledRun> tick(long nowNanos) {
        returnWaiting(entry -> nowNanos - entry.latestStartNanos() > 0, nowNanos);
        List<StalledRun> stuck = new ArrayList<>();
        for (Entry entry : List.copyOf(entries.values())) {
            if (entry.stage == Stage.RUNNING && isStuck(entry, nowNanos)) {
                statistics.recordFailure(nowNanos);
                TaskRun run = new TaskRun(entry.order.task(), entry.workerRun, "");
                Duration ran = Duration.ofNanos(nowNanos - entry.startedNanos);
                stuck.add(new StalledRun(run, ran, entry.order.estimate(), entry.percent));
                stop(entry);
            }
        }
        startWhatFits(nowNanos);
        return stuck;
    }

    /**
     * Returns what there is to do and forgets it.
     *
     * @return the actions
     */
    public Actions drainActions() {
        Actions drained = actions;
        actions = nothing();
        return drained;
    }

    /**
     * Counts what the worker is busy with.
     *
     * @return number of runs that are starting, running or stopping
     */
    public int activeRunCount() {
        return (int) entries.values().stream().filter(Entry::occupiesWorker).count();
    }

    /**
     * Counts the orders that have not ended.
     *
     * @return number of orders
     */
    public int assignmentCount() {
        return entries.size();
    }

    /**
     * Tells whether the worker gets tasks.
     *
     * @return true if it does
     */
    public boolean acceptsTasks() {
        return worker != null && reachable && !leaving && !worker.draining() && !closed.contains(worker.zone());
    }

    /**
     * Describes the worker's room to an entry.
     *
     * @param owner the entry
     * @param nowNanos monotonic clock
     * @return the room
     */
    public WorkerStatus workerStatusFor(MemberName owner, long nowNanos) {
        Resources capacity = worker == null ? Resources.NONE : worker.capacity();
        return new WorkerStatus(
                acceptsTasks(),
                worker == null ? "" : worker.service().value(),
                worker == null ? "" : worker.zone().value(),
                capacity,
                capacity.minus(needs(entry -> true)),
                capacity.minus(needs(entry -> entry.occupiesWorker() || UrgentReserve.isUrgent(entry.slack(nowNanos)))),
                needs(entry -> entry.owner.equals(owner)),
                statistics.meanRunDuration(),
                statistics.slowdown(),
                slownessOfOverdue(nowNanos),
                statistics.failureRate(nowNanos),
                activeRunCount());
    }

    /** Tells whether an order would start at once: waiting ones that are more urgent go first, others are overtaken. */
    private boolean hasRoomNow(Entry arrived, long nowNanos) {
        Resources ahead = needs(entry -> entry.occupiesWorker() || entry.urgencyNanos() <= arrived.urgencyNanos());
        Resources room = worker.capacity().minus(ahead);
        return UrgentReserve.usableCapacity(room, worker.capacity(), arrived.slack(nowNanos))
                .canFit(arrived.order.resources());
    }

    private void startWhatFits(long nowNanos) {
        if (!acceptsTasks()) {
            return;
        }
        Resources free = worker.capacity().minus(needs(Entry::occupiesWorker));
        List<Entry> waiting = entries.values().stream()
                .filter(entry -> entry.stage == Stage.WAITING)
                .sorted(Comparator.comparingLong(Entry::urgencyNanos))
                .toList();
        for (Entry entry : waiting) {
            if (!UrgentReserve.usableCapacity(free, worker.capacity(), entry.slack(nowNanos))
                    .canFit(entry.order.resources())) {
                return;
            }
            free = free.minus(entry.order.resources());
            entry.stage = Stage.STARTING;
            entry.startedNanos = nowNanos;
            actions.runsToStart().add(new TaskRun(entry.order.task(), entry.workerRun, entry.order.specification()));
        }
    }

    private void stop(Entry entry) {
        if (entry.stage == Stage.WAITING) {
            entries.remove(entry.order.task());
            report(entry, RunOutcome.NOT_STARTED, Duration.ZERO);
        } else if (entry.stage != Stage.STOPPING) {
            entry.stage = Stage.STOPPING;
            entry.confirmed = false;
            actions.runsToStop().add(new TaskRun(entry.order.task(), entry.workerRun, ""));
        }
    }

    private void end(Entry entry, RunOutcome ending, long nowNanos) {
        entries.remove(entry.order.task());
        Duration ran = Duration.ofNanos(nowNanos - entry.startedNanos);
        report(entry, ending, ran);
        startWhatFits(nowNanos);
    }

    private void endAllAtWorker(long nowNanos) {
        for (Entry entry : List.copyOf(entries.values())) {
            if (entry.occupiesWorker()) {
                entries.remove(entry.order.task());
                Duration ran = Duration.ofNanos(nowNanos - entry.startedNanos);
                report(entry, RunOutcome.LOST, ran);
            }
        }
    }

    private void returnWaiting(Predicate<Entry> which, long nowNanos) {
        for (Entry entry : List.copyOf(entries.values())) {
            if (entry.stage == Stage.WAITING && which.test(entry)) {
                stop(entry);
            }
        }
        startWhatFits(nowNanos);
    }

    private void report(Entry entry, RunOutcome ending, Duration ran) {
        TaskAssignment order = entry.order;
        RunResult ended = new RunResult(order.task(), order.runNumber(), ending, ran);
        actions.finishedAssignments().add(new FinishedAssignment(entry.owner, ended, order.estimate(), entry.waited()));
    }

    private Entry at(BestEffortTaskId task, RunNumber run) {
        Entry entry = entries.get(task);
        boolean current = entry != null && entry.occupiesWorker() && entry.workerRun.equals(run);
        return current ? entry : null;
    }

    private Resources needs(Predicate<Entry> which) {
        return entries.values().stream()
                .filter(which)
                .map(entry -> entry.order.resources())
                .reduce(Resources.NONE, Resources::plus);
    }

    private boolean isStuck(Entry entry, long nowNanos) {
        long expected = (long) (entry.order.estimate().toMillis() * statistics.slowdown());
        long ranMillis = Duration.ofNanos(nowNanos - entry.startedNanos).toMillis();
        long stillMillis = Duration.ofNanos(nowNanos - entry.progressNanos).toMillis();
        boolean overdue = ranMillis > (long) (expected * RunStatistics.OVERDUE_FACTOR);
        return overdue && stillMillis > Math.max(expected, RunStatistics.MIN_STALL_TIME.toMillis());
    }

    private double slownessOfOverdue(long nowNanos) {
        List<Entry> running = entries.values().stream()
                .filter(entry -> entry.stage == Stage.RUNNING)
                .toList();
        double[] overdue = running.stream()
                .mapToDouble(entry -> (double) (nowNanos - entry.startedNanos)
                        / (double) Math.max(1, entry.order.estimate().toNanos()))
                .filter(ratio -> ratio > statistics.slowdown() * RunStatistics.OVERDUE_FACTOR)
                .toArray();
        if (overdue.length < 2 || overdue.length * RunStatistics.OVERDUE_FRACTION_DENOMINATOR < running.size()) {
            return 0;
        }
        return Arrays.stream(overdue).average().orElse(0);
    }

    private static Actions nothing() {
        return new Actions(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }
}
