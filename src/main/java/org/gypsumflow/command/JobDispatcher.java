package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.gypsumflow.command.JobPlacementPolicy.Placement;
import org.gypsumflow.command.JobPlacementPolicy.PlacementRequest;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.command.WorkerSpeedEstimator.Sample;
import org.gypsumflow.command.interference.Interference;
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
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;

/**
 * Runs the best-effort jobs of one entry: places their tasks on workers, repeats tasks that failed or were lost, and
 * reports one outcome for each job.
 *
 * <p>A job completes when all its tasks are done. Otherwise its outcome says whether any part may have run.
 */
public final class JobDispatcher {
    /** Retry-After of a rejected job: the queue of a worker drains within this time. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
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
    private final EventLog events;
    private final JobObserver observer;

    private JobDispatcher(
            WorkerCapacityTracker capacityTracker,
            JobPlacementPolicy placementPolicy,
            AgentClient agentClient,
            EventLog events,
            JobObserver observer) {
        this.capacityTracker = capacityTracker;
        this.placementPolicy = placementPolicy;
        this.agentClient = agentClient;
        this.events = events;
        this.observer = observer;
    }

    /**
     * Creates a dispatcher without jobs.
     *
     * @param capacityTracker free capacity and speed of the workers; updated by the dispatcher
     * @param placementPolicy chooses workers for tasks
     * @param agentClient sends assignments and stops to agents
     * @param events receives numbered events
     * @param observer notified of the outcome of each job
     * @return the dispatcher
     */
    public static JobDispatcher create(
            WorkerCapacityTracker capacityTracker,
            JobPlacementPolicy placementPolicy,
            AgentClient agentClient,
            EventLog events,
            JobObserver observer) {
        return new JobDispatcher(capacityTracker, placementPolicy, agentClient, events, observer);
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
                new ActiveJob(job, nowNanos, deadlineNanos, endingJobs.firstRunNumber(job.id()), formerRunsEnding);
        activeJob.addWaiter(waiter);
        jobs.put(job.id(), activeJob);
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
        Collection<ActiveJob> affected = new ArrayList<>();
        for (RunResult result : report.results()) {
            endingJobs.recordResult(agent, result);
            applyResult(agent, result, nowNanos).ifPresent(affected::add);
        }
        capacityTracker.updateWorker(agent, report.workerStatus());
        capacityTracker.updateRunning(agent, report.runningMillicores());
        endingJobs.runDueListeners();
        affected.stream().distinct().forEach(activeJob -> place(activeJob, nowNanos));
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
        Sample slowest =
                runs.stream().max(Comparator.comparing(Sample::runDuration)).orElseThrow();
        events.write(
                Event.JOB_DONE,
                activeJob.job().id(),
                activeJob.job().route().name(),
                activeJob.job().routesVersion(),
                activeJob.age(nowNanos).toMillis(),
                runs.size(),
                activeJob.job().estimate().toMillis(),
                activeJob.assignmentCount(),
                runs.stream().map(Sample::agent).distinct().count(),
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
        if (mayWait && !activeJob.mayHaveRun() && isBehindHigherPriority(activeJob)) {
            waitingJobs.putIfAbsent(job.id(), activeJob);
            return;
        }
        Collection<Candidate> candidates = capacityTracker.candidates(job, nowNanos);
        boolean workersExpected = areWorkersExpected(job.route().service(), candidates, nowNanos);
        PlacementRequest request = new PlacementRequest(
                waiting.size(),
                job.resourcesPerTask(),
                job.estimate(),
                job.route().latencyFactor(),
                activeJob.remainingLatencyAllowance(nowNanos),
                activeJob.slack(nowNanos),
                activeJob.timeToHardDeadline(nowNanos),
                activeJob.mayHaveRun());
        List<Placement> placements = placementPolicy.choose(request, candidates);
        if (!placements.isEmpty()) {
            waitingJobs.remove(job.id());
            countIfChangedByInterference(job, request, candidates, placements);
            assign(activeJob, waiting, placements, nowNanos);
        } else if (isTooLarge(job, candidates)) {
            abandon(activeJob, "no worker is large enough for a task of the job");
        } else if (mayWait && workersExpected) {
            waitingJobs.putIfAbsent(job.id(), activeJob);
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
        double initialSlack =
                activeJob.slack(nowNanos).plus(activeJob.age(nowNanos)).toNanos();
        return activeJob.slack(nowNanos).toNanos() > MIN_REMAINING_SLACK_SHARE * initialSlack;
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

    /** Capacity goes to the job with the highest priority set by the operator, not to the one that needs the least. */
    private boolean isBehindHigherPriority(ActiveJob activeJob) {
        Route route = activeJob.job().route();
        return waitingJobs.values().stream()
                .filter(other -> !other.mayHaveRun())
                .map(other -> other.job().route())
                .anyMatch(other -> other.service().equals(route.service()) && other.priority() < route.priority());
    }

    private void retryWaitingJobs(long nowNanos) {
        if (waitingJobs.isEmpty() || nowNanos - lastRetryNanos < PLACEMENT_RETRY_DELAY.toNanos()) {
            return;
        }
        lastRetryNanos = nowNanos;
        List<ActiveJob> retried = new ArrayList<>(waitingJobs.values());
        retried.sort(Comparator.<ActiveJob>comparingInt(
                        activeJob -> activeJob.job().route().priority())
                .thenComparing(activeJob -> activeJob.slack(nowNanos)));
        for (int next = 0; next < retried.size(); next++) {
            ActiveJob activeJob = retried.get(next);
            if (next < MAX_PLACEMENTS_PER_RETRY || !mayWaitForCapacity(activeJob, nowNanos)) {
                place(activeJob, nowNanos);
            }
        }
    }

    private void assign(ActiveJob activeJob, List<Integer> waiting, List<Placement> placements, long nowNanos) {
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
                            activeJob.slack(nowNanos),
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
        events.write(
                Event.JOB_ABANDONED,
                activeJob.job().id(),
                activeJob.job().route().name(),
                mayHaveRun,
                capacityTracker.agentCount(),
                reason);
        finish(
                activeJob,
                mayHaveRun ? BestEffortOutcome.mayHaveRun(reason) : BestEffortOutcome.notRun(reason, RETRY_AFTER));
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
