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
import org.gypsumflow.command.JobPlacementPolicy.Placement;
import org.gypsumflow.command.JobPlacementPolicy.PlacementRequest;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.command.WorkerSpeedEstimator.Sample;
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
import org.gypsumflow.model.ServiceName;

/** The jobs of one entry: places their tasks, follows them, and answers whole or says what is known. */
public final class JobDispatcher {
    /** Retry-After while nothing better is known: a worker's queue drains within it. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** Time between the answer at the entry and the caller's receipt, which the deadline must cover. */
    private static final Duration ANSWER_TRAVEL = Duration.ofMillis(30);

    /** Agents that restarted are in touch again within this time; start-up after a loss of power takes half of it. */
    private static final Duration WORKERS_BACK_WITHIN = Duration.ofSeconds(2);
    /** Time between two tries to place jobs that found no room; ends of tasks leave room more often than this. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);
    /** Share of its slack that a job keeps when it stops waiting for room; the estimate behind it may be off by 40 %. */
    private static final double SLACK_KEPT = 0.5;
    /** Most jobs that look for room again at each try; the rest would not end in time behind them. */
    private static final int MOST_TRIES = 40;

    private final Map<JobId, ActiveJob> jobs = new HashMap<>();
    private final Map<JobId, ActiveJob> withoutRoom = new LinkedHashMap<>();
    private final Map<ServiceName, Long> workersSeenNanos = new HashMap<>();
    private long triedNanos;
    private long newestNanos;
    private final WorkerCapacityTracker board;
    private final JobPlacementPolicy rule;
    private final AgentClient ports;
    private final EventLog events;
    private final JobObserver observer;

    private JobDispatcher(
            WorkerCapacityTracker board,
            JobPlacementPolicy rule,
            AgentClient ports,
            EventLog events,
            JobObserver observer) {
        this.board = board;
        this.rule = rule;
        this.ports = ports;
        this.events = events;
        this.observer = observer;
    }

    /**
     * Creates a dispatcher without jobs.
     *
     * @param board what is known of the workers
     * @param rule chooses workers
     * @param ports carries orders
     * @param events receives numbered events
     * @param observer hears of the answers
     * @return the dispatcher
     */
    public static JobDispatcher create(
            WorkerCapacityTracker board,
            JobPlacementPolicy rule,
            AgentClient ports,
            EventLog events,
            JobObserver observer) {
        return new JobDispatcher(board, rule, ports, events, observer);
    }

    /**
     * Takes a job, or adds a second asker to one that is under way.
     *
     * @param job the job
     * @param nowNanos monotonic clock
     * @param timeLeft how long the caller waits
     * @param asker gets the final answer, once
     */
    public void submit(BestEffortJob job, long nowNanos, Duration timeLeft, Consumer<BestEffortOutcome> asker) {
        newestNanos = nowNanos;
        ActiveJob known = jobs.get(job.id());
        if (known != null) {
            known.addWaiter(asker);
            return;
        }
        long deadline = nowNanos + timeLeft.minus(ANSWER_TRAVEL).toNanos();
        ActiveJob run = new ActiveJob(job, nowNanos, deadline);
        run.addWaiter(asker);
        jobs.put(job.id(), run);
        place(run, nowNanos);
    }

    /**
     * Ends a job because its caller cancelled it.
     *
     * @param id the job
     * @return true if it was under way here
     */
    public boolean cancel(JobId id) {
        return end(id, BestEffortOutcome.ofCancelled());
    }

    /**
     * Takes note that an asker is gone; a job that nobody waits for ends.
     *
     * @param id the job
     * @param asker who is gone
     */
    public void removeWaiter(JobId id, Consumer<BestEffortOutcome> asker) {
        ActiveJob run = jobs.get(id);
        if (run != null && !run.removeWaiter(asker)) {
            abandon(id);
        }
    }

    /**
     * Ends a job because its caller has come to another entry.
     *
     * @param id the job
     * @return true if it was under way here
     */
    public boolean abandon(JobId id) {
        return end(id, BestEffortOutcome.mayHaveRun("nobody waits for this job here any more"));
    }

    /**
     * Tells whether a job is under way here.
     *
     * @param id the job
     * @return true if it is
     */
    public boolean isActive(JobId id) {
        return jobs.containsKey(id);
    }

    /**
     * Counts the jobs under way.
     *
     * @return number of jobs
     */
    public int activeJobCount() {
        return jobs.size();
    }

    /**
     * Takes what an agent reports.
     *
     * @param agent who reports
     * @param report ends and room
     * @param nowNanos monotonic clock
     */
    public void agentReported(MemberName agent, AgentReport report, long nowNanos) {
        newestNanos = nowNanos;
        Collection<ActiveJob> touched = new ArrayList<>();
        for (RunResult ended : report.results()) {
            take(agent, ended, nowNanos).ifPresent(touched::add);
        }
        board.updateWorker(agent, report.workerStatus());
        touched.stream().distinct().forEach(run -> place(run, nowNanos));
        tryAgain(nowNanos);
    }

    /**
     * Takes note that an agent is out of touch.
     *
     * @param agent the agent
     * @param surelyEndedNanos time on the monotonic clock from which none of its tasks can run any more
     */
    public void agentDisconnected(MemberName agent, long surelyEndedNanos) {
        for (ActiveJob run : jobs.values()) {
            for (int index : run.tasksAssignedTo(agent)) {
                run.markUnknown(index, surelyEndedNanos);
            }
        }
        board.remove(agent);
    }

    /**
     * Does what time demands: takes back lost tasks and gives up what can no longer be answered in time.
     *
     * @param nowNanos monotonic clock
     */
    public void tick(long nowNanos) {
        newestNanos = nowNanos;
        tryAgain(nowNanos);
        for (ActiveJob run : List.copyOf(jobs.values())) {
            if (nowNanos - run.deadlineNanos() >= 0) {
                giveUp(run, "the caller's deadline has passed");
            } else if (run.requeueUnknown(nowNanos)) {
                place(run, nowNanos);
            }
        }
    }

    /**
     * Gives up all jobs, since this process did not run for a while and others may have replaced it.
     *
     * @param reason why
     */
    public void abandonAll(String reason) {
        List.copyOf(jobs.values()).forEach(run -> giveUp(run, reason));
    }

    private Optional<ActiveJob> take(MemberName agent, RunResult ended, long nowNanos) {
        ActiveJob run = jobs.get(ended.task().job());
        int index = ended.task().index();
        if (run == null || !run.agentOf(index, ended.runNumber()).equals(Optional.of(agent))) {
            return Optional.empty();
        }
        board.releaseAssignment(agent, run.job().resourcesPerTask());
        switch (ended.outcome()) {
            case DONE -> run.recordSuccess(index, ended.runDuration());
            case FAILED -> fail(run, index);
            case LOST -> run.recordLost(index);
            case NOT_STARTED -> run.recordNotStarted(index);
        }
        if (run.isComplete()) {
            board.recordCompletedJob(run.completedRuns(), run.job().estimate(), nowNanos);
            logDone(run, nowNanos);
            finish(run, BestEffortOutcome.completed());
        }
        return Optional.of(run);
    }

    private void logDone(ActiveJob run, long nowNanos) {
        List<Sample> runs = run.completedRuns();
        Sample slowest =
                runs.stream().max(Comparator.comparing(Sample::runDuration)).orElseThrow();
        events.write(
                Event.JOB_DONE,
                run.job().id(),
                run.job().route().name(),
                run.job().routesVersion(),
                run.age(nowNanos).toMillis(),
                runs.size(),
                run.job().estimate().toMillis(),
                run.assignmentCount(),
                runs.stream().map(Sample::agent).distinct().count(),
                slowest.runDuration().toMillis(),
                slowest.agent());
    }

    private void fail(ActiveJob run, int index) {
        if (run.recordFailure(index) >= run.job().route().maxAttempts()) {
            finish(run, BestEffortOutcome.failed("task " + index + " failed as often as its route allows"));
        }
    }

    private void place(ActiveJob run, long nowNanos) {
        if (jobs.get(run.job().id()) != run) {
            return;
        }
        List<Integer> waiting = run.waitingTasks();
        if (waiting.isEmpty()) {
            return;
        }
        BestEffortJob job = run.job();
        boolean mayWait = mayWaitForRoom(run, nowNanos);
        if (mayWait && !run.mayHaveRun() && isBehindOthers(run)) {
            withoutRoom.putIfAbsent(job.id(), run);
            return;
        }
        Collection<Candidate> candidates = board.candidates(job.route().service(), nowNanos);
        boolean workersAreExpected = areWorkersExpected(job.route().service(), candidates, nowNanos);
        PlacementRequest wanted = new PlacementRequest(
                waiting.size(),
                job.resourcesPerTask(),
                job.estimate(),
                job.route().latencyFactor(),
                run.remainingLatencyAllowance(nowNanos),
                run.slack(nowNanos),
                run.timeToHardDeadline(nowNanos),
                run.mayHaveRun());
        List<Placement> chosen = rule.choose(wanted, candidates);
        if (!chosen.isEmpty()) {
            withoutRoom.remove(job.id());
            order(run, waiting, chosen, nowNanos);
        } else if (isTooLarge(job, candidates)) {
            giveUp(run, "no worker is large enough for a task of the job");
        } else if (mayWait && workersAreExpected) {
            withoutRoom.putIfAbsent(job.id(), run);
        } else {
            giveUp(run, candidates.isEmpty() ? "no worker is in touch" : "no worker can end the job in time");
        }
    }

    /**
     * A job of which nothing has started waits for room while enough of its slack is left to start and end in time; what is
     * left of one that has begun waits as long as its answer is worth anything, since a late answer is better than none.
     */
    private static boolean mayWaitForRoom(ActiveJob run, long nowNanos) {
        if (run.mayHaveRun()) {
            return run.timeToHardDeadline(nowNanos).compareTo(run.job().estimate()) > 0;
        }
        double slackAtFirst = run.slack(nowNanos).plus(run.age(nowNanos)).toNanos();
        return run.slack(nowNanos).toNanos() > SLACK_KEPT * slackAtFirst;
    }

    private static boolean isTooLarge(BestEffortJob job, Collection<Candidate> candidates) {
        return !candidates.isEmpty()
                && candidates.stream()
                        .noneMatch(candidate ->
                                candidate.reportedStatus().capacity().canFit(job.resourcesPerTask()));
    }

    /** Workers that were there a moment ago, or may not have been found yet, are waited for; others are not. */
    private boolean areWorkersExpected(ServiceName service, Collection<Candidate> candidates, long nowNanos) {
        long seenNanos = workersSeenNanos.computeIfAbsent(service, first -> nowNanos);
        if (!candidates.isEmpty()) {
            workersSeenNanos.put(service, nowNanos);
            return true;
        }
        return nowNanos - seenNanos <= WORKERS_BACK_WITHIN.toNanos();
    }

    /** Room goes to the job that comes first by the operator's priorities, not to the one that happens to need less. */
    private boolean isBehindOthers(ActiveJob run) {
        Route route = run.job().route();
        return withoutRoom.values().stream()
                .filter(other -> !other.mayHaveRun())
                .map(other -> other.job().route())
                .anyMatch(other -> other.service().equals(route.service()) && other.priority() < route.priority());
    }

    private void tryAgain(long nowNanos) {
        if (withoutRoom.isEmpty() || nowNanos - triedNanos < RETRY_PAUSE.toNanos()) {
            return;
        }
        triedNanos = nowNanos;
        List<ActiveJob> tries = new ArrayList<>(withoutRoom.values());
        tries.sort(Comparator.<ActiveJob>comparingInt(run -> run.job().route().priority())
                .thenComparing(run -> run.slack(nowNanos)));
        for (int next = 0; next < tries.size(); next++) {
            ActiveJob run = tries.get(next);
            if (next < MOST_TRIES || !mayWaitForRoom(run, nowNanos)) {
                place(run, nowNanos);
            }
        }
    }

    private void order(ActiveJob run, List<Integer> waiting, List<Placement> chosen, long nowNanos) {
        BestEffortJob job = run.job();
        Duration startWithin = run.timeToHardDeadline(nowNanos).minus(job.estimate());
        Map<MemberName, List<TaskAssignment>> orders = new TreeMap<>();
        for (int place = 0; place < chosen.size(); place++) {
            int index = waiting.get(place);
            MemberName agent = chosen.get(place).agent();
            run.assign(index, agent);
            board.recordAssignment(agent, job.resourcesPerTask());
            orders.computeIfAbsent(agent, name -> new ArrayList<>())
                    .add(new TaskAssignment(
                            BestEffortTaskId.of(job.id(), index),
                            run.runNumber(index),
                            job.specification(),
                            job.resourcesPerTask(),
                            job.estimate(),
                            startWithin.isNegative() ? Duration.ZERO : startWithin,
                            run.slack(nowNanos),
                            chosen.get(place).mayQueue()));
        }
        orders.forEach(ports.assigner()::assign);
    }

    private void giveUp(ActiveJob run, String reason) {
        boolean mayHaveRun = run.mayHaveRun();
        events.write(
                Event.JOB_ABANDONED, run.job().id(), run.job().route().name(), mayHaveRun, board.agentCount(), reason);
        finish(run, mayHaveRun ? BestEffortOutcome.mayHaveRun(reason) : BestEffortOutcome.notRun(reason, RETRY_AFTER));
    }

    private boolean end(JobId id, BestEffortOutcome answer) {
        ActiveJob run = jobs.get(id);
        if (run == null) {
            return false;
        }
        events.write(Event.JOB_ENDED_EARLY, id, run.job().route().name(), answer.reason());
        finish(run, answer);
        return true;
    }

    private void finish(ActiveJob run, BestEffortOutcome answer) {
        if (!jobs.remove(run.job().id(), run)) {
            return;
        }
        withoutRoom.remove(run.job().id());
        run.tasksByAgent().forEach((agent, indexes) -> {
            run.tasksAssignedTo(agent)
                    .forEach(index -> board.releaseAssignment(agent, run.job().resourcesPerTask()));
            ports.stopper().stop(agent, run.job().id(), indexes);
        });
        observer.outcomeDecided(run.job().route().name(), answer, run.age(newestNanos));
        run.notifyWaiters(answer);
    }
}
