package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.traffic.BestEffortEntry;
import org.gypsumflow.wire.MessageCodec;

/**
 * Runs made-up jobs through the code of an entry that has just started, so that the first jobs of callers find it compiled.
 * On a fraction of a core, an entry whose code is still interpreted does not keep up with full load for seconds.
 *
 * <p>The jobs run at an entry object of their own, whose agents exist only here: no message leaves this process, and no caller,
 * agent or store sees them. It ends early when the first caller comes.
 */
final class EntryWarmUp {
    /** Number of jobs after which the code that each job runs is compiled. */
    static final int JOBS = 300;
    /** Jobs between two pauses, in which the other threads of a small host get on. */
    private static final int JOBS_PER_STEP = 5;

    private static final Duration STEP_INTERVAL = Duration.ofMillis(20);
    private static final int AGENTS = 12;
    private static final int TASKS_PER_JOB = 5;
    private static final Duration RUN_DURATION = Duration.ofMillis(100);
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final AvailabilityZone ZONE = AvailabilityZone.of("warm-up");
    private static final Resources CAPACITY = Resources.of(16_000, 32_768, 0);
    private static final Resources TASK = Resources.of(1_000, 64, 0);
    private static final Route ROUTE = new Route(
            RouteName.of("warm-up"),
            "warm-up",
            "/",
            ServiceName.of("warm-up"),
            0,
            1,
            1.5,
            Duration.ofMillis(100),
            DEADLINE);

    /** Sends a request to the address of this entry's callers, for the code that reads requests and writes responses. */
    @FunctionalInterface
    interface RequestSender {
        /** Sends a request that no route matches, and completes when its response has arrived. */
        CompletableFuture<?> send();
    }

    /** An agent that reports each task as done at once. */
    private record Agent(BestEffortEntry entry, MemberName name) implements Connection {
        @Override
        public void send(Message message) {
            if (decoded(message) instanceof AssignTasks assign) {
                List<RunResult> results = assign.assignments().stream()
                        .map(assignment ->
                                new RunResult(assignment.task(), assignment.runNumber(), RunOutcome.DONE, RUN_DURATION))
                        .toList();
                report(results);
            }
        }

        private void report(List<RunResult> results) {
            WorkerStatus status = new WorkerStatus(
                    true,
                    ROUTE.service().value(),
                    ZONE.value(),
                    CAPACITY,
                    CAPACITY,
                    CAPACITY,
                    Resources.NONE,
                    RUN_DURATION,
                    1,
                    0,
                    0,
                    0);
            entry.jobMessageReceived(name, (BestEffortMessage) decoded(new AgentReport(results, status)));
        }

        @Override
        public void close() {}

        private static Message decoded(Message message) {
            return MessageCodec.decode(MessageCodec.encode(message));
        }
    }

    private final SerialExecutor executor;
    private final BestEffortEntry entry;
    private final RequestSender requestSender;
    private final BooleanSupplier callersHaveCome;
    private final EventLog events;
    private int submittedJobs;
    private int completedJobs;

    private EntryWarmUp(
            SerialExecutor executor,
            TimeSource time,
            DispatchFeatures features,
            RequestSender requestSender,
            BooleanSupplier callersHaveCome,
            EventLog events) {
        this.executor = executor;
        this.requestSender = requestSender;
        this.callersHaveCome = callersHaveCome;
        this.events = events;
        EventLog none = EventLog.none();
        this.entry = BestEffortEntry.create(
                executor,
                time,
                EarliestFinishPlacement.policy(),
                RoutingStateCache.create(none),
                none,
                JobObserver.none(),
                CapacityShares.disabled(),
                features,
                DecisionCounter.none());
    }

    /**
     * Starts the made-up jobs.
     *
     * @param executor executor of its own, so that the traffic of the entry does not wait for it
     * @param time clocks
     * @param features parts of the dispatcher that are switched on
     * @param requestSender sends requests to this entry's own address
     * @param callersHaveCome tells whether a caller has sent a job, which ends the warm-up
     * @param events receives an event at the end
     */
    static void start(
            SerialExecutor executor,
            TimeSource time,
            DispatchFeatures features,
            RequestSender requestSender,
            BooleanSupplier callersHaveCome,
            EventLog events) {
        EntryWarmUp warmUp = new EntryWarmUp(executor, time, features, requestSender, callersHaveCome, events);
        warmUp.connectAgents();
        executor.schedule(STEP_INTERVAL, warmUp::runStep);
    }

    private void connectAgents() {
        entry.start();
        entry.peersDiscovered(Set.of());
        for (int index = 1; index <= AGENTS; index++) {
            Agent agent = new Agent(entry, MemberName.of("warm-up-" + index));
            entry.memberConnected(new Member(agent.name(), Member.Role.AGENT, ZONE, "127.0.0.1", 1), agent);
            agent.report(List.of());
        }
    }

    private void runStep() {
        if (submittedJobs >= JOBS || callersHaveCome.getAsBoolean()) {
            entry.stop();
            events.write(Event.WARMED_UP, completedJobs);
            return;
        }
        for (int index = 0; index < JOBS_PER_STEP; index++) {
            submitJob();
        }
        requestSender.send().whenComplete((response, failure) -> executor.schedule(STEP_INTERVAL, this::runStep));
    }

    private void submitJob() {
        JobId id = JobId.of(String.format("%016x", ++submittedJobs));
        BestEffortJob job = new BestEffortJob(id, ROUTE, 1, "warm-up", TASKS_PER_JOB, TASK, RUN_DURATION);
        entry.submit(job, DEADLINE, new CompletableFuture<>()).thenAccept(this::countCompleted);
    }

    private void countCompleted(BestEffortOutcome outcome) {
        if (outcome.equals(BestEffortOutcome.completed())) {
            completedJobs++;
        }
    }

    /** Returns the headers of a request that no route matches. */
    static Map<String, String> headersWithoutRoute() {
        return Map.of("Host", "warm-up.invalid");
    }
}
