package org.gypsumflow.traffic;

import java.net.ConnectException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.gypsumflow.command.AgentScheduler;
import org.gypsumflow.command.AgentScheduler.Actions;
import org.gypsumflow.command.AgentScheduler.FinishedAssignment;
import org.gypsumflow.command.AgentScheduler.TaskRun;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.model.WorkerReport;

/** Carries out at the worker what an agent's desk decides, and keeps the worker's lease; runs on one lane. */
final class WorkerSession {
    /** Longest time that the worker may hold back its account; well below the lease, so that one call may be lost. */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(300);
    /** Pause between calls to a worker that does not answer. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(100);
    /** Clocks of workers may run slow by this share. */
    private static final double CLOCK_DRIFT = 0.02;
    /** Added to the fencing token when the worker has seen a higher one: an hour of the clock that tokens come from. */
    private static final long TOKEN_STEP = 3_600_000;

    private final SerialExecutor lane;
    private final TimeSource time;
    private final AgentScheduler desk;
    private final WorkerClient port;
    private final EventLog events;
    private final Consumer<FinishedAssignment> ends;
    private final Runnable afterEnds;

    private long fencingToken;
    private long workerLife;
    private boolean clockKnown;
    private long clockOffsetMillis;
    private long acknowledged;
    private boolean unacknowledged;
    private boolean renewing;
    private boolean silent;
    private long answeredNanos;

    /**
     * Creates the driver of a worker.
     *
     * @param ends hears of each end
     * @param afterEnds runs after the ends that became known at one moment, so that they can be told together
     */
    WorkerSession(
            SerialExecutor lane,
            TimeSource time,
            AgentScheduler desk,
            WorkerClient port,
            EventLog events,
            Consumer<FinishedAssignment> ends,
            Runnable afterEnds) {
        this.lane = lane;
        this.time = time;
        this.desk = desk;
        this.port = port;
        this.events = events;
        this.ends = ends;
        this.afterEnds = afterEnds;
        this.fencingToken = time.currentTimeMillis();
    }

    /** Takes a worker's report; a new life of the worker is asked for its account at once. */
    void workerReported(WorkerReport report) {
        boolean newLife = desk.workerReported(report, time.nanoTime());
        if (newLife) {
            workerLife = report.startedAtMillis();
            clockKnown = false;
            acknowledged = 0;
            answeredNanos = time.nanoTime();
            events.write(
                    Event.WORKER_CHANGED,
                    report.worker(),
                    report.startedAtMillis(),
                    report.service(),
                    report.draining(),
                    report.capacity());
            unacknowledged = true;
        }
        executeActions();
    }

    /** Does what the desk has decided since the last call. */
    void executeActions() {
        Actions actions = desk.drainActions();
        while (!actions.isEmpty()) {
            actions.finishedAssignments().forEach(ends);
            actions.runsToStop().forEach(this::stop);
            actions.runsToStart().forEach(this::start);
            actions = desk.drainActions();
        }
        afterEnds.run();
        renew();
    }

    private void start(TaskRun run) {
        if (!clockKnown) {
            desk.startRejected(run.task(), run.number(), false, false, time.nanoTime());
            return;
        }
        long life = workerLife;
        lane.whenDone(
                port.start(run.task(), run.number(), run.specification(), leaseUntil(), fencingToken),
                (answer, failure) -> inLife(life, () -> started(run, answer, failure)));
    }

    private void started(TaskRun run, StartResponse answer, Throwable failure) {
        if (failure != null) {
            startFailed(run, failure);
            return;
        }
        answered(answer.clockMillis());
        switch (answer.status()) {
            case STARTED -> desk.runStarted(run.task(), run.number(), time.nanoTime());
            case OLD_RUN -> desk.startRejected(run.task(), run.number(), true, false, time.nanoTime());
            case NO_ROOM, TOO_LATE -> desk.startRejected(run.task(), run.number(), false, false, time.nanoTime());
            case REFUSED -> desk.startRejected(run.task(), run.number(), false, true, time.nanoTime());
            case FENCED -> {
                fencingToken += TOKEN_STEP;
                desk.startRejected(run.task(), run.number(), false, false, time.nanoTime());
            }
        }
        if (answer.status() != StartStatus.STARTED) {
            events.write(Event.START_REJECTED, run.task(), run.number().value(), answer.status());
        }
    }

    private void startFailed(TaskRun run, Throwable failure) {
        if (isUnreachable(failure)) {
            events.write(Event.WORKER_UNRESPONSIVE, "a start", failure);
            desk.workerExited(time.nanoTime());
            return;
        }
        notAnswered("a start", failure);
        desk.startUnconfirmed(run.task(), run.number());
    }

    private void stop(TaskRun run) {
        long life = workerLife;
        lane.whenDone(
                port.stop(run.task(), run.number(), fencingToken),
                (nothing, failure) -> inLife(life, () -> stopped(run, failure)));
    }

    private void stopped(TaskRun run, Throwable failure) {
        if (failure == null) {
            desk.stopAcknowledged(run.task(), run.number(), time.nanoTime());
            return;
        }
        if (isUnreachable(failure)) {
            desk.workerExited(time.nanoTime());
            return;
        }
        notAnswered("a stop", failure);
        lane.schedule(RETRY_PAUSE, () -> {
            if (desk.isStopping(run.task(), run.number())) {
                stop(run);
            }
        });
    }

    private void renew() {
        if (renewing || workerLife == 0 || (desk.activeRunCount() == 0 && !unacknowledged && !silent)) {
            return;
        }
        renewing = true;
        boolean mayWait = clockKnown && !silent && desk.activeRunCount() > 0;
        LeaseRenewal renewal = new LeaseRenewal(
                fencingToken, acknowledged, clockKnown ? leaseUntil() : -1, mayWait ? LONGEST_WAIT : Duration.ZERO);
        long life = workerLife;
        long asked = time.nanoTime();
        unacknowledged = false;
        lane.whenDone(port.renew(renewal), (account, failure) -> renewed(life, asked, account, failure));
    }

    private void renewed(long life, long askedNanos, TaskListing account, Throwable failure) {
        renewing = false;
        if (life != workerLife
                || (account != null
                        && account.workerStartedAtMillis() != 0
                        && account.workerStartedAtMillis() != life)) {
            executeActions();
            return;
        }
        if (failure == null) {
            take(account, askedNanos);
            executeActions();
            return;
        }
        if (isUnreachable(failure)) {
            events.write(Event.WORKER_UNRESPONSIVE, "a renewal", failure);
            desk.workerExited(time.nanoTime());
            silent = false;
            executeActions();
            return;
        }
        notAnswered("a renewal", failure);
        unacknowledged = true;
        Duration lapsed = BestEffortTimings.LEASE_DURATION.plusMillis(
                (long) (BestEffortTimings.LEASE_DURATION.toMillis() * CLOCK_DRIFT));
        if (time.nanoTime() - answeredNanos
                > lapsed.plus(BestEffortTimings.MAX_STOP_TIME).toNanos()) {
            desk.leaseExpired(time.nanoTime());
        }
        lane.schedule(RETRY_PAUSE, this::executeActions);
    }

    private void take(TaskListing account, long askedNanos) {
        long now = time.nanoTime();
        answered(account.clockMillis());
        Set<BestEffortTaskId> listed = new HashSet<>();
        for (FinishedTask finished : account.finished()) {
            listed.add(finished.task());
            if (finished.sequenceNumber() > acknowledged) {
                acknowledged = finished.sequenceNumber();
                unacknowledged = true;
                desk.runFinished(finished.task(), finished.runNumber(), finished.outcome(), now);
            }
        }
        for (RunningTask running : account.running()) {
            listed.add(running.task());
            if (!desk.runProgressed(running.task(), running.runNumber(), running.percentDone(), now)) {
                stop(new TaskRun(running.task(), running.runNumber(), ""));
            }
        }
        desk.reconcile(listed, askedNanos, now);
    }

    private void inLife(long life, Runnable action) {
        if (life == workerLife) {
            action.run();
        }
        executeActions();
    }

    private void answered(long clockMillis) {
        answeredNanos = time.nanoTime();
        if (silent) {
            silent = false;
            desk.setWorkerResponsive(true, time.nanoTime());
        }
        if (clockMillis >= 0) {
            clockKnown = true;
            clockOffsetMillis = clockMillis - localMillis();
        }
    }

    private void notAnswered(String call, Throwable failure) {
        if (!silent) {
            silent = true;
            events.write(Event.WORKER_UNRESPONSIVE, call, failure);
            desk.setWorkerResponsive(false, time.nanoTime());
        }
    }

    private long leaseUntil() {
        return localMillis() + clockOffsetMillis + BestEffortTimings.LEASE_DURATION.toMillis();
    }

    private long localMillis() {
        return Duration.ofNanos(time.nanoTime()).toMillis();
    }

    private static boolean isUnreachable(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException;
    }
}
