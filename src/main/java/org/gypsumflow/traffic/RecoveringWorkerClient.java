package org.gypsumflow.traffic;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.recovery.CallKind;
import org.gypsumflow.command.recovery.CallRecovery;
import org.gypsumflow.command.recovery.CallRecovery.Decision;
import org.gypsumflow.command.recovery.PendingCall;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;

/**
 * Sends a call to the worker again when {@link CallRecovery} decides so, and passes on the first response to any copy.
 *
 * <p>The copies of a start have the same run number: the worker starts a run at most once under it, whichever copies it
 * carries out and however late. Their lease is requested anew, and only while it may be extended. The copies of a renewal
 * leave the lease unchanged.
 *
 * <p>Confined to one executor, on which the futures complete.
 */
final class RecoveringWorkerClient implements WorkerClient {
    private record Run(BestEffortTaskId task, RunNumber number) {}

    /** Requests the lease of another copy of a start. */
    @FunctionalInterface
    interface RepeatedStartLease {
        /** Returns the end of the lease by the worker's clock in milliseconds, or empty if the run must not start. */
        OptionalLong request(BestEffortTaskId task, RunNumber number);
    }

    /** A call and its copies. */
    private final class Call<T> {
        private final PendingCall state;
        private final String name;
        private final Supplier<CompletableFuture<T>> copySender;
        private final Function<T, T> ambiguousResponse;
        private final CompletableFuture<T> result = new CompletableFuture<>();
        private int unansweredCopies;

        /**
         * Creates a call of which nothing was sent.
         *
         * @param copySender sends a copy, or returns null if none may be sent
         * @param ambiguousResponse what a response means when several copies were sent
         */
        private Call(
                PendingCall state,
                String name,
                Supplier<CompletableFuture<T>> copySender,
                Function<T, T> ambiguousResponse) {
            this.state = state;
            this.name = name;
            this.copySender = copySender;
            this.ambiguousResponse = ambiguousResponse;
        }

        private CompletableFuture<T> send(CompletableFuture<T> firstCopy) {
            calls.add(this);
            watch(firstCopy);
            scheduleCheck();
            return result;
        }

        private void watch(CompletableFuture<T> copy) {
            int number = state.copies();
            long sentNanos = time.nanoTime();
            unansweredCopies++;
            executor.whenDone(copy, (response, failure) -> {
                unansweredCopies--;
                if (failure == null) {
                    answered(number, sentNanos, response);
                } else {
                    failed(failure);
                }
            });
        }

        private void answered(int copy, long sentNanos, T response) {
            long now = time.nanoTime();
            if (recovery.answered(state, copy, Duration.ofNanos(now - sentNanos), now)) {
                counter.increment("calls_unanswered", state.kind().label());
            }
            complete(state.copies() == 1 ? response : ambiguousResponse.apply(response));
        }

        private void failed(Throwable failure) {
            if (result.isDone()) {
                return;
            }
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            if (cause instanceof ConnectException || cause instanceof FencedException) {
                fail(cause);
            } else if (unansweredCopies == 0) {
                if (recovery.decideAfterFailure(state, time.nanoTime()) != Decision.REPEAT || !repeat()) {
                    fail(cause);
                }
            }
        }

        private void checkAt(long nowNanos) {
            if (result.isDone()) {
                return;
            }
            Decision decision = recovery.decide(state, nowNanos);
            if (decision == Decision.REPEAT && !repeat()) {
                state.stopRepeating();
            } else if (decision == Decision.GIVE_UP) {
                fail(new TimeoutException("no response to " + state.copies() + " copies"));
            }
        }

        private boolean repeat() {
            CompletableFuture<T> copy = copySender.get();
            if (copy == null) {
                return false;
            }
            long now = time.nanoTime();
            recovery.repeated(state, now);
            counter.increment("calls_repeated", state.kind().label());
            events.write(Event.CALL_REPEATED, name, state.age(now).toMillis(), state.copies());
            watch(copy);
            return true;
        }

        private void fail(Throwable failure) {
            end();
            // A refused copy proves nothing about the copies before it.
            boolean proves = state.kind() != CallKind.START || state.copies() == 1;
            result.completeExceptionally(
                    proves ? failure : new IOException("no copy of the start got a response", failure));
        }

        private void complete(T response) {
            end();
            result.complete(response);
        }

        private void end() {
            calls.remove(this);
            recovery.ended(state);
        }
    }

    private final SerialExecutor executor;
    private final TimeSource time;
    private final WorkerClient client;
    private final RepeatedStartLease leaseOfRepeatedStart;
    private final EventLog events;
    private final DecisionCounter counter;
    private final CallRecovery recovery = CallRecovery.create();
    private final Set<Call<?>> calls = new LinkedHashSet<>();
    private final Map<Run, Call<StartResponse>> starts = new HashMap<>();

    private RecoveringWorkerClient(
            SerialExecutor executor,
            TimeSource time,
            WorkerClient client,
            RepeatedStartLease leaseOfRepeatedStart,
            EventLog events,
            DecisionCounter counter) {
        this.executor = executor;
        this.time = time;
        this.client = client;
        this.leaseOfRepeatedStart = leaseOfRepeatedStart;
        this.events = events;
        this.counter = counter;
    }

    /**
     * Creates a client without pending calls.
     *
     * @param client sends each copy of a call
     * @param leaseOfRepeatedStart requests the lease of another copy of a start
     */
    static RecoveringWorkerClient create(
            SerialExecutor executor,
            TimeSource time,
            WorkerClient client,
            RepeatedStartLease leaseOfRepeatedStart,
            EventLog events,
            DecisionCounter counter) {
        return new RecoveringWorkerClient(executor, time, client, leaseOfRepeatedStart, events, counter);
    }

    /** Sends no more copies of the starts under way, which were meant for the previous incarnation of the worker. */
    void incarnationChanged() {
        starts.values().forEach(start -> start.state.stopRepeating());
    }

    @Override
    public CompletableFuture<StartResponse> start(
            BestEffortTaskId task, RunNumber number, String specification, long leaseUntilMillis, long fencingToken) {
        Run run = new Run(task, number);
        Call<StartResponse> call = new Call<>(
                recovery.sent(CallKind.START, Duration.ZERO, time.nanoTime()),
                "the start of task " + task + " run " + number.value(),
                () -> {
                    OptionalLong lease = leaseOfRepeatedStart.request(task, number);
                    return lease.isEmpty()
                            ? null
                            : client.start(task, number, specification, lease.getAsLong(), fencingToken);
                },
                RecoveringWorkerClient::ambiguousStart);
        starts.put(run, call);
        call.result.whenComplete((response, failure) -> starts.remove(run, call));
        return call.send(client.start(task, number, specification, leaseUntilMillis, fencingToken));
    }

    /**
     * Returns what the response to one of several copies of a start proves. A run that the worker calls old was started by
     * another copy and has ended, or had ended before; its listing tells. No other rejection holds for the other copies.
     */
    private static StartResponse ambiguousStart(StartResponse response) {
        return switch (response.status()) {
            case STARTED -> response;
            case OLD_RUN -> new StartResponse(StartStatus.STARTED, response.clockMillis());
            case NO_ROOM, TOO_LATE, FENCED, REFUSED, UNDECIDED ->
                new StartResponse(StartStatus.UNDECIDED, response.clockMillis());
        };
    }

    @Override
    public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber number, long fencingToken) {
        Call<StartResponse> start = starts.get(new Run(task, number));
        if (start != null) {
            start.state.stopRepeating();
        }
        Call<Void> call = new Call<>(
                recovery.sent(CallKind.STOP, Duration.ZERO, time.nanoTime()),
                "the stop of task " + task + " run " + number.value(),
                () -> client.stop(task, number, fencingToken),
                Function.identity());
        return call.send(client.stop(task, number, fencingToken));
    }

    @Override
    public CompletableFuture<TaskListing> renew(LeaseRenewal renewal) {
        long now = time.nanoTime();
        Duration maxWait = recovery.listingDelay(renewal.maxWait(), now);
        Call<TaskListing> call = new Call<>(
                recovery.sent(CallKind.LISTING, maxWait, now),
                "a renewal",
                () -> client.renew(
                        new LeaseRenewal(renewal.fencingToken(), renewal.acknowledgedThrough(), -1, Duration.ZERO)),
                Function.identity());
        CompletableFuture<TaskListing> result = call.send(client.renew(new LeaseRenewal(
                renewal.fencingToken(), renewal.acknowledgedThrough(), renewal.leaseUntilMillis(), maxWait)));
        return result.thenApply(this::adoptListedRuns);
    }

    /** Confirms the starts that got no response although they were carried out. */
    private TaskListing adoptListedRuns(TaskListing listing) {
        if (!starts.isEmpty()) {
            listing.running().forEach(run -> adopt(new Run(run.task(), run.runNumber()), listing.clockMillis()));
            listing.finished().forEach(run -> adopt(new Run(run.task(), run.runNumber()), listing.clockMillis()));
        }
        return listing;
    }

    private void adopt(Run run, long clockMillis) {
        Call<StartResponse> start = starts.get(run);
        if (start != null && start.state.copies() > 1) {
            counter.increment("runs_adopted", "listed");
            events.write(Event.RUN_ADOPTED, run.task(), run.number().value());
            start.complete(new StartResponse(StartStatus.STARTED, clockMillis));
        }
    }

    private void scheduleCheck() {
        recovery.scheduleCheck(time.nanoTime()).ifPresent(delay -> executor.schedule(delay, this::check));
    }

    private void check() {
        long now = time.nanoTime();
        if (recovery.check(now)) {
            List.copyOf(calls).forEach(call -> call.checkAt(now));
        }
        recovery.scheduleCheckAgain(now).ifPresent(delay -> executor.schedule(delay, this::check));
        scheduleCheck();
    }
}
