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

/** An entry: takes jobs from callers and intents from operators. */
public final class AtMostOnceEntry implements ConnectionListener {
    /** Most tickets made at once. */
    public static final int MAX_TICKETS_PER_CALL = 10_000;

    private static final int APPEND_BURST = 8;
    private static final Duration FIRST_RETRY = Duration.ofMillis(10);
    private static final Duration LONGEST_RETRY = Duration.ofMillis(500);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DRAIN_CHECK = Duration.ofMillis(20);

    private final EntryAddress self;
    private final EntryExecutors lanes;
    private final TrafficSettings settings;
    private final EntryDependencies ports;
    private final EntryControl control;
    private final OperationsService operations;
    private final PlacementQueue placement;
    private final PendingRequests requests = PendingRequests.create();
    private final TicketIssuer tickets;
    private final AtomicInteger openSubmissions = new AtomicInteger();
    private final List<SubmissionProcessor> shards = new ArrayList<>();

    private AtMostOnceEntry(
            EntryAddress self,
            EntryExecutors lanes,
            ControlSettings controlSettings,
            TrafficSettings settings,
            EntryDependencies ports) {
        this.self = self;
        this.lanes = lanes;
        this.settings = settings;
        this.ports = ports;
        this.placement = PlacementQueue.create(
                lanes.placement(), ports.time(), this::snapshot, ports.policy(), ports.random(), this::demandChanged);
        this.control = EntryControl.create(
                self,
                lanes.control(),
                ports.time(),
                controlSettings,
                ports.operationsLog(),
                ports.membersLog(),
                (address, listener) -> ports.dialer().connect(address, this),
                placement::waitingTasks,
                new Listener(),
                ports.events());
        this.operations = OperationsService.create(
                control,
                lanes.control(),
                ports.time(),
                controlSettings,
                ports.operationsLog(),
                ports.random(),
                ports.events());
        this.tickets = TicketIssuer.create(self.incarnation(), ports.time(), settings.ticketLifetime());
        EntryContext context = new EntryContext(
                self.incarnation(),
                settings,
                ports.time(),
                ports.random(),
                this::snapshot,
                placement,
                RetryPolicy.exponentialWithJitter(settings.maxAttempts(), FIRST_RETRY, LONGEST_RETRY),
                requests,
                tickets,
                ports.events(),
                ports.tracing(),
                openSubmissions);
        AppendRateLimiter budget = AppendRateLimiter.create(settings.maxAppendsPerSecond(), APPEND_BURST);
        lanes.submissions().forEach(lane -> shards.add(createShard(context, lane, budget)));
    }

    /**
     * Creates an entry; {@link #start} sets it going.
     *
     * @param self this entry
     * @param lanes its threads
     * @param controlSettings times of the control state
     * @param settings sizes and times of the traffic
     * @param ports what it needs from outside
     * @return the entry
     */
    public static AtMostOnceEntry create(
            EntryAddress self,
            EntryExecutors lanes,
            ControlSettings controlSettings,
            TrafficSettings settings,
            EntryDependencies ports) {
        return new AtMostOnceEntry(self, lanes, controlSettings, settings, ports);
    }

    /** Starts to follow the log and the other processes. */
    public void start() {
        control.start();
        operations.start();
    }

    /**
     * Takes no new work, answers what is in flight, and tells the others.
     *
     * @return completes when nothing is in flight any more
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        control.startDraining().thenRun(() -> lanes.control().scheduleWithFixedDelay(DRAIN_CHECK, () -> {
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
     * Answers a job.
     *
     * @param job the job
     * @param trace trace context of the caller
     * @return the whole answer, or a {@link org.gypsumflow.model.RequestException}; it completes on any thread
     */
    public CompletableFuture<JobOutcome> submit(JobRequest job, TraceParent trace) {
        return submit(job, trace, Optional.empty());
    }

    /**
     * Cancels the tasks of a job that have not started; asking twice changes nothing.
     *
     * @param key the submission
     * @return the job's answer once its running tasks have ended, or a refusal if no live entry runs the job
     */
    public CompletableFuture<JobOutcome> cancel(SubmissionKey key) {
        SubmissionDigest digest = key.digest();
        CompletableFuture<JobOutcome> answer = new CompletableFuture<>();
        shardOf(digest).cancel(digest).thenAccept(found -> {
            if (found.isPresent()) {
                answer.complete(found.get());
                return;
            }
            cancelElsewhere(digest, new ArrayList<>(snapshot().peerConnections().values()), answer);
        });
        return answer;
    }

    /**
     * Makes idempotency keys that need no claim in the log while this entry lives.
     *
     * @param caller who may use them
     * @param count how many, 1 to {@value #MAX_TICKETS_PER_CALL}
     * @return the keys
     */
    public List<String> issueTickets(Caller caller, int count) {
        Check.range("count", count, 1, MAX_TICKETS_PER_CALL);
        return tickets.issue(caller, count);
    }

    /**
     * Describes a submission that this entry runs or remembers.
     *
     * @param key the submission
     * @return the description, or empty if this entry does not know it
     */
    public CompletableFuture<Optional<JobView>> describe(SubmissionKey key) {
        return shardOf(key.digest()).describe(key.digest());
    }

    /**
     * Returns the newest control snapshot.
     *
     * @return the snapshot
     */
    public EntrySnapshot snapshot() {
        return control.snapshot();
    }

    /**
     * Returns the desk at which operators plan and confirm.
     *
     * @return the desk
     */
    public OperationsService operations() {
        return operations;
    }

    /**
     * Returns the number of submissions without an answer.
     *
     * @return the number of submissions
     */
    public int openSubmissions() {
        return openSubmissions.get();
    }

    /**
     * Returns the number of tasks that wait for a slot.
     *
     * @return the number of tasks
     */
    public int waitingTasks() {
        return placement.waitingTasks();
    }

    @Override
    public void messageReceived(Connection link, Message message) {
        if (message instanceof TaskReport report) {
            shardOf(report.task().submission()).taskReported(report);
        } else if (message instanceof ForwardJob forward) {
            submit(forward.job(), forward.trace(), Optional.of(forward.nonce()))
                    .whenComplete((outcome, failure) ->
                            link.send(SubmissionProcessor.toReplyMessage(forward.request(), outcome, failure)));
        } else if (message instanceof CancelJob cancel) {
            cancelForPeer(link, cancel);
        } else if (message instanceof JobReport report) {
            requests.complete(report.request(), link, report);
        } else if (message instanceof JobError refused) {
            requests.complete(refused.request(), link, refused);
        } else if (message instanceof FindTasksReply found) {
            requests.complete(found.request(), link, found);
        }
        control.messageReceived(link, message);
    }

    @Override
    public void connectionClosed(Connection link) {
        requests.failRequestsOn(link);
        control.connectionClosed(link);
    }

    private CompletableFuture<JobOutcome> submit(JobRequest job, TraceParent trace, Optional<ClaimNonce> forwarded) {
        Tracing.Hop hop = ports.tracing().begin(forwarded.isPresent() ? "forward" : "entry", trace);
        return shardOf(job.key().digest())
                .submit(job, hop.context(), forwarded)
                .whenComplete((outcome, failure) -> hop.end(
                        failure == null
                                ? outcome.verdict()
                                : RequestException.errorOf(failure).verdict()));
    }

    private void demandChanged() {
        control.sendDemand();
    }

    private void cancelForPeer(Connection link, CancelJob cancel) {
        shardOf(cancel.submission()).cancel(cancel.submission()).thenAccept(found -> {
            RequestError unknown = RequestError.mayHaveRun(ErrorCode.NOT_FOUND, "this entry does not run the job");
            link.send(
                    found.isPresent()
                            ? new JobReport(cancel.request(), found.get())
                            : new JobError(cancel.request(), unknown));
        });
    }

    private void cancelElsewhere(
            SubmissionDigest digest, List<Connection> peers, CompletableFuture<JobOutcome> answer) {
        if (peers.isEmpty()) {
            answer.completeExceptionally(RequestError.mayHaveRun(ErrorCode.NOT_FOUND, "no live entry runs the job")
                    .toException());
            return;
        }
        Connection next = peers.remove(peers.size() - 1);
        requests.send(next, lanes.control(), CANCEL_TIMEOUT, request -> new CancelJob(request, digest))
                .whenComplete((message, failure) -> {
                    if (message instanceof JobReport report) {
                        answer.complete(report.outcome());
                        return;
                    }
                    cancelElsewhere(digest, peers, answer);
                });
    }

    private SubmissionProcessor createShard(EntryContext context, SerialExecutor lane, AppendRateLimiter budget) {
        Map<Integer, ClaimStream> streams = new HashMap<>();
        return SubmissionProcessor.create(
                context,
                lane,
                index -> streams.computeIfAbsent(
                        index,
                        missing -> ClaimStream.create(
                                ports.claimLogs().apply(StreamName.claims(missing)),
                                self.incarnation(),
                                lane,
                                ports.time(),
                                settings,
                                budget)));
    }

    private SubmissionProcessor shardOf(SubmissionDigest digest) {
        return shards.get(ClaimStreamOwnership.streamIndex(digest, settings.claimStreamCount()) % shards.size());
    }

    private final class Listener implements EntryControlListener {
        @Override
        public void snapshotChanged() {
            placement.snapshotChanged();
        }

        @Override
        public void workerConnected(WorkerName worker, Incarnation agent, Connection link) {
            shards.forEach(shard -> shard.workerConnected(worker, agent, link));
        }
    }
}
