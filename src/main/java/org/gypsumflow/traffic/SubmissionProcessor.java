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
 * Brings submissions from arrival to answer: joins resubmissions, forwards, claims, runs, recovers.
 *
 * <p>One instance serves some of the claim streams; all of it runs on one lane.
 */
final class SubmissionProcessor {
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration DEADLINE_GRACE = Duration.ofMillis(250);
    private static final Duration TARGET_GRACE = Duration.ofSeconds(1);
    private final EntryContext context;
    private final SerialExecutor lane;
    private final Function<Integer, ClaimStream> streams;
    private final OutcomeRecovery recovery;
    private final Map<SubmissionDigest, Submission> submissions = new HashMap<>();
    private final OutcomeCache answers;

    private SubmissionProcessor(EntryContext context, SerialExecutor lane, Function<Integer, ClaimStream> streams) {
        this.context = context;
        this.lane = lane;
        this.streams = streams;
        this.recovery = OutcomeRecovery.create(context, lane);
        this.answers = OutcomeCache.create(
                context.settings().deduplicationWindow(),
                context.settings().maxCachedOutcomeCharacters(),
                old -> submissions.remove(old.digest));
    }

    static SubmissionProcessor create(
            EntryContext context, SerialExecutor lane, Function<Integer, ClaimStream> streams) {
        return new SubmissionProcessor(context, lane, streams);
    }

    /** Answers a job; {@code forwarded} is what to claim under if another entry sent it here. */
    CompletableFuture<JobOutcome> submit(JobRequest job, TraceParent trace, Optional<ClaimNonce> forwarded) {
        CompletableFuture<JobOutcome> answer = new CompletableFuture<>();
        lane.execute(() -> submitOnLane(job, trace, forwarded).whenComplete((outcome, failure) -> {
            if (failure != null) {
                answer.completeExceptionally(failure);
            } else {
                answer.complete(outcome);
            }
        }));
        return answer;
    }

    /** Ends what has not started of a job; tells whether the job is known here. */
    CompletableFuture<Optional<JobOutcome>> cancel(SubmissionDigest digest) {
        CompletableFuture<Optional<JobOutcome>> answer = new CompletableFuture<>();
        lane.execute(() -> {
            Submission known = submissions.get(digest);
            if (known == null || !known.isExecutedHere()) {
                answer.complete(Optional.empty());
                return;
            }
            known.execution.cancel();
            known.result.whenComplete((outcome, failure) -> answer.complete(Optional.ofNullable(outcome)));
        });
        return answer;
    }

    CompletableFuture<Optional<JobView>> describe(SubmissionDigest digest) {
        CompletableFuture<Optional<JobView>> answer = new CompletableFuture<>();
        lane.execute(() ->
                answer.complete(Optional.ofNullable(submissions.get(digest)).map(Submission::toView)));
        return answer;
    }

    void taskReported(TaskReport report) {
        lane.execute(() -> {
            Submission known = submissions.get(report.task().submission());
            if (known != null && known.isExecutedHere()) {
                known.execution.taskReported(report);
            }
        });
    }

    void workerConnected(WorkerName worker, Incarnation agent, Connection link) {
        lane.execute(() -> submissions.values().forEach(each -> {
            if (each.isExecutedHere() && !each.result.isDone()) {
                each.execution.workerConnected(worker, agent, link);
            }
        }));
    }

    private CompletableFuture<JobOutcome> submitOnLane(
            JobRequest job, TraceParent trace, Optional<ClaimNonce> forwarded) {
        answers.evictExpired(context.time().nanoTime());
        Submission known = submissions.get(job.key().digest());
        if (known != null) {
            forwarded.ifPresent(known.claimNonces::add);
            return attach(known, job);
        }
        if (!context.snapshot().isUsable(context.time().nanoTime())) {
            return CompletableFuture.failedFuture(RequestError.mayHaveRun(
                            ErrorCode.LEAVING,
                            "this entry was paused and the request may be old"
                                    + Submission.EARLIER_REQUEST_MAY_HAVE_RUN)
                    .toException());
        }
        long deadline = context.time().nanoTime() + job.timeout().toNanos();
        Submission submission = Submission.create(job, deadline, trace);
        submissions.put(submission.digest, submission);
        context.submissionOpened();
        submission.result.whenComplete((outcome, failure) -> ended(submission, outcome));
        lane.schedule(job.timeout().plus(DEADLINE_GRACE), () -> timeOut(submission));
        forwarded.ifPresent(submission.claimNonces::add);
        submission.forwardedNonce = forwarded;
        begin(submission, forwarded.isPresent());
        return submission.result;
    }

    private CompletableFuture<JobOutcome> attach(Submission known, JobRequest job) {
        if (known.job.fingerprint() != job.fingerprint()) {
            return CompletableFuture.failedFuture(keyReused(job).toException());
        }
        CompletableFuture<JobOutcome> bounded = known.result.copy();
        lane.schedule(
                job.timeout(),
                () -> bounded.completeExceptionally(
                        RequestError.mayHaveRun(ErrorCode.TIMEOUT, "the job is still running")
                                .toException()));
        return bounded;
    }

    private void begin(Submission submission, boolean forwarded) {
        if (TicketIssuer.isTicket(submission.job.key().key())) {
            beginTicket(submission);
            return;
        }
        Optional<Connection> owner = forwarded ? Optional.empty() : ownerLink(submission.digest);
        if (owner.isPresent()) {
            forward(submission, owner.get(), () -> claim(submission));
            return;
        }
        claim(submission);
    }

    private Optional<Connection> ownerLink(SubmissionDigest digest) {
        EntrySnapshot snapshot = context.snapshot();
        return ClaimStreamOwnership.ownerOf(streamOf(digest), snapshot.entriesInService())
                .filter(owner -> !owner.incarnation().equals(snapshot.self().incarnation()))
                .flatMap(owner -> snapshot.peerConnection(owner.incarnation()));
    }

    private int streamOf(SubmissionDigest digest) {
        return ClaimStreamOwnership.streamIndex(digest, context.settings().claimStreamCount());
    }

    private void beginTicket(Submission submission) {
        Optional<TicketIssuer.Ticket> ticket =
                TicketIssuer.parse(submission.job.key().key());
        if (ticket.isEmpty()) {
            submission.reject(RequestError.notRun(ErrorCode.BAD_TICKET, "the ticket is malformed"));
            return;
        }
        Incarnation holder = ticket.get().holder();
        if (!holder.equals(context.self())) {
            attachTo(submission, holder);
            return;
        }
        if (!context.tickets().isValid(ticket.get(), submission.job.key().caller())) {
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.BAD_TICKET,
                    "the ticket is unknown or has expired; it starts nothing now, but may have before"));
            return;
        }
        run(submission);
    }

    private void claim(Submission submission) {
        if (isOver(submission)) {
            timeOut(submission);
            return;
        }
        EntrySnapshot snapshot = context.snapshot();
        if (snapshot.draining() || !snapshot.ready()) {
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.LEAVING, "this entry is not in service" + Submission.EARLIER_REQUEST_MAY_HAVE_RUN));
            return;
        }
        ClaimStream stream = streams.apply(streamOf(submission.digest));
        if (stream.isFull()) {
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.OVERLOADED,
                    "too many submissions wait for a claim" + Submission.EARLIER_REQUEST_MAY_HAVE_RUN));
            return;
        }
        Tracing.Hop hop = context.tracing().begin("claim", submission.trace);
        stream.claim(wanted(submission), submission.deadlineNanos).thenAccept(result -> {
            hop.end(result instanceof ClaimResult.Won ? Verdict.COMPLETED : Verdict.NOT_RUN);
            claimed(submission, result);
        });
    }

    /** A claim made for another entry uses the nonce that came with the job, any other claim a fresh one. */
    private Claimed wanted(Submission submission) {
        ClaimNonce nonce = submission.takeForwardedNonce().orElseGet(() -> freshNonce(submission));
        JobRequest job = submission.job;
        return new Claimed(submission.digest, job.fingerprint(), job.taskCount(), context.self(), nonce);
    }

    private ClaimNonce freshNonce(Submission submission) {
        ClaimNonce nonce =
                ClaimNonce.of(context.random().nextLong(), context.random().nextLong());
        submission.claimNonces.add(nonce);
        return nonce;
    }

    private void claimed(Submission submission, ClaimResult result) {
        if (result instanceof ClaimResult.Won won) {
            submission.winningNonce = won.nonce();
            run(submission);
        } else if (result instanceof ClaimResult.Lost lost) {
            lost(submission, lost.winner());
        } else if (result instanceof ClaimResult.Abandoned abandoned) {
            context.events().write(Event.CLAIM_ABANDONED, submission.digest, abandoned.reason());
            submission.reject(RequestError.mayHaveRun(
                    ErrorCode.LOG_UNAVAILABLE, abandoned.reason() + Submission.EARLIER_REQUEST_MAY_HAVE_RUN));
        }
    }

    private void lost(Submission submission, Claimed winner) {
        if (winner.fingerprint() != submission.job.fingerprint()) {
            submission.reject(keyReused(submission.job));
            return;
        }
        if (winner.holder().equals(context.self())) {
            recover(submission);
            return;
        }
        attachTo(submission, winner.holder());
    }

    private void attachTo(Submission submission, Incarnation holder) {
        Optional<Connection> link = context.snapshot().peerConnection(holder);
        if (link.isEmpty()) {
            recover(submission);
            return;
        }
        forward(
                submission,
                link.get(),
                () -> lane.schedule(RETRY_PAUSE, () -> {
                    if (!submission.result.isDone()) {
                        attachTo(submission, holder);
                    }
                }));
    }

    private void recover(Submission submission) {
        recovery.recover(submission.digest, submission.job.taskCount(), submission.deadlineNanos)
                .thenAccept(outcome -> submission.result.complete(outcome));
    }

    /** Hands the job to another entry; if that gives no answer, goes on otherwise. */
    private void forward(Submission submission, Connection link, Runnable otherwise) {
        Duration left =
                Duration.ofNanos(submission.deadlineNanos - context.time().nanoTime());
        if (left.toMillis() < 1) {
            timeOut(submission);
            return;
        }
        JobRequest job = submission.job;
        JobRequest remaining = JobRequest.of(job.key(), job.service(), job.payloads(), left);
        ClaimNonce nonce = freshNonce(submission);
        submission.unansweredForwards++;
        context.pendingRequests()
                .send(
                        link,
                        lane,
                        left.plus(DEADLINE_GRACE),
                        request -> new ForwardJob(request, remaining, nonce, submission.trace))
                .whenComplete(
                        (answer, failure) -> lane.execute(() -> forwarded(submission, answer, failure, otherwise)));
    }

    private void forwarded(Submission submission, Message answer, Throwable failure, Runnable otherwise) {
        if (failure == null) {
            submission.unansweredForwards--;
        }
        if (submission.result.isDone()) {
            return;
        }
        boolean passedOn = answer instanceof JobError refused && refused.error().code() == ErrorCode.LEAVING;
        if (failure != null || passedOn) {
            otherwise.run();
        } else if (answer instanceof JobReport report) {
            submission.completeWithForwarded(report.outcome());
        } else if (answer instanceof JobError refused) {
            submission.reject(refused.error());
        }
    }

    private void run(Submission submission) {
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
                    context.placementQueue().waitingTasks() + " tasks wait already, at most "
                            + context.settings().maxWaitingTasks() + " may"));
            return;
        }
        if (context.snapshot().eligibleWorkers(job.service()).isEmpty()) {
            lane.schedule(TARGET_GRACE, () -> runIfTarget(submission));
            return;
        }
        fly(submission);
    }

    private void runIfTarget(Submission submission) {
        if (submission.result.isDone()) {
            return;
        }
        if (context.snapshot().eligibleWorkers(submission.job.service()).isEmpty()) {
            submission.reject(RequestError.notRun(
                    ErrorCode.NO_TARGET,
                    "no open worker has a target of service \"" + submission.job.service() + "\""));
            return;
        }
        fly(submission);
    }

    private void fly(Submission submission) {
        if (isOver(submission)) {
            timeOut(submission);
            return;
        }
        submission.execution = JobExecution.create(
                submission.job,
                context.self(),
                lane,
                context.time(),
                context.placementQueue(),
                context.retryPolicy(),
                context.random(),
                submission.trace,
                submission.deadlineNanos);
        submission.execution.start().thenAccept(submission.result::complete);
    }

    private boolean isOver(Submission submission) {
        return context.time().nanoTime() - submission.deadlineNanos >= 0;
    }

    /** Ends a submission that has no answer at its deadline; one that holds its claim and started nothing did not run. */
    private void timeOut(Submission submission) {
        if (submission.result.isDone() || submission.execution != null) {
            return;
        }
        RequestError refusal = submission.winningNonce != null
                ? RequestError.notRun(ErrorCode.TIMEOUT, "the deadline passed before the job could start")
                : RequestError.mayHaveRun(ErrorCode.TIMEOUT, "the deadline passed without an answer");
        submission.reject(refusal);
    }

    private static RequestError keyReused(JobRequest job) {
        return RequestError.notRun(
                ErrorCode.KEY_REUSED,
                "field \"Idempotency-Key\": \"" + job.key().key()
                        + "\" was used for another job before; this job did not run");
    }

    private void ended(Submission submission, JobOutcome outcome) {
        context.submissionEnded();
        boolean proven = outcome != null && outcome.verdict() != Verdict.NOT_RUN && submission.isExecutedHere();
        if (proven) {
            answers.add(submission, outcome, context.time().nanoTime());
            return;
        }
        submissions.remove(submission.digest);
        if (submission.winningNonce != null) {
            release(submission);
        }
    }

    /** Gives the claim back, but first everything under which a copy of the job could still be claimed. */
    private void release(Submission submission) {
        ClaimStream stream = streams.apply(streamOf(submission.digest));
        submission.claimNonces.remove(submission.winningNonce);
        submission.claimNonces.forEach(nonce -> stream.release(submission.digest, nonce));
        stream.release(submission.digest, submission.winningNonce);
    }

    /** Turns the failure of a future into an answer for another process. */
    static Message toReplyMessage(RequestId request, JobOutcome outcome, Throwable failure) {
        if (failure != null) {
            return new JobError(request, RequestException.errorOf(failure));
        }
        return new JobReport(request, outcome);
    }
}
