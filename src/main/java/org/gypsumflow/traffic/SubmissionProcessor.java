package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.gypsumflow.command.ClaimRecord.Claimed;
import org.gypsumflow.command.ClaimStreamOwnership;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.CommandMessage.ForwardJob;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.ReportMessage.JobError;
import org.gypsumflow.model.ReportMessage.JobReport;
import org.gypsumflow.model.ReportMessage.TaskReport;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.RequestId;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.query.JobView;

/**
 * Processes submissions: joins resubmissions, forwards a job to the entry that owns its claim stream, claims and
 * executes it, and recovers its outcome if the claim holder is gone.
 *
 * <p>One instance serves some of the claim streams; its state is confined to one executor.
 */
final class SubmissionProcessor {
    /**
     * Delay before a job is forwarded again to the holder of its claim or ticket, after no reply or while the holder is
     * draining. At the deadline the job is rejected; once the holder is disconnected, the agents are queried instead.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    /** Time after a deadline before the submission is rejected, so that an outcome already on its way is delivered. */
    private static final Duration DEADLINE_GRACE_PERIOD = Duration.ofMillis(250);
    /**
     * How long a job of a service without an eligible worker waits; if there is still none after that, it is rejected.
     */
    private static final Duration TARGET_WAIT = Duration.ofSeconds(1);

    private final EntryContext context;
    private final SerialExecutor executor;
    private final Function<Integer, ClaimStream> claimStreams;
    private final OutcomeRecovery outcomeRecovery;
    private final Map<SubmissionDigest, Submission> submissions = new HashMap<>();
    private final OutcomeCache outcomeCache;

    private SubmissionProcessor(
            EntryContext context, SerialExecutor executor, Function<Integer, ClaimStream> claimStreams) {
        this.context = context;
        this.executor = executor;
        this.claimStreams = claimStreams;
        this.outcomeRecovery = OutcomeRecovery.create(context, executor);
        this.outcomeCache = OutcomeCache.create(
                context.settings().deduplicationWindow(),
                context.settings().maxCachedOutcomeCharacters(),
                evicted -> submissions.remove(evicted.digest));
    }

    static SubmissionProcessor create(
            EntryContext context, SerialExecutor executor, Function<Integer, ClaimStream> claimStreams) {
        return new SubmissionProcessor(context, executor, claimStreams);
    }

    /**
     * Runs a job, or joins an earlier submission of the same key.
     *
     * @param forwarded nonce to claim the job under if another entry forwarded it, else empty
     */
    CompletableFuture<JobOutcome> submit(JobRequest job, TraceParent trace, Optional<ClaimNonce> forwarded) {
        CompletableFuture<JobOutcome> result = new CompletableFuture<>();
        executor.execute(() -> submitOnExecutor(job, trace, forwarded).whenComplete((outcome, failure) -> {
            if (failure != null) {
                result.completeExceptionally(failure);
            } else {
                result.complete(outcome);
            }
        }));
        return result;
    }

    /** Cancels the tasks of a job that have not started; the result is empty if this entry does not execute the job. */
    CompletableFuture<Optional<JobOutcome>> cancel(SubmissionDigest digest) {
        CompletableFuture<Optional<JobOutcome>> result = new CompletableFuture<>();
        executor.execute(() -> {
            Submission existing = submissions.get(digest);
            if (existing == null || !existing.isExecutedHere()) {
                result.complete(Optional.empty());
                return;
            }
            existing.execution.cancel();
            existing.result.whenComplete((outcome, failure) -> result.complete(Optional.ofNullable(outcome)));
        });
        return result;
    }

    CompletableFuture<Optional<JobView>> describe(SubmissionDigest digest) {
        CompletableFuture<Optional<JobView>> view = new CompletableFuture<>();
        executor.execute(
                () -> view.complete(Optional.ofNullable(submissions.get(digest)).map(Submission::toView)));
        return view;
    }

    void taskReported(TaskReport report) {
        executor.execute(() -> {
            Submission existing = submissions.get(report.task().submission());
            if (existing != null && existing.isExecutedHere()) {
                existing.execution.taskReported(report);
            }
        });
    }

    void workerConnected(WorkerName worker, Incarnation agent, Connection connection) {
        executor.execute(() -> submissions.values().forEach(submission -> {
            if (submission.isExecutedHere() && !submission.result.isDone()) {
                submission.execution.workerConnected(worker, agent, connection);
            }
        }));
    }

    private CompletableFuture<JobOutcome> submitOnExecutor(
            JobRequest job, TraceParent trace, Optional<ClaimNonce> forwarded) {
        outcomeCache.evictExpired(context.time().nanoTime());
        Submission existing = submissions.get(job.key().digest());
        if (existing != null) {
            forwarded.ifPresent(existing.claimNonces::add);
            return joinSubmission(existing, job);
        }
        if (!context.snapshot().isUsable(context.time().nanoTime())) {
            return CompletableFuture.failedFuture(RequestError.mayHaveRun(
                            ErrorCode.LEAVING,
                            "this process was paused, so the request may be outdated"
                                    + Submission.EARLIER_REQUEST_MAY_HAVE_RUN)
                    .toException());
        }
        long deadline = context.time().nanoTime() + job.timeout().toNanos();
        Submission submission = Submission.create(job, deadline, trace);
        submissions.put(submission.digest, submission);
        context.submissionOpened();
        submission.result.whenComplete((outcome, failure) -> submissionCompleted(submission, outcome));
        executor.schedule(job.timeout().plus(DEADLINE_GRACE_PERIOD), () -> rejectAtDeadline(submission));
        forwarded.ifPresent(submission.claimNonces::add);
        submission.forwardedNonce = forwarded;
        process(submission, forwarded.isPresent());
        return submission.result;
    }

    private CompletableFuture<JobOutcome> joinSubmission(Submission existing, JobRequest job) {
        if (existing.job.fingerprint() != job.fingerprint()) {
            return CompletableFuture.failedFuture(keyReusedError(job).toException());
        }
        CompletableFuture<JobOutcome> outcomeUntilTimeout = existing.result.copy();
        executor.schedule(
                job.timeout(),
                () -> outcomeUntilTimeout.completeExceptionally(
                        RequestError.mayHaveRun(ErrorCode.TIMEOUT, "the job is still running")
                                .toException()));
        return outcomeUntilTimeout;
    }

    private void process(Submission submission, boolean forwarded) {
        if (TicketIssuer.isTicket(submission.job.key().key())) {
            processTicket(submission);
            return;
        }
        Optional<Connection> owner = forwarded ? Optional.empty() : ownerConnection(submission.digest);
        if (owner.isPresent()) {
            forward(submission, owner.get(), () -> claimSubmission(submission));
            return;
        }
        claimSubmission(submission);
    }

    private Optional<Connection> ownerConnection(SubmissionDigest digest) {
        EntrySnapshot snapshot = context.snapshot();
        return ClaimStreamOwnership.ownerOf(streamIndexOf(digest), snapshot.entriesInService())
                .filter(owner -> !owner.incarnation().equals(snapshot.self().incarnation()))
                .flatMap(owner -> snapshot.peerConnection(owner.incarnation()));
    }

    private int streamIndexOf(SubmissionDigest digest) {
        return ClaimStreamOwnership.streamIndex(digest, context.settings().claimStreamCount());
    }

    private void processTicket(Submission submission) {
        Optional<TicketIssuer.Ticket> ticket =
                TicketIssuer.parse(submission.job.key().key());
        if (ticket.isEmpty()) {
            submission.reject(RequestError.notRun(ErrorCode.BAD_TICKET, "the ticket is malformed"));
            return;
        }
        Incarnation holder = ticket.get().holder();
        if (!holder.equals(context.self())) {
            forwardToHolder(submission, holder);
            return;
        }
        if (!context.ticketIssuer().isValid(ticket.get(), submission.job.key().caller())) {
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.BAD_TICKET,
                    "the ticket is unknown or has expired; this request started nothing, an earlier one may have"));
            return;
        }
        execute(submission);
    }

    private void claimSubmission(Submission submission) {
        if (isPastDeadline(submission)) {
            rejectAtDeadline(submission);
            return;
        }
        EntrySnapshot snapshot = context.snapshot();
        if (snapshot.draining() || !snapshot.ready()) {
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.LEAVING, "this entry is not in service" + Submission.EARLIER_REQUEST_MAY_HAVE_RUN));
            return;
        }
        ClaimStream stream = claimStreams.apply(streamIndexOf(submission.digest));
        if (stream.isFull()) {
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.OVERLOADED, "too many claims are pending" + Submission.EARLIER_REQUEST_MAY_HAVE_RUN));
            return;
        }
        Tracing.Hop hop = context.tracing().begin("claim", submission.trace);
        stream.claim(createClaim(submission), submission.deadlineNanos).thenAccept(result -> {
            hop.end(result instanceof ClaimResult.Won ? Verdict.COMPLETED : Verdict.NOT_RUN);
            claimCompleted(submission, result);
        });
    }

    /** Creates the claim: under the nonce that came with a forwarded job, otherwise under a new one. */
    private Claimed createClaim(Submission submission) {
        ClaimNonce nonce = submission.takeForwardedNonce().orElseGet(() -> addNewNonce(submission));
        JobRequest job = submission.job;
        return new Claimed(submission.digest, job.fingerprint(), job.taskCount(), context.self(), nonce);
    }

    private ClaimNonce addNewNonce(Submission submission) {
        ClaimNonce nonce =
                ClaimNonce.of(context.random().nextLong(), context.random().nextLong());
        submission.claimNonces.add(nonce);
        return nonce;
    }

    private void claimCompleted(Submission submission, ClaimResult result) {
        if (result instanceof ClaimResult.Won won) {
            submission.winningNonce = won.nonce();
            execute(submission);
        } else if (result instanceof ClaimResult.Lost lost) {
            claimLost(submission, lost.winner());
        } else if (result instanceof ClaimResult.Abandoned abandoned) {
            context.events().write(Event.CLAIM_ABANDONED, submission.digest, abandoned.reason());
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.LOG_UNAVAILABLE, abandoned.reason() + Submission.EARLIER_REQUEST_MAY_HAVE_RUN));
        }
    }

    private void claimLost(Submission submission, Claimed winner) {
        if (winner.fingerprint() != submission.job.fingerprint()) {
            submission.reject(keyReusedError(submission.job));
            return;
        }
        if (winner.holder().equals(context.self())) {
            recoverOutcome(submission);
            return;
        }
        forwardToHolder(submission, winner.holder());
    }

    private void forwardToHolder(Submission submission, Incarnation holder) {
        Optional<Connection> connection = context.snapshot().peerConnection(holder);
        if (connection.isEmpty()) {
            recoverOutcome(submission);
            return;
        }
        forward(
                submission,
                connection.get(),
                () -> executor.schedule(RETRY_DELAY, () -> {
                    if (!submission.result.isDone()) {
                        forwardToHolder(submission, holder);
                    }
                }));
    }

    private void recoverOutcome(Submission submission) {
        outcomeRecovery
                .recover(submission.digest, submission.job.taskCount(), submission.deadlineNanos)
                .thenAccept(outcome -> submission.result.complete(outcome));
    }

    /** Forwards the job to another entry; runs the fallback if that entry does not reply or is draining. */
    private void forward(Submission submission, Connection connection, Runnable fallback) {
        Duration remainingTime =
                Duration.ofNanos(submission.deadlineNanos - context.time().nanoTime());
        if (remainingTime.toMillis() < 1) {
            rejectAtDeadline(submission);
            return;
        }
        JobRequest job = submission.job;
        JobRequest remainingJob = JobRequest.of(job.key(), job.service(), job.payloads(), remainingTime);
        ClaimNonce nonce = addNewNonce(submission);
        submission.unansweredForwards++;
        context.pendingRequests()
                .send(
                        connection,
                        executor,
                        remainingTime.plus(DEADLINE_GRACE_PERIOD),
                        request -> new ForwardJob(request, remainingJob, nonce, submission.trace))
                .whenComplete((reply, failure) ->
                        executor.execute(() -> forwardCompleted(submission, reply, failure, fallback)));
    }

    private void forwardCompleted(Submission submission, Message reply, Throwable failure, Runnable fallback) {
        if (failure == null) {
            submission.unansweredForwards--;
        }
        if (submission.result.isDone()) {
            return;
        }
        boolean ownerDraining =
                reply instanceof JobError jobError && jobError.error().code() == ErrorCode.LEAVING;
        if (failure != null || ownerDraining) {
            fallback.run();
        } else if (reply instanceof JobReport report) {
            submission.completeWithForwarded(report.outcome());
        } else if (reply instanceof JobError jobError) {
            submission.reject(jobError.error());
        }
    }

    private void execute(Submission submission) {
        JobRequest job = submission.job;
        if (context.snapshot().configuration().stoppedServices().contains(job.service())) {
            submission.reject(RequestError.notRun(
                    ErrorCode.SERVICE_STOPPED, "service \"" + job.service() + "\" is stopped by an operator"));
            return;
        }
        if (context.placementQueue().waitingTasks() + job.taskCount()
                > context.settings().maxWaitingTasks()) {
            submission.reject(RequestError.notRun(
                    ErrorCode.OVERLOADED,
                    context.placementQueue().waitingTasks() + " tasks are already waiting, the limit is "
                            + context.settings().maxWaitingTasks() + " tasks"));
            return;
        }
        if (context.snapshot().eligibleWorkers(job.service()).isEmpty()) {
            executor.schedule(TARGET_WAIT, () -> executeIfWorkerAvailable(submission));
            return;
        }
        startExecution(submission);
    }

    private void executeIfWorkerAvailable(Submission submission) {
        if (submission.result.isDone()) {
            return;
        }
        if (context.snapshot().eligibleWorkers(submission.job.service()).isEmpty()) {
            submission.reject(RequestError.notRun(
                    ErrorCode.NO_TARGET,
                    "no available worker has a target of service \"" + submission.job.service() + "\""));
            return;
        }
        startExecution(submission);
    }

    private void startExecution(Submission submission) {
        if (isPastDeadline(submission)) {
            rejectAtDeadline(submission);
            return;
        }
        submission.execution = JobExecution.create(
                submission.job,
                context.self(),
                executor,
                context.time(),
                context.placementQueue(),
                context.retryPolicy(),
                context.random(),
                submission.trace,
                submission.deadlineNanos);
        submission.execution.start().thenAccept(submission.result::complete);
    }

    private boolean isPastDeadline(Submission submission) {
        return context.time().nanoTime() - submission.deadlineNanos >= 0;
    }

    /**
     * Rejects a submission without an outcome at its deadline; "not run" is proven if it won its claim and never
     * started.
     */
    private void rejectAtDeadline(Submission submission) {
        if (submission.result.isDone() || submission.execution != null) {
            return;
        }
        RequestError error = submission.winningNonce != null
                ? RequestError.notRun(ErrorCode.TIMEOUT, "the deadline passed before the job could start")
                : RequestError.mayHaveRun(
                        ErrorCode.TIMEOUT, "the deadline passed and the outcome of the job is unknown");
        submission.reject(error);
    }

    private static RequestError keyReusedError(JobRequest job) {
        return RequestError.notRun(
                ErrorCode.KEY_REUSED,
                "field \"Idempotency-Key\": \"" + job.key().key()
                        + "\" was used for a different job before; this job did not run");
    }

    private void submissionCompleted(Submission submission, JobOutcome outcome) {
        context.submissionEnded();
        boolean cacheable = outcome != null && outcome.verdict() != Verdict.NOT_RUN && submission.isExecutedHere();
        if (cacheable) {
            outcomeCache.add(submission, outcome, context.time().nanoTime());
            return;
        }
        submissions.remove(submission.digest);
        if (submission.winningNonce != null) {
            releaseClaims(submission);
        }
    }

    /** Releases the claim, but first all nonces under which a forwarded copy of the job could still be claimed. */
    private void releaseClaims(Submission submission) {
        ClaimStream stream = claimStreams.apply(streamIndexOf(submission.digest));
        submission.claimNonces.remove(submission.winningNonce);
        submission.claimNonces.forEach(nonce -> stream.release(submission.digest, nonce));
        stream.release(submission.digest, submission.winningNonce);
    }

    /** Creates the reply to another process from the result of a future. */
    static Message toReplyMessage(RequestId request, JobOutcome outcome, Throwable failure) {
        if (failure != null) {
            return new JobError(request, RequestException.errorOf(failure));
        }
        return new JobReport(request, outcome);
    }
}
