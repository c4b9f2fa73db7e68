package org.gypsumflow.traffic;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.query.JobView;

/** State of one submission from its arrival to its outcome; confined to one executor. */
final class Submission {
    /** Suffix of error messages whose request started nothing although an earlier request may have. */
    static final String EARLIER_REQUEST_MAY_HAVE_RUN =
            "; this request started nothing, an earlier one under the same key may have";

    final SubmissionDigest digest;
    final JobRequest job;
    final long deadlineNanos;
    final TraceParent trace;
    final CompletableFuture<JobOutcome> result = new CompletableFuture<>();

    /** Nonces under which this submission or a forwarded copy of it may be claimed. */
    final Set<ClaimNonce> claimNonces = new LinkedHashSet<>();

    /** Nonce sent along by the entry that forwarded the job, until it is used for a claim. */
    Optional<ClaimNonce> forwardedNonce = Optional.empty();

    /** Number of copies forwarded to other entries without a reply. */
    int unansweredForwards;

    /** Nonce of the claim that this entry won, null before. */
    ClaimNonce winningNonce;

    /** Execution of the job at this entry, null before it starts. */
    JobExecution execution;

    private Submission(JobRequest job, long deadlineNanos, TraceParent trace) {
        this.digest = job.key().digest();
        this.job = job;
        this.deadlineNanos = deadlineNanos;
        this.trace = trace;
    }

    static Submission create(JobRequest job, long deadlineNanos, TraceParent trace) {
        return new Submission(job, deadlineNanos, trace);
    }

    boolean isExecutedHere() {
        return execution != null;
    }

    /** Returns the forwarded nonce and clears it, so that it is used only once. */
    Optional<ClaimNonce> takeForwardedNonce() {
        Optional<ClaimNonce> nonce = forwardedNonce;
        forwardedNonce = Optional.empty();
        return nonce;
    }

    /**
     * Completes the submission with the outcome that another entry replied. "Not run" is reported as an error while a
     * further copy is without a reply, since that one may still run.
     */
    void completeWithForwarded(JobOutcome outcome) {
        if (outcome.verdict() == Verdict.NOT_RUN && unansweredForwards > 0) {
            reject(RequestError.notRun(ErrorCode.HOLDER_LOST, outcome.reason()));
            return;
        }
        result.complete(outcome);
    }

    /**
     * Rejects the submission. While a forwarded copy may still arrive at another entry, "not run" is not proven and the
     * error says "may have run" instead.
     */
    void reject(RequestError error) {
        boolean copyMayArrive = unansweredForwards > 0 && winningNonce == null;
        RequestError reportedError = error.verdict() == Verdict.NOT_RUN && copyMayArrive
                ? RequestError.mayHaveRun(error.code(), error.message() + EARLIER_REQUEST_MAY_HAVE_RUN)
                : error;
        result.completeExceptionally(reportedError.toException());
    }

    JobView toView() {
        JobOutcome outcome = result.getNow(null);
        return new JobView(
                digest.toString(),
                outcome == null ? "running" : "ended",
                outcome == null ? null : outcome.verdict(),
                outcome == null ? "" : outcome.reason(),
                job.taskCount());
    }
}
