package org.gypsumflow.world;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;

/**
 * One incarnation of a worker, which treats calls as the platform's page on its protocol says.
 *
 * <p>Where the page leaves a choice, the worker takes the one that is easier on its agent: the lease ends runs at its
 * expiry even while the worker is frozen, a renewal is answered at once while an end is unacknowledged, a run number
 * lower than that of a run that is there is rejected, and a higher one finds no room until that run has ended.
 */
final class FakeWorker {
    /** The longest lease that the worker grants. */
    private static final long MAX_LEASE_MILLIS = 1000;

    private static final int MAX_STOP_MICROS = 50_000;
    private static final double MAX_CLOCK_DRIFT = 0.02;
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** A run on a worker, from its start to its end. */
    static final class Run {
        final BestEffortTaskId task;
        final RunNumber number;
        final String worker;
        final long startedNanos;
        long endedNanos = Long.MAX_VALUE;
        String ending = "running";
        private final Resources resources;

        private Run(BestEffortTaskId task, RunNumber number, String worker, long startedNanos, Resources resources) {
            this.task = task;
            this.number = number;
            this.worker = worker;
            this.startedNanos = startedNanos;
            this.resources = resources;
        }

        boolean overlaps(Run other) {
            return startedNanos < other.endedNanos && other.startedNanos < endedNanos;
        }

        @Override
        public String toString() {
            String end = endedNanos == Long.MAX_VALUE ? "now" : BestEffortSimulation.seconds(endedNanos);
            return "task " + task + " run " + number.value() + " on " + worker + " from "
                    + BestEffortSimulation.seconds(startedNanos) + " to " + end + " (" + ending + ")";
        }
    }

    /** What a task does, encoded in its specification. */
    record TaskBehaviour(int cpuMillicores, int millis, boolean fails) {
        static TaskBehaviour parse(String specification) {
            String[] fields = specification.split(" ", 3);
            return new TaskBehaviour(
                    Integer.parseInt(fields[0]), Integer.parseInt(fields[1]), Boolean.parseBoolean(fields[2]));
        }

        String specification() {
            return cpuMillicores + " " + millis + " " + fails;
        }

        Resources resources() {
            return Resources.of(cpuMillicores, 1, 0);
        }
    }

    final String id;
    final long bornMillis;
    final Resources capacity;
    private final VirtualClock clock;
    private final Random random;
    private final String label;
    private final List<Run> history;
    private final Consumer<String> trace;
    private final long bornNanos;
    private final double clockRate;
    private final Map<BestEffortTaskId, Run> running = new LinkedHashMap<>();
    private final Map<BestEffortTaskId, Integer> highestEnded = new HashMap<>();
    private final List<FinishedTask> finished = new ArrayList<>();
    private final List<Runnable> waitingRenewals = new ArrayList<>();
    private final List<Runnable> heldBack = new ArrayList<>();
    private final List<CompletableFuture<?>> openCalls = new ArrayList<>();
    private long highestToken;
    private long leaseUntilMillis;
    private long endCount;
    private boolean frozen;
    private boolean dead;

    FakeWorker(
            VirtualClock clock,
            Random random,
            String id,
            String agent,
            long bornMillis,
            Resources capacity,
            List<Run> history,
            Consumer<String> trace) {
        this.clock = clock;
        this.random = random;
        this.id = id;
        this.label = id + " of " + agent + " born " + bornMillis;
        this.bornMillis = bornMillis;
        this.capacity = capacity;
        this.history = history;
        this.trace = trace;
        this.bornNanos = clock.nanos();
        this.clockRate = 1 - random.nextDouble() * MAX_CLOCK_DRIFT;
    }

    boolean isDead() {
        return dead;
    }

    /** Ends the process and everything that it runs. */
    void die(String ending) {
        List.copyOf(running.values()).forEach(run -> end(run, RunOutcome.LOST, ending));
        dead = true;
        heldBack.clear();
        waitingRenewals.clear();
        openCalls.forEach(call -> call.completeExceptionally(new IOException("the connection was reset")));
        openCalls.clear();
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        List<Runnable> actions = List.copyOf(heldBack);
        heldBack.clear();
        actions.forEach(this::run);
    }

    /** Runs an action of this process now, or once it is no longer frozen; never after its death. */
    void run(Runnable action) {
        if (frozen && !dead) {
            heldBack.add(action);
        } else if (!dead) {
            action.run();
        }
    }

    /** Registers a call that fails if the worker dies before its response. */
    void callOpened(CompletableFuture<?> call) {
        openCalls.removeIf(CompletableFuture::isDone);
        openCalls.add(call);
    }

    StartResponse start(
            BestEffortTaskId task, RunNumber number, String specification, long untilMillis, long fencingToken) {
        StartStatus status = decideStart(task, number, specification, untilMillis, fencingToken);
        trace.accept(label + ": start of " + task + " run " + number.value() + " -> " + status);
        return new StartResponse(status, clockMillis());
    }

    private StartStatus decideStart(
            BestEffortTaskId task, RunNumber number, String specification, long untilMillis, long fencingToken) {
        if (isFenced(fencingToken)) {
            return StartStatus.FENCED;
        }
        if (untilMillis <= clockMillis()) {
            return StartStatus.TOO_LATE;
        }
        extendLease(untilMillis);
        Run present = running.get(task);
        if (present != null && present.number.equals(number)) {
            return StartStatus.STARTED;
        }
        if (number.value() <= highestEnded.getOrDefault(task, 0)
                || (present != null && present.number.compareTo(number) > 0)) {
            return StartStatus.OLD_RUN;
        }
        TaskBehaviour behaviour = TaskBehaviour.parse(specification);
        Resources used = running.values().stream().map(run -> run.resources).reduce(Resources.NONE, Resources::plus);
        if (present != null || !capacity.minus(used).canFit(behaviour.resources())) {
            return StartStatus.NO_ROOM;
        }
        Run run = new Run(task, number, label, clock.nanos(), behaviour.resources());
        running.put(task, run);
        history.add(run);
        clock.schedule(
                Duration.ofMillis(behaviour.millis()),
                () -> run(() -> {
                    if (behaviour.fails()) {
                        end(run, RunOutcome.FAILED, "failed");
                    } else {
                        end(run, RunOutcome.DONE, "done");
                    }
                }));
        return StartStatus.STARTED;
    }

    /** Stops a run; returns false, having done nothing, for a token lower than the highest. */
    boolean stop(BestEffortTaskId task, RunNumber number, long fencingToken) {
        boolean fenced = isFenced(fencingToken);
        trace.accept(label + ": stop of " + task + " run " + number.value() + (fenced ? " -> FENCED" : ""));
        if (fenced) {
            return false;
        }
        highestEnded.merge(task, number.value(), Math::max);
        Run run = running.get(task);
        if (run != null && run.number.equals(number)) {
            clock.schedule(
                    Duration.ofNanos(random.nextInt(MAX_STOP_MICROS) * 1000L),
                    () -> end(run, RunOutcome.LOST, "stopped"));
        }
        return true;
    }

    /** Renews the lease; the listing follows now, or after the end of a run or the time that the renewal may wait. */
    boolean renew(LeaseRenewal renewal, Consumer<TaskListing> response) {
        if (isFenced(renewal.fencingToken())) {
            return false;
        }
        finished.removeIf(end -> end.sequenceNumber() <= renewal.acknowledgedThrough());
        if (renewal.leaseUntilMillis() >= 0) {
            extendLease(renewal.leaseUntilMillis());
        }
        if (renewal.maxWait().isZero() || !finished.isEmpty()) {
            response.accept(listing());
            return true;
        }
        boolean[] answered = new boolean[1];
        Runnable answer = () -> {
            if (!answered[0]) {
                answered[0] = true;
                response.accept(listing());
            }
        };
        waitingRenewals.add(answer);
        clock.schedule(renewal.maxWait(), () -> run(answer));
        return true;
    }

    private TaskListing listing() {
        List<RunningTask> listed = running.values().stream()
                .map(run -> new RunningTask(run.task, run.number, 50))
                .toList();
        return new TaskListing(bornMillis, clockMillis(), listed, finished);
    }

    private boolean isFenced(long fencingToken) {
        highestToken = Math.max(highestToken, fencingToken);
        return fencingToken < highestToken;
    }

    private void extendLease(long untilMillis) {
        long granted = Math.min(untilMillis, clockMillis() + MAX_LEASE_MILLIS);
        if (granted > leaseUntilMillis) {
            leaseUntilMillis = granted;
            scheduleExpiry();
        }
    }

    private void scheduleExpiry() {
        long remainingNanos = (long) ((leaseUntilMillis - clockMillis()) * NANOS_PER_MILLI / clockRate);
        clock.schedule(Duration.ofNanos(Math.max(0, remainingNanos)), () -> {
            if (clockMillis() >= leaseUntilMillis) {
                List.copyOf(running.values()).forEach(run -> end(run, RunOutcome.LOST, "lapsed"));
            }
        });
    }

    long clockMillis() {
        return (long) ((clock.nanos() - bornNanos) / NANOS_PER_MILLI * clockRate);
    }

    private void end(Run run, RunOutcome outcome, String ending) {
        if (!running.remove(run.task, run)) {
            return;
        }
        run.endedNanos = clock.nanos();
        run.ending = ending;
        trace.accept(label + ": end of " + run.task + " run " + run.number.value() + ", " + ending);
        highestEnded.merge(run.task, run.number.value(), Math::max);
        finished.add(new FinishedTask(++endCount, run.task, run.number, outcome));
        List<Runnable> answers = List.copyOf(waitingRenewals);
        waitingRenewals.clear();
        answers.forEach(this::run);
    }
}
