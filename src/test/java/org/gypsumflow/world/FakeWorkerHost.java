package org.gypsumflow.world;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.model.WorkerReport;
import org.gypsumflow.traffic.BestEffortAgent;
import org.gypsumflow.traffic.WorkerClient;

/** The incarnations of the worker on one agent's host, their reports, and the calls of the agent. */
final class FakeWorkerHost {
    static final ServiceName SERVICE = ServiceName.of("service");
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(1500);
    /** Timeouts of the production client. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private static final Duration IDLE_TIME_BEFORE_CLOSING = Duration.ofSeconds(1);
    private static final int MAX_LATENCY_MICROS = 600;
    private static final int MAX_CONNECTIONS = 4;
    /** A worker serves calls before its first report arrives: the page offers a header against calls that meet it. */
    private static final int MAX_FIRST_REPORT_MILLIS = 50;

    /** What happens to a call. */
    enum Fate {
        ANSWERED,
        CLOSED_BEFORE_EXECUTION,
        CLOSED_AFTER_EXECUTION,
        NEVER_EXECUTED,
        ANSWER_LOST,
        EXECUTED_LATE
    }

    /** Draws the fate of a call. */
    @FunctionalInterface
    interface FateSource {
        /** Returns the fate of the next call. */
        Fate next();
    }

    private final VirtualClock clock;
    private final Random random;
    private final String agentName;
    private final AvailabilityZone zone;
    private final Resources capacity;
    private final List<FakeWorker.Run> runs;
    private final Consumer<String> trace;
    private FakeWorker worker;
    private WorkerReport latestReport;
    private WorkerReport lastReportOfPreviousIncarnation;
    private int incarnations;
    private String nextId;
    private long sequence;
    private boolean draining;
    private FateSource fates = () -> Fate.ANSWERED;
    private FateSource stopFates = () -> Fate.ANSWERED;
    private boolean closesIdleConnections;
    private long lastCallNanos;
    private int closedConnections;
    private MemberProcess agentProcess;
    private BestEffortAgent agent;

    FakeWorkerHost(
            VirtualClock clock,
            Random random,
            String agentName,
            AvailabilityZone zone,
            Resources capacity,
            List<FakeWorker.Run> runs,
            Consumer<String> trace) {
        this.clock = clock;
        this.random = random;
        this.agentName = agentName;
        this.zone = zone;
        this.capacity = capacity;
        this.runs = runs;
        this.trace = trace;
        this.nextId = "i-" + agentName + "-0";
    }

    /** Sends further reports to another incarnation of the agent. */
    void setAgent(MemberProcess process, BestEffortAgent newAgent) {
        this.agentProcess = process;
        this.agent = newAgent;
    }

    void setFates(FateSource newFates) {
        this.fates = newFates;
    }

    /** Sets the fates of those stops that would be answered otherwise. */
    void setStopFates(FateSource newFates) {
        this.stopFates = newFates;
    }

    void setClosesIdleConnections(boolean closes) {
        this.closesIdleConnections = closes;
    }

    /** Starts an incarnation, which reports soon and then regularly. */
    void startWorker() {
        lastReportOfPreviousIncarnation = latestReport;
        incarnations++;
        draining = false;
        sequence = 0;
        worker = new FakeWorker(clock, random, nextId, agentName, clock.millis() + incarnations, capacity, runs, trace);
        trace.accept("worker " + nextId + " of " + agentName + " starts, born " + worker.bornMillis);
        FakeWorker started = worker;
        clock.schedule(Duration.ofMillis(random.nextInt(MAX_FIRST_REPORT_MILLIS)), () -> reportRegularly(started));
    }

    /** Crashes the worker; connections are refused until its next incarnation starts. */
    void crash(Duration downTime, boolean keepsId) {
        if (worker.isDead()) {
            return;
        }
        trace.accept("worker of " + agentName + " crashes");
        worker.die("crashed");
        startAgainAfter(downTime, keepsId);
    }

    /** Reports that the worker drains, then ends what runs, deregisters the worker and starts another one. */
    void drainAndLeave(Duration drainTime, Duration downTime) {
        FakeWorker leaving = worker;
        draining = true;
        report();
        clock.schedule(drainTime, () -> {
            if (!leaving.isDead()) {
                trace.accept("worker of " + agentName + " deregisters");
                leaving.die("left");
                deliver(() -> agent.workerLeft(leaving.id, leaving.bornMillis));
                startAgainAfter(downTime, false);
            }
        });
    }

    void freeze(Duration duration) {
        FakeWorker frozenWorker = worker;
        frozenWorker.freeze();
        clock.schedule(duration, frozenWorker::thaw);
    }

    /** Delivers the last report of the previous incarnation, as when a partition delayed it. */
    void deliverReportOfPreviousIncarnation() {
        WorkerReport late = lastReportOfPreviousIncarnation;
        if (late != null) {
            trace.accept("late report of " + late.worker() + " born " + late.startedAtMillis());
            deliver(() -> agent.workerReported(late));
        }
    }

    WorkerClient clientOf(MemberProcess process) {
        return new WorkerClient() {
            @Override
            public CompletableFuture<StartResponse> start(
                    BestEffortTaskId task,
                    RunNumber run,
                    String specification,
                    long leaseUntilMillis,
                    long fencingToken) {
                return call(
                        process,
                        drawFate(),
                        CALL_TIMEOUT,
                        "a start of " + task,
                        (target, response) -> response.complete(
                                target.start(task, run, specification, leaseUntilMillis, fencingToken)));
            }

            @Override
            public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken) {
                Fate fate = drawFate();
                return call(
                        process,
                        fate == Fate.ANSWERED ? stopFates.next() : fate,
                        CALL_TIMEOUT,
                        "a stop of " + task,
                        (target, response) -> completeUnlessFenced(target.stop(task, run, fencingToken), response));
            }

            @Override
            public CompletableFuture<TaskListing> renew(LeaseRenewal renewal) {
                Duration timeout = CALL_TIMEOUT.plus(renewal.maxWait());
                return call(process, drawFate(), timeout, "a renewal", (target, response) -> {
                    if (!target.renew(renewal, response::complete)) {
                        response.completeExceptionally(WorkerClient.FencedException.create());
                    }
                });
            }
        };
    }

    private static void completeUnlessFenced(boolean done, CompletableFuture<Void> response) {
        if (done) {
            response.complete(null);
        } else {
            response.completeExceptionally(WorkerClient.FencedException.create());
        }
    }

    private <T> CompletableFuture<T> call(
            MemberProcess process,
            Fate fate,
            Duration timeout,
            String what,
            BiConsumer<FakeWorker, CompletableFuture<T>> execution) {
        CompletableFuture<T> result = new CompletableFuture<>();
        FakeWorker target = worker;
        if (target.isDead()) {
            fail(process, result, new ConnectException("connection refused"));
            return result;
        }
        if (fate != Fate.ANSWERED) {
            trace.accept(agentName + ": " + what + " is " + fate);
        }
        target.callOpened(result);
        clock.schedule(timeout, () -> process.run(() -> result.completeExceptionally(new TimeoutException())));
        CompletableFuture<T> response = new CompletableFuture<>();
        if (fate != Fate.CLOSED_BEFORE_EXECUTION && fate != Fate.NEVER_EXECUTED) {
            Duration delay = fate == Fate.EXECUTED_LATE ? Duration.ofMillis(2000L + random.nextInt(10_000)) : latency();
            clock.schedule(delay, () -> target.run(() -> execution.accept(target, response)));
        }
        if (fate == Fate.CLOSED_BEFORE_EXECUTION || fate == Fate.CLOSED_AFTER_EXECUTION) {
            fail(process, result, new IOException("the connection was closed before the response"));
        } else if (fate == Fate.ANSWERED) {
            response.whenComplete((value, failure) -> clock.schedule(
                    latency(),
                    () -> process.run(() -> {
                        if (failure == null) {
                            result.complete(value);
                        } else {
                            result.completeExceptionally(failure);
                        }
                    })));
        }
        return result;
    }

    private void fail(MemberProcess process, CompletableFuture<?> result, Exception failure) {
        clock.schedule(latency().multipliedBy(2), () -> process.run(() -> result.completeExceptionally(failure)));
    }

    /** Connections that were idle are closed as the first calls after the idle time use them. */
    private Fate drawFate() {
        boolean idle = clock.nanos() - lastCallNanos > IDLE_TIME_BEFORE_CLOSING.toNanos();
        lastCallNanos = clock.nanos();
        if (closesIdleConnections && idle) {
            closedConnections = random.nextInt(MAX_CONNECTIONS + 1);
        }
        if (closedConnections > 0) {
            closedConnections--;
            return random.nextInt(5) == 0 ? Fate.CLOSED_AFTER_EXECUTION : Fate.CLOSED_BEFORE_EXECUTION;
        }
        return fates.next();
    }

    private void startAgainAfter(Duration downTime, boolean keepsId) {
        nextId = keepsId ? nextId : "i-" + agentName + "-" + incarnations;
        clock.schedule(downTime, this::startWorker);
    }

    private void reportRegularly(FakeWorker reporting) {
        if (reporting.isDead()) {
            return;
        }
        reporting.run(this::report);
        clock.schedule(REPORT_INTERVAL.plusMillis(random.nextInt(200) - 100L), () -> reportRegularly(reporting));
    }

    private void report() {
        if (worker.isDead()) {
            return;
        }
        WorkerReport report = new WorkerReport(
                worker.id,
                worker.bornMillis,
                SERVICE,
                zone,
                worker.capacity,
                "rack",
                draining,
                ++sequence,
                worker.clockMillis());
        latestReport = report;
        deliver(() -> agent.workerReported(report));
    }

    private void deliver(Runnable message) {
        MemberProcess receiver = agentProcess;
        clock.schedule(latency(), () -> receiver.run(message));
    }

    private Duration latency() {
        return Duration.ofNanos((100 + random.nextInt(MAX_LATENCY_MICROS)) * 1000L);
    }
}
