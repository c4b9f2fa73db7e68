package org.gypsumflow.traffic;

import java.net.ConnectException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gypsumflow.command.AgentScheduler;
import org.gypsumflow.command.AgentScheduler.Actions;
import org.gypsumflow.command.AgentScheduler.FinishedAssignment;
import org.gypsumflow.command.AgentScheduler.TaskRun;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.WorkerLease;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.model.WorkerReport;

/**
 * Session of a best-effort agent with its worker: executes the scheduler's actions there, renews the lease of the runs,
 * and acknowledges finished ones.
 *
 * <p>Confined to one executor.
 */
final class WorkerSession {
    /** Maximum time that the worker may delay its listing; well below the lease, so that one call may be lost. */
    private static final Duration MAX_LISTING_DELAY = Duration.ofMillis(300);
    /**
     * Delay before a stop or a renewal that the worker left unanswered is sent again. Stops are repeated until the run
     * has ended, renewals until the worker responds.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    /**
     * Added to the fencing token when the worker has seen a higher one: one hour, as tokens start from the wall clock.
     */
    private static final long FENCING_TOKEN_STEP_MILLIS = 3_600_000;

    private final SerialExecutor executor;
    private final TimeSource time;
    private final AgentScheduler scheduler;
    private final WorkerClient client;
    private final Optional<RecoveringWorkerClient> recoveringClient;
    private final EventLog events;
    private final DecisionCounter counter;
    private final Callbacks callbacks;

    private long fencingToken;
    private long workerStartedAtMillis;
    private WorkerLease lease = WorkerLease.none();
    private long acknowledgedThrough;
    private boolean renewalDue;
    private boolean renewalPending;
    private boolean unresponsive;
    private boolean untrackedRunsListed;
    private long lastResponseNanos;

    /**
     * Callbacks to the agent.
     *
     * @param resultListener receives each finished assignment
     * @param afterResults runs after all results known at that time were passed on, so that they can be reported
     *     together
     * @param contactCheck looks for a pause of this process and for lost contacts, and has the scheduler stop the tasks of
     *     the entries concerned
     * @param hasContact tells whether the contact to an entry is confirmed, which it has to be when a task of it starts
     */
    record Callbacks(
            Consumer<FinishedAssignment> resultListener,
            Runnable afterResults,
            Runnable contactCheck,
            Predicate<MemberName> hasContact) {}

    /**
     * Creates a session without a worker.
     *
     * @param features tells whether calls without a response are sent again
     * @param counter counts such calls
     * @param callbacks callbacks to the agent
     */
    WorkerSession(
            SerialExecutor executor,
            TimeSource time,
            AgentScheduler scheduler,
            WorkerClient client,
            EventLog events,
            DispatchFeatures features,
            DecisionCounter counter,
            Callbacks callbacks) {
        this.executor = executor;
        this.time = time;
        this.scheduler = scheduler;
        this.recoveringClient = features.promptCallRecovery()
                ? Optional.of(RecoveringWorkerClient.create(
                        executor, time, client, this::leaseOfRepeatedStart, events, counter))
                : Optional.empty();
        this.client =
                recoveringClient.<WorkerClient>map(recovering -> recovering).orElse(client);
        this.counter = counter;
        this.events = events;
        this.callbacks = callbacks;
        this.fencingToken = time.currentTimeMillis();
    }

    /** Applies a worker's report; a new incarnation of the worker is asked for its task listing immediately. */
    void workerReported(WorkerReport report) {
        boolean newIncarnation = scheduler.workerReported(report, time.nanoTime());
        if (newIncarnation) {
            recoveringClient.ifPresent(RecoveringWorkerClient::incarnationChanged);
            workerStartedAtMillis = report.startedAtMillis();
            lease = lease.atNextIncarnation();
            untrackedRunsListed = false;
            acknowledgedThrough = 0;
            lastResponseNanos = time.nanoTime();
            events.write(
                    Event.WORKER_CHANGED,
                    report.worker(),
                    report.startedAtMillis(),
                    report.service(),
                    report.draining(),
                    report.capacity());
            renewalDue = true;
        } else if (report.startedAtMillis() == workerStartedAtMillis
                && report.clockMillis() >= 0
                && lease.isClockKnown()) {
            lease.applyClockReading(report.clockMillis(), time.nanoTime());
        }
        executeActions();
    }

    /** Records that a worker deregistered; the next renewal shows whether its process still runs. */
    void workerDeregistered(String worker, long startedAtMillis) {
        renewalDue = true;
        scheduler.workerDeregistered(worker, startedAtMillis, time.nanoTime());
        executeActions();
    }

    /**
     * Executes the actions that the scheduler has decided on since the last call, then renews the lease if necessary.
     */
    void executeActions() {
        applyDecisions();
        renew();
    }

    private void applyDecisions() {
        boolean firstListingDue = !lease.isClockKnown() && !unresponsive;
        scheduler.setStartsAllowed(firstListingDue || mayExtendLease(time.nanoTime()), time.nanoTime());
        Actions actions = scheduler.drainActions();
        while (!actions.isEmpty()) {
            actions.finishedAssignments().forEach(callbacks.resultListener());
            actions.runsToStop().forEach(this::stop);
            actions.runsToStart().forEach(this::start);
            actions = scheduler.drainActions();
        }
        callbacks.afterResults().run();
    }

    private void start(TaskRun run) {
        // Read before the check: a delay after it shortens the lease, so that the worker rejects the start.
        long requestedNanos = time.nanoTime();
        if (!mayStart(run.task(), run.number())) {
            renewalDue = true;
            scheduler.startRejected(run.task(), run.number(), false, false, time.nanoTime());
            return;
        }
        long startedAtMillis = workerStartedAtMillis;
        long token = fencingToken;
        executor.whenDone(
                client.start(run.task(), run.number(), run.specification(), lease.request(requestedNanos), token),
                (response, failure) -> runIfSameIncarnation(startedAtMillis, () -> {
                    if (failure == null) {
                        startCompleted(run, token, response);
                    } else {
                        startFailed(run, requestedNanos, failure);
                    }
                }));
    }

    /**
     * Returns whether a run may start now. This process may have been held up since the scheduler decided on the start, so
     * that the entry that assigned the task may have assigned it elsewhere meanwhile.
     */
    private boolean mayStart(BestEffortTaskId task, RunNumber number) {
        callbacks.contactCheck().run();
        return scheduler
                        .ownerOfStartingRun(task, number)
                        .filter(callbacks.hasContact())
                        .isPresent()
                && mayExtendLease(time.nanoTime());
    }

    private void startCompleted(TaskRun run, long token, StartResponse response) {
        responseReceived(response.clockMillis());
        switch (response.status()) {
            case STARTED -> scheduler.runStarted(run.task(), run.number(), time.nanoTime());
            case OLD_RUN -> scheduler.startRejected(run.task(), run.number(), true, false, time.nanoTime());
            case NO_ROOM, TOO_LATE -> scheduler.startRejected(run.task(), run.number(), false, false, time.nanoTime());
            case UNDECIDED -> fence(run, "rejected after a copy without a response");
            case REFUSED -> scheduler.startRejected(run.task(), run.number(), false, true, time.nanoTime());
            case FENCED -> {
                raiseFencingToken(token);
                scheduler.startRejected(run.task(), run.number(), false, false, time.nanoTime());
            }
        }
        if (response.status() != StartStatus.STARTED) {
            events.write(Event.START_REJECTED, run.task(), run.number().value(), response.status());
        }
    }

    private void startFailed(TaskRun run, long requestedNanos, Throwable failure) {
        if (provesWorkerEnded(failure)) {
            scheduler.startRejected(run.task(), run.number(), false, false, time.nanoTime());
            workerExited("a start", requestedNanos, failure);
            return;
        }
        callFailed("a start", failure);
        fence(run, "no response");
    }

    /** Stops a run that the worker may have started or may start late, so that its task can start elsewhere. */
    private void fence(TaskRun run, String reason) {
        scheduler.startUnconfirmed(run.task(), run.number());
        if (recoveringClient.isPresent()) {
            counter.increment("runs_fenced", reason.replace(' ', '_'));
            events.write(Event.RUN_FENCED, run.task(), run.number().value(), reason);
        }
    }

    /** Requests the lease of another copy of a start, which may reach the worker after the first one's lease has ended. */
    private OptionalLong leaseOfRepeatedStart(BestEffortTaskId task, RunNumber number) {
        long requestedNanos = time.nanoTime();
        return mayStart(task, number) ? OptionalLong.of(lease.request(requestedNanos)) : OptionalLong.empty();
    }

    private void stop(TaskRun run) {
        long startedAtMillis = workerStartedAtMillis;
        long token = fencingToken;
        long requestedNanos = time.nanoTime();
        executor.whenDone(
                client.stop(run.task(), run.number(), token),
                (ignored, failure) -> runIfSameIncarnation(
                        startedAtMillis, () -> stopCompleted(run, token, requestedNanos, failure)));
    }

    private void stopCompleted(TaskRun run, long token, long requestedNanos, Throwable failure) {
        if (failure == null) {
            scheduler.stopAcknowledged(run.task(), run.number(), time.nanoTime());
            return;
        }
        if (isFenced(failure)) {
            raiseFencingToken(token);
        }
        if (provesWorkerEnded(failure)) {
            workerExited("a stop", requestedNanos, failure);
        } else {
            callFailed("a stop", failure);
        }
        executor.schedule(RETRY_DELAY, () -> {
            if (scheduler.isStopping(run.task(), run.number())) {
                stop(run);
            }
        });
    }

    private void renew() {
        expireLease();
        if (!isRenewalDue()) {
            return;
        }
        // Read before the check, as for a start. This process may have been held up since the check before this action.
        long requestedNanos = time.nanoTime();
        callbacks.contactCheck().run();
        applyDecisions();
        if (!isRenewalDue()) {
            return;
        }
        renewalPending = true;
        long startedAtMillis = workerStartedAtMillis;
        boolean extendsLease = mayExtendLease(time.nanoTime());
        boolean mayWait = lease.isClockKnown() && !unresponsive && scheduler.activeRunCount() > 0;
        LeaseRenewal renewal = new LeaseRenewal(
                fencingToken,
                acknowledgedThrough,
                extendsLease ? lease.request(requestedNanos) : -1,
                mayWait ? MAX_LISTING_DELAY : Duration.ZERO);
        renewalDue = false;
        executor.whenDone(
                client.renew(renewal),
                (listing, failure) -> renewalCompleted(startedAtMillis, renewal, requestedNanos, listing, failure));
    }

    private boolean isRenewalDue() {
        renewalDue |= lease.isClockKnown() && !lease.canRequest(time.nanoTime());
        return !renewalPending
                && workerStartedAtMillis != 0
                && (scheduler.activeRunCount() > 0 || renewalDue || unresponsive);
    }

    private void renewalCompleted(
            long startedAtMillis, LeaseRenewal renewal, long requestedNanos, TaskListing listing, Throwable failure) {
        renewalPending = false;
        if (startedAtMillis != workerStartedAtMillis) {
            executeActions();
        } else if (failure != null) {
            renewalFailed(renewal, requestedNanos, failure);
        } else if (listing.workerStartedAtMillis() != 0 && listing.workerStartedAtMillis() != startedAtMillis) {
            // A new incarnation, whose report is about to come.
            executor.schedule(RETRY_DELAY, this::executeActions);
        } else {
            applyListing(listing, requestedNanos);
            executeActions();
        }
    }

    private void renewalFailed(LeaseRenewal renewal, long requestedNanos, Throwable failure) {
        if (isFenced(failure)) {
            raiseFencingToken(renewal.fencingToken());
        }
        if (provesWorkerEnded(failure)) {
            workerExited("a renewal", requestedNanos, failure);
        } else {
            callFailed("a renewal", failure);
            renewalDue = true;
        }
        applyDecisions();
        executor.schedule(RETRY_DELAY, this::executeActions);
    }

    private void applyListing(TaskListing listing, long requestedNanos) {
        long now = time.nanoTime();
        responseReceived(listing.clockMillis());
        Set<BestEffortTaskId> listed = new HashSet<>();
        for (FinishedTask finished : listing.finished()) {
            listed.add(finished.task());
            if (finished.sequenceNumber() > acknowledgedThrough) {
                acknowledgedThrough = finished.sequenceNumber();
                renewalDue = true;
                scheduler.runFinished(finished.task(), finished.runNumber(), finished.outcome(), now);
            }
        }
        untrackedRunsListed = false;
        for (RunningTask running : listing.running()) {
            listed.add(running.task());
            if (!scheduler.runProgressed(running.task(), running.runNumber(), running.percentDone(), now)) {
                untrackedRunsListed = true;
                events.write(
                        Event.UNTRACKED_RUN_STOPPED,
                        running.task(),
                        running.runNumber().value());
                stop(new TaskRun(running.task(), running.runNumber(), ""));
            }
        }
        logLostRuns(scheduler.reconcile(listed, requestedNanos, now), "the worker does not list them");
    }

    /**
     * Records that the worker refused the connection for a call. While runs are left that it has not confirmed before, it
     * counts as unresponsive, so that they are resolved by their own calls, a new incarnation, or the end of the lease.
     */
    private void workerExited(String call, long requestedNanos, Throwable failure) {
        int lostRuns = scheduler.workerExited(requestedNanos, time.nanoTime());
        logLostRuns(lostRuns, call + " was refused, no process listens");
        if (scheduler.activeRunCount() > 0) {
            callFailed(call, failure);
        } else {
            events.write(Event.WORKER_UNRESPONSIVE, call, failure);
            unresponsive = false;
        }
    }

    private void logLostRuns(int runs, String evidence) {
        if (runs > 0) {
            long now = time.nanoTime();
            events.write(
                    Event.RUNS_LOST,
                    runs,
                    evidence,
                    Duration.ofNanos(now - lastResponseNanos).toMillis(),
                    lease.sinceLastRequest(now).map(Duration::toMillis).orElse(-1L));
        }
    }

    private void runIfSameIncarnation(long startedAtMillis, Runnable action) {
        if (startedAtMillis == workerStartedAtMillis) {
            action.run();
        }
        executeActions();
    }

    private void responseReceived(long clockMillis) {
        lastResponseNanos = time.nanoTime();
        if (unresponsive) {
            unresponsive = false;
            scheduler.setWorkerResponsive(true, time.nanoTime());
        }
        if (clockMillis >= 0) {
            lease.applyClockReading(clockMillis, lastResponseNanos);
        }
    }

    /**
     * Returns whether a start or a renewal may extend the lease, which all runs hold together. While the worker leaves
     * calls unanswered it must not, so that the lease ends and the tasks can start elsewhere. Nor while a run goes on
     * that has to be stopped because its entry is lost or because this agent does not track it: the entry starts that
     * task elsewhere after a bounded time.
     */
    private boolean mayExtendLease(long nowNanos) {
        return !unresponsive
                && !untrackedRunsListed
                && lease.canRequest(nowNanos)
                && !scheduler.isStopOverdue(nowNanos);
    }

    /** Counts the runs of a worker that does not respond as lost once none of them can still hold a lease. */
    private void expireLease() {
        long now = time.nanoTime();
        if (unresponsive && scheduler.activeRunCount() > 0 && !lease.mayBeHeld(now)) {
            logLostRuns(scheduler.leaseExpired(now), "the lease expired");
            executeActions();
        }
    }

    /**
     * Records a call without a usable response. The worker may carry it out later, so the fencing token rises: as soon
     * as the worker has accepted a later call, it rejects this one.
     */
    private void callFailed(String call, Throwable failure) {
        fencingToken++;
        if (!unresponsive) {
            unresponsive = true;
            events.write(Event.WORKER_UNRESPONSIVE, call, failure);
            scheduler.setWorkerResponsive(false, time.nanoTime());
        }
    }

    /** Raises the fencing token above that of a rejected call, unless it has risen since the call was sent. */
    private void raiseFencingToken(long rejectedToken) {
        if (fencingToken == rejectedToken) {
            fencingToken += FENCING_TOKEN_STEP_MILLIS;
        }
    }

    private static boolean isFenced(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof WorkerClient.FencedException;
    }

    /** Returns whether a call's failure proves that no worker process listens any more, see {@link WorkerClient}. */
    private static boolean provesWorkerEnded(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException;
    }
}
