package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.gypsumflow.command.interference.NeighbourTracker;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerReport;

/**
 * Schedules the tasks that entries assign to one agent: queues them, starts them when its worker has capacity, and
 * tracks them until they finish.
 *
 * <p>Only this agent starts and stops tasks at its worker, so its record of the worker's free capacity is exact. The
 * methods record what happened; what has to be done about it is collected until {@link #drainActions}.
 */
public final class AgentScheduler {
    /** How far an assignment has got. */
    private enum Status {
        WAITING,
        STARTING,
        RUNNING,
        STOPPING
    }

    /** An assignment that has not finished. */
    private static final class TrackedAssignment {
        private final MemberName owner;
        private final TaskAssignment assignment;
        private final long arrivedNanos;
        private Status status = Status.WAITING;
        private RunNumber runNumber;
        private long confirmedNanos;
        private boolean confirmed;
        private long startedNanos;
        private int percentDone;
        private long lastProgressNanos;
        private boolean ownerLost;
        private long ownerLostNanos;

        private TrackedAssignment(MemberName owner, TaskAssignment assignment, long arrivedNanos) {
            this.owner = owner;
            this.assignment = assignment;
            this.arrivedNanos = arrivedNanos;
            this.runNumber = assignment.runNumber();
        }

        private long queueDeadlineNanos() {
            return arrivedNanos + assignment.maxQueueTime().toNanos();
        }

        private long slackEndNanos() {
            return arrivedNanos + assignment.slack().toNanos();
        }

        private Duration slack(long nowNanos) {
            return Duration.ofNanos(slackEndNanos() - nowNanos);
        }

        private Duration queueTime() {
            return status == Status.WAITING ? Duration.ZERO : Duration.ofNanos(startedNanos - arrivedNanos);
        }

        private boolean occupiesWorker() {
            return status != Status.WAITING;
        }
    }

    /**
     * Calls to make to the worker and results to report to entries.
     *
     * @param runsToStart runs that the worker should start
     * @param runsToStop runs that the worker should stop
     * @param finishedAssignments results to report, each to the entry that assigned the task
     */
    public record Actions(
            List<TaskRun> runsToStart, List<TaskRun> runsToStop, List<FinishedAssignment> finishedAssignments) {
        /**
         * Returns whether there is nothing to do.
         *
         * @return true if all lists are empty
         */
        public boolean isEmpty() {
            return runsToStart.isEmpty() && runsToStop.isEmpty() && finishedAssignments.isEmpty();
        }
    }

    /**
     * A run of a task at the worker.
     *
     * @param task id of the task
     * @param number run number under which the worker knows the run; may be higher than the assignment's
     * @param specification what to run; empty in a run that is to be stopped
     */
    public record TaskRun(BestEffortTaskId task, RunNumber number, String specification) {}

    /**
     * A run that is being stopped because it was overdue and made no progress.
     *
     * @param run the run, without its specification
     * @param elapsed time since its start
     * @param estimate estimated run duration
     * @param percentDone last progress reported, 0 to 100
     */
    public record StalledRun(TaskRun run, Duration elapsed, Duration estimate, int percentDone) {}

    /**
     * A finished assignment with its result.
     *
     * @param owner entry that assigned the task and receives the result
     * @param result how the run ended
     * @param estimate estimated run duration
     * @param queueTime time in this agent's queue before the start, zero if the task did not start
     */
    public record FinishedAssignment(MemberName owner, RunResult result, Duration estimate, Duration queueTime) {}

    private final Map<BestEffortTaskId, TrackedAssignment> assignments = new HashMap<>();
    private final RunStatistics statistics = RunStatistics.create();
    private final Optional<NeighbourTracker> neighbours;
    private WorkerReport worker;
    private Set<AvailabilityZone> closedZones = Set.of();
    private boolean draining;
    private boolean reachable;
    private boolean startsAllowed = true;
    private Actions actions = noActions();

    private AgentScheduler(Optional<NeighbourTracker> neighbours) {
        this.neighbours = neighbours;
    }

    /**
     * Creates a scheduler that knows no worker and has no assignments.
     *
     * @return the scheduler
     */
    public static AgentScheduler create() {
        return new AgentScheduler(Optional.empty());
    }

    /**
     * Creates a scheduler that also tells which kinds of tasks ran beside each other.
     *
     * @param neighbours tracker of a worker without runs
     * @return the scheduler
     */
    public static AgentScheduler create(NeighbourTracker neighbours) {
        return new AgentScheduler(Optional.of(neighbours));
    }

    /**
     * Records a report of the worker; runs of an earlier incarnation are lost.
     *
     * <p>A new incarnation may have accepted a start before its first report arrived. The runs are therefore stopped
     * there, and lost once it does not list them.
     *
     * <p>A report of an earlier incarnation, or older than the last one of the same incarnation, is ignored. A draining
     * worker keeps its runs, while waiting tasks go back to their entries.
     *
     * @param report what the worker reported about itself
     * @param nowNanos current monotonic time
     * @return true if the report is of a new incarnation of the worker
     */
    public boolean workerReported(WorkerReport report, long nowNanos) {
        boolean sameIncarnation = worker != null
                && worker.startedAtMillis() == report.startedAtMillis()
                && worker.worker().equals(report.worker());
        if (worker != null && report.startedAtMillis() < worker.startedAtMillis()) {
            return false;
        }
        if (sameIncarnation && report.sequence() < worker.sequence()) {
            return false;
        }
        worker = report;
        reachable = true;
        if (!sameIncarnation) {
            stopAllRuns();
        }
        if (report.draining()) {
            returnWaiting(tracked -> true, nowNanos);
        }
        return !sameIncarnation;
    }

    /**
     * Records that no worker process listens any more: the runs that it confirmed before are lost, and waiting tasks go
     * back. Others may be starting at a new incarnation.
     *
     * @param observedNanos monotonic time from which on no process listened, at the latest
     * @param nowNanos current monotonic time
     * @return number of runs that are lost
     */
    public int workerExited(long observedNanos, long nowNanos) {
        reachable = false;
        int lostRuns =
                markRunsLost(tracked -> tracked.confirmed && tracked.confirmedNanos - observedNanos < 0, nowNanos);
        returnWaiting(tracked -> true, nowNanos);
        return lostRuns;
    }

    /**
     * Records that the worker's lease expired without a confirmed renewal: the worker has stopped its runs, which are
     * lost.
     *
     * @param nowNanos current monotonic time
     * @return number of runs that are lost
     */
    public int leaseExpired(long nowNanos) {
        return markRunsLost(tracked -> true, nowNanos);
    }

    /**
     * Returns whether a run is being stopped.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     * @return true if it was told to stop and its end has not been reported
     */
    public boolean isStopping(BestEffortTaskId task, RunNumber runNumber) {
        TrackedAssignment tracked = findRun(task, runNumber);
        return tracked != null && tracked.status == Status.STOPPING;
    }

    /**
     * Returns the entry that assigned a task whose run is being started.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     * @return the entry, or empty if the run was stopped or has ended since the decision to start it
     */
    public Optional<MemberName> ownerOfStartingRun(BestEffortTaskId task, RunNumber runNumber) {
        return Optional.ofNullable(findRun(task, runNumber))
                .filter(tracked -> tracked.status == Status.STARTING)
                .map(tracked -> tracked.owner);
    }

    /**
     * Sets whether the worker responds to calls; an unresponsive worker gets no tasks, and its waiting ones go back.
     *
     * @param responsive true once the worker responds again; false after a call without response
     * @param nowNanos current monotonic time
     */
    public void setWorkerResponsive(boolean responsive, long nowNanos) {
        reachable = responsive && worker != null;
        if (!reachable) {
            returnWaiting(tracked -> true, nowNanos);
        }
    }

    /**
     * Sets whether runs may start now; while they may not, the waiting tasks stay and no others are accepted.
     *
     * @param allowed false while the lease of the worker must not be extended
     * @param nowNanos current monotonic time
     */
    public void setStartsAllowed(boolean allowed, long nowNanos) {
        if (startsAllowed == allowed) {
            return;
        }
        startsAllowed = allowed;
        startWaitingThatFit(nowNanos);
    }

    /**
     * Sets the closed zones; if the worker's zone is one, its waiting tasks go back to their entries.
     *
     * @param zones all zones that get no new tasks, empty if none is closed
     * @param nowNanos current monotonic time
     */
    public void setClosedZones(Set<AvailabilityZone> zones, long nowNanos) {
        this.closedZones = Set.copyOf(zones);
        if (!acceptsTasks()) {
            returnWaiting(tracked -> true, nowNanos);
        }
    }

    /**
     * Accepts no more assignments, since this process is shutting down; waiting tasks go back, running ones finish.
     *
     * @param nowNanos current monotonic time
     */
    public void startDraining(long nowNanos) {
        draining = true;
        returnWaiting(tracked -> true, nowNanos);
    }

    /**
     * Queues a task and starts it as soon as the worker has capacity.
     *
     * <p>The result is {@code NOT_STARTED} immediately if the task is already assigned here, if the worker accepts no
     * tasks or is too small, or if the assignment may not queue and cannot start now.
     *
     * @param owner entry that assigns the task
     * @param assignment the task with its limits
     * @param nowNanos current monotonic time
     */
    public void assign(MemberName owner, TaskAssignment assignment, long nowNanos) {
        TrackedAssignment known = assignments.get(assignment.task());
        boolean acceptable =
                known == null && acceptsTasks() && worker.capacity().canFit(assignment.resources());
        TrackedAssignment arrived = new TrackedAssignment(owner, assignment, nowNanos);
        if (!acceptable || (!assignment.mayQueue() && !canStartNow(arrived, nowNanos))) {
            addResult(arrived, RunOutcome.NOT_STARTED, Duration.ZERO);
            return;
        }
        assignments.put(assignment.task(), arrived);
        startWaitingThatFit(nowNanos);
    }

    /**
     * Stops tasks of a job, whether they wait or run; tasks that another entry assigned are left alone.
     *
     * @param owner entry that assigned them
     * @param job id of the job
     * @param indexes indexes of the tasks within the job
     * @param nowNanos current monotonic time
     */
    public void stop(MemberName owner, JobId job, List<Integer> indexes, long nowNanos) {
        for (int index : indexes) {
            TrackedAssignment tracked = assignments.get(BestEffortTaskId.of(job, index));
            if (tracked != null && tracked.owner.equals(owner)) {
                stop(tracked);
            }
        }
        startWaitingThatFit(nowNanos);
    }

    /**
     * Records that a worker deregistered; if it may be the present incarnation of this agent's worker, that one gets no
     * tasks until it reports again, and waiting tasks go back.
     *
     * <p>A worker deregisters before it ends, so that its runs are stopped; they have ended when it does not list them or
     * refuses connections. A deregistration without a start time may be one of an earlier incarnation that arrives late,
     * and leaves the runs alone.
     *
     * @param workerId id of the worker
     * @param startedAtMillis when that incarnation started, in milliseconds since the epoch, or
     *     {@link WorkerReport#START_NOT_REPORTED}
     * @param nowNanos current monotonic time
     */
    public void workerDeregistered(String workerId, long startedAtMillis, long nowNanos) {
        boolean present = worker != null && worker.startedAtMillis() == startedAtMillis;
        if (worker == null
                || !worker.worker().equals(workerId)
                || !(present || startedAtMillis == WorkerReport.START_NOT_REPORTED)) {
            return;
        }
        reachable = false;
        returnWaiting(tracked -> true, nowNanos);
        if (present) {
            stopAllRuns();
        }
    }

    /**
     * Stops all tasks of an entry that is disconnected: it may assign them elsewhere.
     *
     * @param owner entry that assigned the tasks
     * @param lostNanos monotonic time at which its loss was due to be noticed, not after the current time; the lease of
     *     a run that does not stop is counted from it
     * @param nowNanos current monotonic time
     * @return number of its assignments, waiting ones included
     */
    public int stopAllOf(MemberName owner, long lostNanos, long nowNanos) {
        List<TrackedAssignment> owned = assignments.values().stream()
                .filter(tracked -> tracked.owner.equals(owner))
                .toList();
        owned.forEach(tracked -> {
            if (!tracked.ownerLost) {
                tracked.ownerLost = true;
                tracked.ownerLostNanos = lostNanos;
            }
            stop(tracked);
        });
        startWaitingThatFit(nowNanos);
        return owned.size();
    }

    /**
     * Returns whether a run goes on too long after its entry was lost; that entry may start the task elsewhere once the
     * lease of the run has expired.
     *
     * @param nowNanos current monotonic time
     * @return true if a stop has not taken effect within {@link BestEffortTimings#STOP_CONFIRMATION_TIMEOUT}
     */
    public boolean isStopOverdue(long nowNanos) {
        return assignments.values().stream()
                .anyMatch(tracked -> tracked.ownerLost
                        && nowNanos - tracked.ownerLostNanos > BestEffortTimings.STOP_CONFIRMATION_TIMEOUT.toNanos());
    }

    /**
     * Returns the waiting tasks, since this process was paused and the entries may have assigned them elsewhere.
     *
     * @param nowNanos current monotonic time
     */
    public void processPaused(long nowNanos) {
        returnWaiting(tracked -> true, nowNanos);
    }

    /**
     * Records that the worker confirmed the start of a run.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     * @param nowNanos current monotonic time
     */
    public void runStarted(BestEffortTaskId task, RunNumber runNumber, long nowNanos) {
        TrackedAssignment tracked = findRun(task, runNumber);
        if (tracked != null && tracked.status == Status.STARTING) {
            tracked.status = Status.RUNNING;
            tracked.lastProgressNanos = nowNanos;
            tracked.confirmed = true;
            tracked.confirmedNanos = nowNanos;
        }
    }

    /**
     * Records that the worker acknowledged the request to stop a run; the run finishes later.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     * @param nowNanos current monotonic time
     */
    public void stopAcknowledged(BestEffortTaskId task, RunNumber runNumber, long nowNanos) {
        TrackedAssignment tracked = findRun(task, runNumber);
        if (tracked != null && tracked.status == Status.STOPPING) {
            tracked.confirmed = true;
            tracked.confirmedNanos = nowNanos;
        }
    }

    /**
     * Records that a start got no response: the run is stopped, so that it cannot start later.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     */
    public void startUnconfirmed(BestEffortTaskId task, RunNumber runNumber) {
        TrackedAssignment tracked = findRun(task, runNumber);
        if (tracked != null && tracked.status == Status.STARTING) {
            stop(tracked);
        }
    }

    /**
     * Marks runs as lost that are missing from the worker's task listing although the worker confirmed them earlier.
     *
     * <p>Runs confirmed after the listing was requested are left alone, since it may be older than they are.
     *
     * @param listedTasks tasks that the listing contains, running or finished
     * @param requestedNanos monotonic time at which the listing was requested
     * @param nowNanos current monotonic time
     * @return number of runs that are lost
     */
    public int reconcile(Set<BestEffortTaskId> listedTasks, long requestedNanos, long nowNanos) {
        int lostRuns = 0;
        for (TrackedAssignment tracked : List.copyOf(assignments.values())) {
            boolean expected =
                    tracked.occupiesWorker() && tracked.confirmed && tracked.confirmedNanos - requestedNanos < 0;
            if (expected && !listedTasks.contains(tracked.assignment.task())) {
                finish(tracked, RunOutcome.LOST, nowNanos);
                lostRuns++;
            }
        }
        return lostRuns;
    }

    /**
     * Records that the worker rejected a start and will never run it under this number.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     * @param runNumberTooLow true if the run number was too low, the only reason; unless it is being stopped, the run
     *     starts again under the next number
     * @param workerFault true if the worker is at fault, which counts as a failure in its failure rate
     * @param nowNanos current monotonic time
     */
    public void startRejected(
            BestEffortTaskId task, RunNumber runNumber, boolean runNumberTooLow, boolean workerFault, long nowNanos) {
        TrackedAssignment tracked = findRun(task, runNumber);
        if (tracked == null) {
            return;
        }
        if (workerFault) {
            statistics.recordFailure(nowNanos);
        }
        if (runNumberTooLow && tracked.status == Status.STARTING) {
            tracked.runNumber = runNumber.next();
            actions.runsToStart().add(new TaskRun(task, tracked.runNumber, tracked.assignment.specification()));
            return;
        }
        finish(tracked, RunOutcome.NOT_STARTED, nowNanos);
    }

    /**
     * Records the outcome of a run and passes it on to the entry that assigned the task.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     * @param outcome how it ended
     * @param nowNanos current monotonic time
     */
    public void runFinished(BestEffortTaskId task, RunNumber runNumber, RunOutcome outcome, long nowNanos) {
        TrackedAssignment tracked = findRun(task, runNumber);
        if (tracked == null) {
            return;
        }
        Duration runDuration = Duration.ofNanos(nowNanos - tracked.startedNanos);
        switch (outcome) {
            case DONE -> statistics.recordSuccess(runDuration, tracked.assignment.estimate(), nowNanos);
            case FAILED -> statistics.recordFailure(nowNanos);
            case LOST, NOT_STARTED -> {}
        }
        finish(tracked, outcome, nowNanos);
    }

    /**
     * Records the progress of a run.
     *
     * @param task id of the task
     * @param runNumber run number under which the worker knows the run
     * @param percentDone how much is done, 0 to 100; a value that is not higher than the last one is no progress
     * @param nowNanos current monotonic time
     * @return false if this agent has no such run, so that the worker must stop it
     */
    public boolean runProgressed(BestEffortTaskId task, RunNumber runNumber, int percentDone, long nowNanos) {
        TrackedAssignment tracked = findRun(task, runNumber);
        if (tracked == null) {
            return false;
        }
        if (percentDone > tracked.percentDone) {
            tracked.percentDone = percentDone;
            tracked.lastProgressNanos = nowNanos;
        }
        return true;
    }

    /**
     * Applies the time limits: returns tasks that exceeded their maximum queue time and stops stalled runs.
     *
     * @param nowNanos current monotonic time
     * @return runs that were found stalled by this call
     */
    public List<StalledRun> tick(long nowNanos) {
        returnWaiting(tracked -> nowNanos - tracked.queueDeadlineNanos() > 0, nowNanos);
        List<StalledRun> stalled = new ArrayList<>();
        for (TrackedAssignment tracked : List.copyOf(assignments.values())) {
            if (tracked.status == Status.RUNNING && isStalled(tracked, nowNanos)) {
                statistics.recordFailure(nowNanos);
                TaskRun run = new TaskRun(tracked.assignment.task(), tracked.runNumber, "");
                Duration runDuration = Duration.ofNanos(nowNanos - tracked.startedNanos);
                stalled.add(new StalledRun(run, runDuration, tracked.assignment.estimate(), tracked.percentDone));
                stop(tracked);
            }
        }
        startWaitingThatFit(nowNanos);
        return stalled;
    }

    /**
     * Returns the actions collected since the last call.
     *
     * @return the actions, each returned once; empty if there are none
     */
    public Actions drainActions() {
        Actions pending = actions;
        actions = noActions();
        return pending;
    }

    /**
     * Returns the number of runs that take up capacity of the worker.
     *
     * @return number of runs that are starting, running or stopping
     */
    public int activeRunCount() {
        return (int) assignments.values().stream()
                .filter(TrackedAssignment::occupiesWorker)
                .count();
    }

    /**
     * Returns the number of assignments that have not finished.
     *
     * @return number of assignments, waiting ones included
     */
    public int assignmentCount() {
        return assignments.size();
    }

    /**
     * Returns whether the worker gets new tasks.
     *
     * @return true if the worker responds and may start runs, neither it nor this process is draining, and its zone is
     *     not closed
     */
    public boolean acceptsTasks() {
        return worker != null
                && reachable
                && startsAllowed
                && !draining
                && !worker.draining()
                && !closedZones.contains(worker.zone());
    }

    /**
     * Returns the worker's status as reported to an entry.
     *
     * @param owner entry that receives the status, which states the resources of its own assignments
     * @param nowNanos current monotonic time
     * @return the status; without a worker its capacity is zero and its names are empty
     */
    public WorkerStatus workerStatusFor(MemberName owner, long nowNanos) {
        Resources capacity = worker == null ? Resources.NONE : worker.capacity();
        return new WorkerStatus(
                acceptsTasks(),
                worker == null ? "" : worker.service().value(),
                worker == null ? "" : worker.zone().value(),
                capacity,
                capacity.minus(totalResources(tracked -> true)),
                capacity.minus(totalResources(
                        tracked -> tracked.occupiesWorker() || UrgentReserve.isUrgent(tracked.slack(nowNanos)))),
                totalResources(tracked -> tracked.owner.equals(owner)),
                statistics.meanRunDuration(),
                statistics.slowdown(),
                overdueSlowdown(nowNanos),
                statistics.failureRate(nowNanos),
                activeRunCount());
    }

    /**
     * Returns what the runs of each route take of the worker at present, for a report to an entry.
     *
     * @param entry receiver of the report
     * @param nowNanos current monotonic time
     * @return thousandths of a core by route; empty if the entry was told a moment ago, and always if the scheduler does
     *     not track neighbours
     */
    public Map<RouteName, Integer> runningMillicoresFor(MemberName entry, long nowNanos) {
        return neighbours
                .map(tracker -> tracker.runningMillicoresFor(entry, nowNanos))
                .orElseGet(Map::of);
    }

    /** Returns whether a task would start immediately: waiting ones with less slack go first, others are overtaken. */
    private boolean canStartNow(TrackedAssignment arrived, long nowNanos) {
        Resources ahead = totalResources(
                tracked -> tracked.occupiesWorker() || tracked.slackEndNanos() <= arrived.slackEndNanos());
        Resources available = worker.capacity().minus(ahead);
        return UrgentReserve.usableCapacity(available, worker.capacity(), arrived.slack(nowNanos))
                .canFit(arrived.assignment.resources());
    }

    private void startWaitingThatFit(long nowNanos) {
        if (!acceptsTasks()) {
            return;
        }
        Resources free = worker.capacity().minus(totalResources(TrackedAssignment::occupiesWorker));
        List<TrackedAssignment> waiting = assignments.values().stream()
                .filter(tracked -> tracked.status == Status.WAITING)
                .sorted(Comparator.comparingLong(TrackedAssignment::slackEndNanos))
                .toList();
        for (TrackedAssignment tracked : waiting) {
            if (!UrgentReserve.usableCapacity(free, worker.capacity(), tracked.slack(nowNanos))
                    .canFit(tracked.assignment.resources())) {
                return;
            }
            free = free.minus(tracked.assignment.resources());
            tracked.status = Status.STARTING;
            tracked.startedNanos = nowNanos;
            neighbours.ifPresent(tracker -> tracker.runStarted(
                    tracked.assignment.task(),
                    tracked.assignment.route(),
                    tracked.assignment.resources().cpuMillicores(),
                    nowNanos));
            actions.runsToStart()
                    .add(new TaskRun(tracked.assignment.task(), tracked.runNumber, tracked.assignment.specification()));
        }
    }

    private void stop(TrackedAssignment tracked) {
        if (tracked.status == Status.WAITING) {
            assignments.remove(tracked.assignment.task());
            addResult(tracked, RunOutcome.NOT_STARTED, Duration.ZERO);
        } else if (tracked.status != Status.STOPPING) {
            tracked.status = Status.STOPPING;
            tracked.confirmed = false;
            actions.runsToStop().add(new TaskRun(tracked.assignment.task(), tracked.runNumber, ""));
        }
    }

    private void finish(TrackedAssignment tracked, RunOutcome outcome, long nowNanos) {
        assignments.remove(tracked.assignment.task());
        Duration runDuration = Duration.ofNanos(nowNanos - tracked.startedNanos);
        addResult(tracked, outcome, runDuration);
        startWaitingThatFit(nowNanos);
    }

    /** Stops all runs at the present incarnation of the worker; those that are being stopped are stopped again. */
    private void stopAllRuns() {
        for (TrackedAssignment tracked : assignments.values()) {
            if (tracked.status == Status.STOPPING) {
                tracked.confirmed = false;
                actions.runsToStop().add(new TaskRun(tracked.assignment.task(), tracked.runNumber, ""));
            } else if (tracked.occupiesWorker()) {
                stop(tracked);
            }
        }
    }

    private int markRunsLost(Predicate<TrackedAssignment> which, long nowNanos) {
        int lostRuns = 0;
        for (TrackedAssignment tracked : List.copyOf(assignments.values())) {
            if (tracked.occupiesWorker() && which.test(tracked)) {
                assignments.remove(tracked.assignment.task());
                Duration runDuration = Duration.ofNanos(nowNanos - tracked.startedNanos);
                addResult(tracked, RunOutcome.LOST, runDuration);
                lostRuns++;
            }
        }
        return lostRuns;
    }

    private void returnWaiting(Predicate<TrackedAssignment> which, long nowNanos) {
        for (TrackedAssignment tracked : List.copyOf(assignments.values())) {
            if (tracked.status == Status.WAITING && which.test(tracked)) {
                stop(tracked);
            }
        }
        startWaitingThatFit(nowNanos);
    }

    private void addResult(TrackedAssignment tracked, RunOutcome outcome, Duration runDuration) {
        TaskAssignment assignment = tracked.assignment;
        RunResult result = new RunResult(
                assignment.task(), assignment.runNumber(), outcome, runDuration, surroundings(tracked, runDuration));
        actions.finishedAssignments()
                .add(new FinishedAssignment(tracked.owner, result, assignment.estimate(), tracked.queueTime()));
    }

    private RunSurroundings surroundings(TrackedAssignment tracked, Duration runDuration) {
        if (neighbours.isEmpty() || !tracked.occupiesWorker()) {
            return RunSurroundings.UNKNOWN;
        }
        return neighbours
                .get()
                .runEnded(
                        tracked.assignment.task(),
                        worker.capacity().cpuMillicores(),
                        tracked.startedNanos + runDuration.toNanos());
    }

    private TrackedAssignment findRun(BestEffortTaskId task, RunNumber runNumber) {
        TrackedAssignment tracked = assignments.get(task);
        boolean current = tracked != null && tracked.occupiesWorker() && tracked.runNumber.equals(runNumber);
        return current ? tracked : null;
    }

    private Resources totalResources(Predicate<TrackedAssignment> which) {
        return assignments.values().stream()
                .filter(which)
                .map(tracked -> tracked.assignment.resources())
                .reduce(Resources.NONE, Resources::plus);
    }

    private boolean isStalled(TrackedAssignment tracked, long nowNanos) {
        long expectedMillis = (long) (tracked.assignment.estimate().toMillis() * statistics.slowdown());
        long runMillis = Duration.ofNanos(nowNanos - tracked.startedNanos).toMillis();
        long stalledMillis =
                Duration.ofNanos(nowNanos - tracked.lastProgressNanos).toMillis();
        boolean overdue = runMillis > (long) (expectedMillis * RunStatistics.OVERDUE_FACTOR);
        return overdue && stalledMillis > Math.max(expectedMillis, RunStatistics.MIN_STALL_TIME.toMillis());
    }

    private double overdueSlowdown(long nowNanos) {
        List<TrackedAssignment> running = assignments.values().stream()
                .filter(tracked -> tracked.status == Status.RUNNING)
                .toList();
        double[] overdue = running.stream()
                .mapToDouble(tracked -> (double) (nowNanos - tracked.startedNanos)
                        / (double) Math.max(1, tracked.assignment.estimate().toNanos()))
                .filter(ratio -> ratio > statistics.slowdown() * RunStatistics.OVERDUE_FACTOR)
                .toArray();
        if (overdue.length < 2 || overdue.length * RunStatistics.OVERDUE_FRACTION_DENOMINATOR < running.size()) {
            return 0;
        }
        return Arrays.stream(overdue).average().orElse(0);
    }

    private static Actions noActions() {
        return new Actions(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }
}
