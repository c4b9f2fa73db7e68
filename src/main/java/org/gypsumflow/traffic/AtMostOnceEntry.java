package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.gypsumflow.command.AppendRateLimiter;
import org.gypsumflow.command.ClaimStreamOwnership;
import org.gypsumflow.command.RetryPolicy;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.control.ControlSettings;
import org.gypsumflow.control.EntryControl;
import org.gypsumflow.control.EntryControlListener;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.control.OperationsService;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.CommandMessage.CancelJob;
import org.gypsumflow.model.CommandMessage.ForwardJob;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.ReportMessage.FindTasksReply;
import org.gypsumflow.model.ReportMessage.JobError;
import org.gypsumflow.model.ReportMessage.JobReport;
import org.gypsumflow.model.ReportMessage.TaskReport;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.StreamName;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.query.JobView;

/**
 * An entry for claimed jobs: accepts jobs from callers, runs their tasks on agents and serves the operators' plans.
 *
 * <p>Submissions are divided by claim stream among several processors, each with its own executor.
 */
public final class AtMostOnceEntry implements ConnectionListener {
    /** Maximum number of tickets issued by one call. */
    public static final int MAX_TICKETS_PER_CALL = 10_000;

    private static final int APPEND_BURST = 8;
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(10);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

    private final EntryAddress self;
    private final EntryExecutors executors;
    private final TrafficSettings settings;
    private final EntryDependencies dependencies;
    private final EntryControl control;
    private final OperationsService operations;
    private final PlacementQueue placementQueue;
    private final PendingRequests pendingRequests = PendingRequests.create();
    private final TicketIssuer ticketIssuer;
    private final AtomicInteger openSubmissions = new AtomicInteger();
    private final List<SubmissionProcessor> processors = new ArrayList<>();

    private AtMostOnceEntry(
            EntryAddress self,
            EntryExecutors executors,
            ControlSettings controlSettings,
            TrafficSettings settings,
            EntryDependencies dependencies) {
        this.self = self;
        this.executors = executors;
        this.settings = settings;
        this.dependencies = dependencies;
        this.placementQueue = PlacementQueue.create(
                executors.placement(),
                dependencies.time(),
                this::snapshot,
                dependencies.selectionPolicy(),
                dependencies.random(),
                this::sendDemand);
        this.control = EntryControl.create(
                self,
                executors.control(),
                dependencies.time(),
                controlSettings,
                dependencies.operationsLog(),
                dependencies.membersLog(),
                (address, listener) -> dependencies.entryConnector().connect(address, this),
                placementQueue::waitingTasks,
                new ControlListener(),
                dependencies.events());
        this.operations = OperationsService.create(
                control,
                executors.control(),
                dependencies.time(),
                controlSettings,
                dependencies.operationsLog(),
                dependencies.random(),
                dependencies.events());
        this.ticketIssuer = TicketIssuer.create(self.incarnation(), dependencies.time(), settings.ticketLifetime());
        EntryContext context = new EntryContext(
                self.incarnation(),
                settings,
                dependencies.time(),
                dependencies.random(),
                this::snapshot,
                placementQueue,
                RetryPolicy.exponentialWithJitter(settings.maxAttempts(), MIN_RETRY_DELAY, MAX_RETRY_DELAY),
                pendingRequests,
                ticketIssuer,
                dependencies.events(),
                dependencies.tracing(),
                openSubmissions);
        AppendRateLimiter rateLimiter = AppendRateLimiter.create(settings.maxAppendsPerSecond(), APPEND_BURST);
        executors.submissions().forEach(executor -> processors.add(createProcessor(context, executor, rateLimiter)));
    }

    /**
     * Creates an entry that does nothing until {@link #start}.
     *
     * @param self name, address and incarnation of this entry
     * @param executors executors of control state, placement and submissions
     * @param controlSettings intervals and timeouts of the control state
     * @param settings limits and times of job processing
     * @param dependencies clocks, logs, connections, policies and telemetry
     * @return the entry
     */
    public static AtMostOnceEntry create(
            EntryAddress self,
            EntryExecutors executors,
            ControlSettings controlSettings,
            TrafficSettings settings,
            EntryDependencies dependencies) {
        return new AtMostOnceEntry(self, executors, controlSettings, settings, dependencies);
    }

    /** Starts to consume the operations log and to connect to other processes. */
    public void start() {
        control.start();
        operations.start();
    }

    /**
     * Rejects new jobs, completes the open submissions, and tells the other processes that this entry is draining.
     *
     * @return completes when no submission is open
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        control.startDraining().thenRun(() -> executors.control().scheduleWithFixedDelay(DRAIN_CHECK_INTERVAL, () -> {
            if (openSubmissions.get() > 0) {
                return true;
            }
            drained.complete(null);
            return false;
        }));
        return drained;
    }

    /** Stops all periodic work and closes all connections. */
    public void stop() {
        control.stop();
        operations.stop();
    }

    /**
     * Runs a job, or joins an earlier submission of the same key.
     *
     * @param job the job
     * @param trace trace context of the caller
     * @return the outcome of all tasks, or a {@link org.gypsumflow.model.RequestException}; completes on any thread
     */
    public CompletableFuture<JobOutcome> submit(JobRequest job, TraceParent trace) {
        return submit(job, trace, Optional.empty());
    }

    /**
     * Cancels the tasks of a job that have not started, at this entry or the peer that runs it; idempotent.
     *
     * @param key key of the submission
     * @return the outcome once the running tasks have finished, or an error if no connected entry runs the job
     */
    public CompletableFuture<JobOutcome> cancel(SubmissionKey key) {
        SubmissionDigest digest = key.digest();
        CompletableFuture<JobOutcome> outcome = new CompletableFuture<>();
        processorOf(digest).cancel(digest).thenAccept(localOutcome -> {
            if (localOutcome.isPresent()) {
                outcome.complete(localOutcome.get());
                return;
            }
            cancelElsewhere(digest, new ArrayList<>(snapshot().peerConnections().values()), outcome);
        });
        return outcome;
    }

    /**
     * Issues idempotency keys that need no claim in the log and are valid only for this incarnation of the entry.
     *
     * @param caller the only caller that may use them
     * @param count number of keys, 1 to {@value #MAX_TICKETS_PER_CALL}
     * @return the keys
     */
    public List<String> issueTickets(Caller caller, int count) {
        Check.range("count", count, 1, MAX_TICKETS_PER_CALL);
        return ticketIssuer.issue(caller, count);
    }

    /**
     * Describes a submission that this entry is processing or keeps for resubmissions.
     *
     * @param key key of the submission
     * @return state and verdict of the job, or empty if this entry does not know it
     */
    public CompletableFuture<Optional<JobView>> describe(SubmissionKey key) {
        return processorOf(key.digest()).describe(key.digest());
    }

    /**
     * Returns the latest immutable snapshot of the control state; safe to call from any thread.
     *
     * @return the snapshot
     */
    public EntrySnapshot snapshot() {
        return control.snapshot();
    }

    /**
     * Returns the service that creates and confirms operators' plans.
     *
     * @return the service
     */
    public OperationsService operations() {
        return operations;
    }

    /**
     * Returns the number of submissions without an outcome; safe to call from any thread.
     *
     * @return the number of open submissions
     */
    public int openSubmissions() {
        return openSubmissions.get();
    }

    /**
     * Returns the number of tasks that wait for a worker slot; safe to call from any thread.
     *
     * @return the number of waiting tasks
     */
    public int waitingTasks() {
        return placementQueue.waitingTasks();
    }

    @Override
    public void messageReceived(Connection connection, Message message) {
        if (message instanceof TaskReport report) {
            processorOf(report.task().submission()).taskReported(report);
        } else if (message instanceof ForwardJob forward) {
            submit(forward.job(), forward.trace(), Optional.of(forward.nonce()))
                    .whenComplete((outcome, failure) ->
                            connection.send(SubmissionProcessor.toReplyMessage(forward.request(), outcome, failure)));
        } else if (message instanceof CancelJob cancel) {
            cancelForPeer(connection, cancel);
        } else if (message instanceof JobReport report) {
            pendingRequests.complete(report.request(), connection, report);
        } else if (message instanceof JobError error) {
            pendingRequests.complete(error.request(), connection, error);
        } else if (message instanceof FindTasksReply tasks) {
            pendingRequests.complete(tasks.request(), connection, tasks);
        }
        control.messageReceived(connection, message);
    }

    @Override
    public void connectionClosed(Connection connection) {
        pendingRequests.failRequestsOn(connection);
        control.connectionClosed(connection);
    }

    private CompletableFuture<JobOutcome> submit(JobRequest job, TraceParent trace, Optional<ClaimNonce> forwarded) {
        Tracing.Hop hop = dependencies.tracing().begin(forwarded.isPresent() ? "forward" : "entry", trace);
        return processorOf(job.key().digest())
                .submit(job, hop.context(), forwarded)
                .whenComplete((outcome, failure) -> hop.end(
                        failure == null
                                ? outcome.verdict()
                                : RequestException.errorOf(failure).verdict()));
    }

    private void sendDemand() {
        control.sendDemand();
    }

    private void cancelForPeer(Connection connection, CancelJob cancel) {
        processorOf(cancel.submission()).cancel(cancel.submission()).thenAccept(localOutcome -> {
            RequestError notFound = RequestError.mayHaveRun(ErrorCode.NOT_FOUND, "this entry does not run the job");
            connection.send(
                    localOutcome.isPresent()
                            ? new JobReport(cancel.request(), localOutcome.get())
                            : new JobError(cancel.request(), notFound));
        });
    }

    private void cancelElsewhere(
            SubmissionDigest digest, List<Connection> peers, CompletableFuture<JobOutcome> outcome) {
        if (peers.isEmpty()) {
            outcome.completeExceptionally(
                    RequestError.mayHaveRun(ErrorCode.NOT_FOUND, "no connected entry runs the job")
                            .toException());
            return;
        }
        Connection next = peers.remove(peers.size() - 1);
        pendingRequests
                .send(next, executors.control(), CANCEL_TIMEOUT, request -> new CancelJob(request, digest))
                .whenComplete((message, failure) -> {
                    if (message instanceof JobReport report) {
                        outcome.complete(report.outcome());
                        return;
                    }
                    cancelElsewhere(digest, peers, outcome);
                });
    }

    private SubmissionProcessor createProcessor(
            EntryContext context, SerialExecutor executor, AppendRateLimiter rateLimiter) {
        Map<Integer, ClaimStream> streams = new HashMap<>();
        return SubmissionProcessor.create(
                context,
                executor,
                index -> streams.computeIfAbsent(
                        index,
                        newIndex -> ClaimStream.create(
                                dependencies.claimLogs().apply(StreamName.claims(newIndex)),
                                self.incarnation(),
                                executor,
                                dependencies.time(),
                                settings,
                                rateLimiter)));
    }

    private SubmissionProcessor processorOf(SubmissionDigest digest) {
        return processors.get(
                ClaimStreamOwnership.streamIndex(digest, settings.claimStreamCount()) % processors.size());
    }

    private final class ControlListener implements EntryControlListener {
        @Override
        public void snapshotChanged() {
            placementQueue.snapshotChanged();
        }

        @Override
        public void workerConnected(WorkerName worker, Incarnation agent, Connection connection) {
            processors.forEach(processor -> processor.workerConnected(worker, agent, connection));
        }
    }
}
