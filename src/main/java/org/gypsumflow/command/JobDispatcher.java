package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.gypsumflow.command.JobPlacementPolicy.Placement;
import org.gypsumflow.command.JobPlacementPolicy.PlacementRequest;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.command.WorkerSpeedEstimator.Sample;
import org.gypsumflow.command.interference.Interference;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;

/**
 * Runs the best-effort jobs of one entry: places their tasks on workers, repeats tasks that failed or were lost, and
 * reports one outcome for each job.
 *
 * <p>A job completes when all its tasks are done. Otherwise its outcome says whether any part may have run.
 */
public final class JobDispatcher {
    /** Time for the response to reach the caller; subtracted from the deadline, which covers it. */
    private static final Duration RESPONSE_TRANSIT_TIME = Duration.ofMillis(30);

    /** Restarted agents reconnect within this time; start-up after a power failure takes half of it. */
    private static final Duration WORKER_RECONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** Delay between attempts to place waiting jobs; tasks finish and free capacity more often than this. */
    private static final Duration PLACEMENT_RETRY_DELAY = Duration.ofMillis(20);
    /** Share of its initial slack below which a job stops waiting for capacity; estimates may be off by 40 %. */
    private static final double MIN_REMAINING_SLACK_SHARE = 0.5;
    /** Maximum number of waiting jobs to place at each attempt; the ones behind them would not finish in time. */
    private static final int MAX_PLACEMENTS_PER_RETRY = 40;

    private final Map<JobId, ActiveJob> jobs = new HashMap<>();
    private final Map<JobId, ActiveJob> waitingJobs = new LinkedHashMap<>();
    private final EndingJobs endingJobs = new EndingJobs();
    private final Map<ServiceName, Long> workersLastSeenNanos = new HashMap<>();
    private boolean placementsHeld;
    private long lastRetryNanos;
    private long latestNanos;
    private final WorkerCapacityTracker capacityTracker;
    private final JobPlacementPolicy placementPolicy;
    private final AgentClient agentClient;
    private final CapacityShares shares;
    private final EventLog events;
    private final JobObserver observer;

    private JobDispatcher(
            WorkerCapacityTracker capacityTracker,
            JobPlacementPolicy placementPolicy,
            AgentClient agentClient,
            CapacityShares shares,
            EventLog events,
            JobObserver observer) {
        this.capacityTracker = capacityTracker;
        this.placementPolicy = placementPolicy;
        this.agentClient = agentClient;
        this.shares = shares;
        this.events = events;
        this.observer = observer;
    }

    /**
     * Creates a dispatcher without jobs.
     *
     * @param capacityTracker free capacity and speed of the workers; updated by the dispatcher
     * @param placementPolicy chooses workers for tasks
     * @param agentClient sends assignments and stops to agents
     * @param shares decides who goes first while capacity is short; updated by the dispatcher
     * @param events receives numbered events
     * @param observer notified of the outcome of each job
     * @return the dispatcher
     */
    public static JobDispatcher create(
            WorkerCapacityTracker capacityTracker,
            JobPlacementPolicy placementPolicy,
            AgentClient agentClient,
            CapacityShares shares,
            EventLog events,
            JobObserver observer) {
        return new JobDispatcher(capacityTracker, placementPolicy, agentClient, shares, events, observer);
    }

    /**
     * Starts a job, or adds a waiter to the active job of that id, which keeps its deadline.
     *
     * <p>If the job was active before and a run of it may not have ended, it starts after the end of that run; if the
     * time left does not suffice for that, its outcome is that it may have run.
     *
     * @param job the job
     * @param nowNanos current monotonic time
     * @param timeLeft time until the caller stops waiting, transit of the response included
     * @param waiter receives the outcome, exactly once unless it is removed
     */
    public void submit(BestEffortJob job, long nowNanos, Duration timeLeft, Consumer<BestEffortOutcome> waiter) {
        submit(job, nowNanos, nowNanos, timeLeft, waiter);
    }

    /**
     * Starts a job that was accepted before, at this entry or another one, or adds a waiter to the active job of that id, as
     * {@link #submit(BestEffortJob, long, Duration, Consumer)} does.
     *
     * @param job the job
     * @param acceptedNanos monotonic time at which the job was accepted, from which its latency objective counts
     * @param nowNanos current monotonic time
     * @param timeLeft time from now until the caller stops waiting, transit of the response included
     * @param waiter receives the outcome, exactly once unless it is removed
     */
    public void submit(
            BestEffortJob job,
            long acceptedNanos,
            long nowNanos,
            Duration timeLeft,
            Consumer<BestEffortOutcome> waiter) {
        latestNanos = nowNanos;
        ActiveJob existing = jobs.get(job.id());
        if (existing != null) {
            existing.addWaiter(waiter);
            return;
        }
        long deadlineNanos = nowNanos + timeLeft.minus(RESPONSE_TRANSIT_TIME).toNanos();
        if (endingJobs.isEnding(job.id())) {
            endingJobs.tick(nowNanos);
            endingJobs.runDueListeners();
        }
        boolean formerRunsEnding = endingJobs.isEnding(job.id());
        ActiveJob activeJob =
                new ActiveJob(job, acceptedNanos, deadlineNanos, endingJobs.firstRunNumber(job.id()), formerRunsEnding);
        activeJob.addWaiter(waiter);
        jobs.put(job.id(), activeJob);
        shares.asked(job, nowNanos);
        if (formerRunsEnding) {
            endingJobs.whenEnded(job.id(), () -> place(activeJob, latestNanos));
        }
        place(activeJob, nowNanos);
    }

    /**
     * Stops the tasks of a job because its caller cancelled it.
     *
     * @param id id of the job
     * @return true if it was active at this entry
     */
    public boolean cancel(JobId id) {
        return finishEarly(id, BestEffortOutcome.ofCancelled());
    }

    /**
     * Removes a waiter whose caller disconnected; a job without any waiter is abandoned.
     *
     * @param id id of the job; ignored if it is not active
     * @param waiter the waiter given to {@link #submit}
     */
    public void removeWaiter(JobId id, Consumer<BestEffortOutcome> waiter) {
        ActiveJob activeJob = jobs.get(id);
        if (activeJob != null && !activeJob.removeWaiter(waiter)) {
            abandon(id);
        }
    }

    /**
     * Abandons a job because its caller sent it to another entry.
     *
     * @param id id of the job
     * @return true if it was active at this entry
     */
    public boolean abandon(JobId id) {
        return finishEarly(id, BestEffortOutcome.mayHaveRun("no caller waits for this job at this entry any more"));
    }

    /**
     * Runs an action once no run of a job that has an outcome can still be running: immediately if there is none.
     *
     * @param id id of the job
     * @param action what to do then, on the thread of the dispatcher; dropped together with the dispatcher if the proof
     *     never comes
     */
    public void whenEnded(JobId id, Runnable action) {
        endingJobs.whenEnded(id, action);
    }

    /**
     * Returns whether a job is active at this entry.
     *
     * @param id id of the job
     * @return true if it was accepted and has no outcome yet
     */
    public boolean isActive(JobId id) {
        return jobs.containsKey(id);
    }

    /**
     * Returns whether a task of a job may be running or start because of this entry.
     *
     * @param id id of the job
     * @return true if the job is active, or has an outcome and a run of it may not have ended
     */
    public boolean isUnended(JobId id) {
        return jobs.containsKey(id) || endingJobs.isEnding(id);
    }

    /**
     * Returns the number of active jobs.
     *
     * @return number of jobs accepted and without an outcome
     */
    public int activeJobCount() {
        return jobs.size();
    }

    /** Assigns no tasks until {@link #releasePlacements}, since another entry may have taken jobs over. */
    public void holdPlacements() {
        placementsHeld = true;
    }

    /**
     * Assigns tasks again, first those of the jobs that waited meanwhile.
     *
     * @param nowNanos current monotonic time
     */
    public void releasePlacements(long nowNanos) {
        placementsHeld = false;
        List.copyOf(jobs.values()).forEach(activeJob -> place(activeJob, nowNanos));
    }

    /**
     * Returns the jobs without an outcome.
     *
     * @return ids of the active jobs
     */
    public List<JobId> activeJobs() {
        return List.copyOf(jobs.keySet());
    }

    /**
     * Returns the jobs whose tasks may be running because of this entry.
     *
     * @return ids of the active jobs and of those with an outcome whose runs may not have ended
     */
    public List<JobId> unendedJobs() {
        return Stream.concat(jobs.keySet().stream(), endingJobs.ids().stream())
                .distinct()
                .toList();
    }

    /**
     * Applies the results and the worker status that an agent reported.
     *
     * @param agent agent that sent the report
     * @param report results of runs, in which those of earlier runs are ignored, and the status of the worker
     * @param nowNanos current monotonic time
     */
    public void agentReported(MemberName agent, AgentReport report, long nowNanos) {
        latestNanos = nowNanos;
        Collection<ActiveJob> affected = new LinkedHashSet<>();
        for (RunResult result : report.results()) {
            endingJobs.recordResult(agent, result);
            applyResult(agent, result, nowNanos).ifPresent(affected::add);
        }
        capacityTracker.updateWorker(agent, report.workerStatus());
        capacityTracker.updateRunning(agent, report.runningMillicores());
        endingJobs.runDueListeners();
        affected.forEach(activeJob -> place(activeJob, nowNanos));
        retryWaitingJobs(nowNanos);
    }

    /**
     * Records that the connection to an agent was lost; its tasks are reassigned once they can no longer run.
     *
     * @param agent the agent
     * @param reassignAtNanos monotonic time from which none of its tasks can still run, so that they may be reassigned
     */
    public void agentDisconnected(MemberName agent, long reassignAtNanos) {
        for (ActiveJob activeJob : jobs.values()) {
            for (int index : activeJob.tasksAssignedTo(agent)) {
                activeJob.markUnknown(index, reassignAtNanos);
            }
        }
        endingJobs.agentDisconnected(agent, reassignAtNanos);
        capacityTracker.remove(agent);
    }

    /**
     * Applies the time limits: reassigns tasks of lost agents and abandons jobs whose deadline has passed.
     *
     * @param nowNanos current monotonic time
     */
    public void tick(long nowNanos) {
        latestNanos = nowNanos;
        shares.tick(nowNanos);
        endingJobs.tick(nowNanos);
        endingJobs.runDueListeners();
        capacityTracker.tick(nowNanos);
        retryWaitingJobs(nowNanos);
        for (ActiveJob activeJob : List.copyOf(jobs.values())) {
            if (nowNanos - activeJob.deadlineNanos() >= 0) {
                abandon(activeJob, "the caller's deadline has passed");
            } else if (endingJobs.isEnding(activeJob.job().id())) {
                place(activeJob, nowNanos);
            } else {
                requeueUnknown(activeJob, nowNanos);
            }
        }
    }

    private void requeueUnknown(ActiveJob activeJob, long nowNanos) {
        Map<Integer, MemberName> requeued = activeJob.requeueUnknown(nowNanos);
        requeued.forEach((index, agent) -> logRequeued(activeJob, index, agent, "not confirmed, the agent is lost"));
        if (!requeued.isEmpty()) {
            place(activeJob, nowNanos);
        }
    }

    /**
     * Abandons all jobs, since this process was paused and other entries may have taken them over.
     *
     * @param reason reason stated in each outcome
     */
    public void abandonAll(String reason) {
        List.copyOf(jobs.values()).forEach(activeJob -> abandon(activeJob, reason));
    }

    private Optional<ActiveJob> applyResult(MemberName agent, RunResult result, long nowNanos) {
        ActiveJob activeJob = jobs.get(result.task().job());
        int index = result.task().index();
        if (activeJob == null || !activeJob.agentOf(index, result.runNumber()).equals(Optional.of(agent))) {
            return Optional.empty();
        }
        capacityTracker.releaseAssignment(
                agent, activeJob.job().route().name(), activeJob.job().resourcesPerTask());
        switch (result.outcome()) {
            case DONE -> activeJob.recordSuccess(index, result);
            case FAILED -> recordFailure(activeJob, index);
            case LOST -> activeJob.recordLost(index);
            case NOT_STARTED -> activeJob.recordNotStarted(index);
        }
        boolean ended = result.outcome() == RunOutcome.FAILED || result.outcome() == RunOutcome.LOST;
        if (ended && jobs.containsKey(activeJob.job().id())) {
            logRequeued(activeJob, index, agent, result.outcome());
        }
        if (activeJob.isComplete()) {
            capacityTracker.recordCompletedJob(
                    activeJob.job().route().name(),
                    activeJob.completedRuns(),
                    activeJob.job().estimate(),
                    nowNanos);
            logCompletion(activeJob, nowNanos);
            finish(activeJob, BestEffortOutcome.completed());
        }
        return Optional.of(activeJob);
    }

    private void logRequeued(ActiveJob activeJob, int index, MemberName agent, Object cause) {
        events.write(
                Event.TASK_REQUEUED,
                BestEffortTaskId.of(activeJob.job().id(), index),
                activeJob.runNumber(index).value(),
                agent,
                cause);
    }

    private void logCompletion(ActiveJob activeJob, long nowNanos) {
        List<Sample> runs = activeJob.completedRuns();
        Set<MemberName> agents = new HashSet<>();
        Sample slowest = runs.get(0);
        for (Sample run : runs) {
            agents.add(run.agent());
            slowest = run.runDuration().compareTo(slowest.runDuration()) > 0 ? run : slowest;
        }
        events.write(
                Event.JOB_DONE,
                activeJob.job().id(),
                activeJob.job().route().name(),
                activeJob.job().routesVersion(),
                activeJob.age(nowNanos).toMillis(),
                runs.size(),
                activeJob.job().estimate().toMillis(),
                activeJob.assignmentCount(),
                agents.size(),
                slowest.runDuration().toMillis(),
                slowest.agent());
    }

    private void recordFailure(ActiveJob activeJob, int index) {
        if (activeJob.recordFailure(index) >= activeJob.job().route().maxAttempts()) {
            finish(activeJob, BestEffortOutcome.failed("task " + index + " failed as often as the route allows"));
        }
    }

    private void place(ActiveJob activeJob, long nowNanos) {
        if (placementsHeld || jobs.get(activeJob.job().id()) != activeJob) {
            return;
        }
        List<Integer> waiting = activeJob.waitingTasks();
        if (waiting.isEmpty()) {
            return;
        }
        BestEffortJob job = activeJob.job();
        boolean mayWait = mayWaitForCapacity(activeJob, nowNanos);
        if (endingJobs.isEnding(job.id())) {
            if (!mayWait) {
                abandon(activeJob, "the time left does not suffice after the end of the job's former runs");
            }
            return;
        }
        if (mayWait && !activeJob.mayHaveRun() && isBehindOthers(activeJob, nowNanos)) {
            waitForCapacity(activeJob, nowNanos);
            return;
        }
        double reservedShare = activeJob.mayHaveRun() ? 0 : shares.reservedShare(job, nowNanos);
        Duration slack = slackBesideOthers(activeJob, reservedShare, nowNanos);
        Collection<Candidate> candidates = capacityTracker.candidates(job, nowNanos);
        boolean workersExpected = areWorkersExpected(job.route().service(), candidates, nowNanos);
        PlacementRequest request = new PlacementRequest(
                waiting.size(),
                job.resourcesPerTask(),
                job.estimate(),
                job.route().latencyFactor(),
                activeJob.remainingLatencyAllowance(nowNanos),
                slack,
                activeJob.timeToHardDeadline(nowNanos),
                activeJob.mayHaveRun());
        List<Placement> placements = placementPolicy.choose(request, withReservedShare(candidates, reservedShare));
        if (!placements.isEmpty()) {
            waitingJobs.remove(job.id());
            if (activeJob.assignmentCount() == 0) {
                shares.granted(job, nowNanos);
            }
            countIfChangedByInterference(job, request, candidates, placements);
            assign(activeJob, waiting, placements, slack, nowNanos);
        } else if (isTooLarge(job, candidates)) {
            abandon(activeJob, "no worker is large enough for a task of the job");
        } else if (mayWait && workersExpected) {
            waitForCapacity(activeJob, nowNanos);
        } else {
            abandon(
                    activeJob,
                    candidates.isEmpty()
                            ? "no connected worker of the service accepts tasks"
                            : "no worker can finish the job in time");
        }
    }

    /** Chooses once more without interference, only if some worker has any, to count the difference. */
    private void countIfChangedByInterference(
            BestEffortJob job, PlacementRequest request, Collection<Candidate> candidates, List<Placement> placements) {
        if (candidates.stream().allMatch(candidate -> candidate.interference().equals(Interference.NONE))) {
            return;
        }
        List<MemberName> otherwise = new ArrayList<>(
                placementPolicy
                        .choose(
                                request,
                                candidates.stream()
                                        .map(Candidate::withoutInterference)
                                        .toList())
                        .stream()
                        .map(Placement::agent)
                        .toList());
        placements.forEach(placement -> otherwise.remove(placement.agent()));
        if (!otherwise.isEmpty()) {
            capacityTracker.recordChangedPlacement(job.route().name(), otherwise);
        }
    }

    /**
     * Returns whether a job may wait for capacity.
     *
     * <p>A job of which nothing has started waits while enough of its slack is left to start and finish in time. The
     * remaining tasks of a job that may have run wait while they can finish before the hard deadline, since a late
     * result is better than none.
     */
    private static boolean mayWaitForCapacity(ActiveJob activeJob, long nowNanos) {
        if (activeJob.mayHaveRun()) {
            return activeJob
                            .timeToHardDeadline(nowNanos)
                            .compareTo(activeJob.job().estimate())
                    > 0;
        }
        double initialSlackNanos = activeJob.initialSlack().toNanos();
        return activeJob.slack(nowNanos).toNanos() > MIN_REMAINING_SLACK_SHARE * initialSlackNanos;
    }

    private static boolean isTooLarge(BestEffortJob job, Collection<Candidate> candidates) {
        return !candidates.isEmpty()
                && candidates.stream()
                        .noneMatch(candidate ->
                                candidate.reportedStatus().capacity().canFit(job.resourcesPerTask()));
    }

    /** Returns whether to wait for workers that were available a moment ago or may not have been discovered yet. */
    private boolean areWorkersExpected(ServiceName service, Collection<Candidate> candidates, long nowNanos) {
        long lastSeenNanos = workersLastSeenNanos.computeIfAbsent(service, first -> nowNanos);
        if (!candidates.isEmpty()) {
            workersLastSeenNanos.put(service, nowNanos);
            return true;
        }
        return nowNanos - lastSeenNanos <= WORKER_RECONNECT_TIMEOUT.toNanos();
    }

    private void waitForCapacity(ActiveJob activeJob, long nowNanos) {
        if (waitingJobs.putIfAbsent(activeJob.job().id(), activeJob) == null) {
            shares.delayed(activeJob.job(), nowNanos);
        }
    }

    /**
     * Returns the slack by which a job is placed: tasks of a share that has more than its part are not urgent, however
     * long they have waited.
     */
    private static Duration slackBesideOthers(ActiveJob activeJob, double reservedShare, long nowNanos) {
        Duration slack = activeJob.slack(nowNanos);
        boolean yields = reservedShare > 0 && UrgentReserve.isUrgent(slack);
        return yields ? UrgentReserve.URGENT_SLACK : slack;
    }

    private static Collection<Candidate> withReservedShare(Collection<Candidate> candidates, double reservedShare) {
        return reservedShare == 0
                ? candidates
                : candidates.stream()
                        .map(candidate -> candidate.withReservedShare(reservedShare))
                        .toList();
    }

    /** Returns whether a job that goes first waits for the capacity: by shares while it is short, else by priority. */
    private boolean isBehindOthers(ActiveJob activeJob, long nowNanos) {
        BestEffortJob job = activeJob.job();
        if (!shares.isCapacityShort(job.route().service(), nowNanos)) {
            return isBehindHigherPriority(activeJob);
        }
        return shares.isOverShare(job, nowNanos)
                && waitingJobs.values().stream()
                        .filter(other -> !other.mayHaveRun())
                        .map(ActiveJob::job)
                        .anyMatch(other ->
                                other.route().service().equals(job.route().service())
                                        && !shares.isOverShare(other, nowNanos));
    }

    /** Capacity goes to the job with the highest priority set by the operator, not to the one that needs the least. */
    private boolean isBehindHigherPriority(ActiveJob activeJob) {
        Route route = activeJob.job().route();
        for (ActiveJob other : waitingJobs.values()) {
            Route otherRoute = other.job().route();
            if (otherRoute.priority() < route.priority()
                    && otherRoute.service().equals(route.service())
                    && !other.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    private void retryWaitingJobs(long nowNanos) {
        if (waitingJobs.isEmpty() || nowNanos - lastRetryNanos < PLACEMENT_RETRY_DELAY.toNanos()) {
            return;
        }
        lastRetryNanos = nowNanos;
        List<ActiveJob> retried = new ArrayList<>(waitingJobs.values());
        retried.sort(waitingOrder(retried, nowNanos).thenComparing(activeJob -> activeJob.slack(nowNanos)));
        for (int next = 0; next < retried.size(); next++) {
            ActiveJob activeJob = retried.get(next);
            if (next < MAX_PLACEMENTS_PER_RETRY || !mayWaitForCapacity(activeJob, nowNanos)) {
                place(activeJob, nowNanos);
            }
        }
    }

    /** Orders waiting jobs by what their shares have got while capacity is short, else by priority. */
    private Comparator<ActiveJob> waitingOrder(Collection<ActiveJob> waiting, long nowNanos) {
        Map<RouteName, Double> ranks = new HashMap<>();
        for (ActiveJob activeJob : waiting) {
            Route route = activeJob.job().route();
            ranks.computeIfAbsent(
                    route.name(),
                    name -> shares.isCapacityShort(route.service(), nowNanos)
                            ? shares.weightedGrant(activeJob.job(), nowNanos)
                            : route.priority());
        }
        return Comparator.comparingDouble(
                activeJob -> ranks.get(activeJob.job().route().name()));
    }

    private void assign(
            ActiveJob activeJob, List<Integer> waiting, List<Placement> placements, Duration slack, long nowNanos) {
        BestEffortJob job = activeJob.job();
        Duration maxQueueTime = activeJob.timeToHardDeadline(nowNanos).minus(job.estimate());
        Map<MemberName, List<TaskAssignment>> assignments = new TreeMap<>();
        for (int position = 0; position < placements.size(); position++) {
            int index = waiting.get(position);
            MemberName agent = placements.get(position).agent();
            activeJob.assign(index, agent);
            capacityTracker.recordAssignment(agent, job.route().name(), job.resourcesPerTask());
            assignments
                    .computeIfAbsent(agent, name -> new ArrayList<>())
                    .add(new TaskAssignment(
                            BestEffortTaskId.of(job.id(), index),
                            activeJob.runNumber(index),
                            job.specification(),
                            job.route().name(),
                            job.resourcesPerTask(),
                            job.estimate(),
                            maxQueueTime.isNegative() ? Duration.ZERO : maxQueueTime,
                            slack,
                            placements.get(position).mayQueue()));
        }
        assignments.forEach(agentClient.assigner()::assign);
    }

    /**
     * Finishes a job that cannot complete: as not run if none of its tasks may have run, which rejects the job and
     * lets its caller retry, otherwise as possibly run.
     */
    private void abandon(ActiveJob activeJob, String reason) {
        boolean mayHaveRun = activeJob.mayHaveRun();
        BestEffortOutcome outcome = mayHaveRun ? BestEffortOutcome.mayHaveRun(reason) : reject(activeJob, reason);
        events.write(
                Event.JOB_ABANDONED,
                activeJob.job().id(),
                activeJob.job().route().name(),
                mayHaveRun,
                capacityTracker.agentCount(),
                reason);
        finish(activeJob, outcome);
    }

    private BestEffortOutcome reject(ActiveJob activeJob, String reason) {
        shares.rejected(activeJob.job());
        return BestEffortOutcome.notRun(reason, shares.retryAfter(activeJob.job(), latestNanos));
    }

    private boolean finishEarly(JobId id, BestEffortOutcome outcome) {
        ActiveJob activeJob = jobs.get(id);
        if (activeJob == null) {
            return false;
        }
        events.write(Event.JOB_ENDED_EARLY, id, activeJob.job().route().name(), outcome.reason());
        finish(activeJob, outcome);
        return true;
    }

    private void finish(ActiveJob activeJob, BestEffortOutcome outcome) {
        if (!jobs.remove(activeJob.job().id(), activeJob)) {
            return;
        }
        waitingJobs.remove(activeJob.job().id());
        endingJobs.add(activeJob.job().id(), activeJob.unendedRuns());
        if (!activeJob.hasOnlySuccessfulRuns()) {
            endingJobs.recordNextRunNumber(activeJob.job().id(), activeJob.nextRunNumber());
        }
        activeJob.tasksByAgent().forEach((agent, indexes) -> {
            activeJob
                    .tasksAssignedTo(agent)
                    .forEach(index -> capacityTracker.releaseAssignment(
                            agent,
                            activeJob.job().route().name(),
                            activeJob.job().resourcesPerTask()));
            agentClient.stopper().stop(agent, activeJob.job().id(), indexes);
        });
        observer.outcomeDecided(activeJob.job().route().name(), outcome, activeJob.age(latestNanos));
        activeJob.notifyWaiters(outcome);
    }
}
