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

/** One submission on its way from arrival to answer; used on one lane only. */
final class Submission {
    /** Ends the message of a refusal that cannot speak for earlier requests. */
    static final String EARLIER_REQUEST_MAY_HAVE_RUN =
            "; this request started nothing, an earlier one under the same key may have";

    final SubmissionDigest digest;
    final JobRequest job;
    final long deadlineNanos;
    final TraceParent trace;
    final CompletableFuture<JobOutcome> result = new CompletableFuture<>();

    /** Everything under which this submission or a copy of it may be claimed. */
    final Set<ClaimNonce> claimNonces = new LinkedHashSet<>();

    /** What came with the job from another entry and was not claimed under yet. */
    Optional<ClaimNonce> forwardedNonce = Optional.empty();

    /** Number of copies sent to other entries that were not answered. */
    int unansweredForwards;

    /** The claim that this entry won, null before. */
    ClaimNonce winningNonce;

    /** The running job, null before it is claimed. */
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

    /** Takes the nonce that came with the job, once. */
    Optional<ClaimNonce> takeForwardedNonce() {
        Optional<ClaimNonce> taken = forwardedNonce;
        forwardedNonce = Optional.empty();
        return taken;
    }

    /** Passes on the answer of another entry. */
    void completeWithForwarded(JobOutcome outcome) {
        if (outcome.verdict() == Verdict.NOT_RUN && unansweredForwards > 0) {
            reject(RequestError.notRun(ErrorCode.HOLDER_LOST, outcome.reason()));
            return;
        }
        result.complete(outcome);
    }

    /** Refuses the submission; while a copy may still arrive at another entry, "not run" is no proof. */
    void reject(RequestError refusal) {
        boolean copyAtLarge = unansweredForwards > 0 && winningNonce == null;
        RequestError proven = refusal.verdict() == Verdict.NOT_RUN && copyAtLarge
                ? RequestError.mayHaveRun(refusal.code(), refusal.message() + EARLIER_REQUEST_MAY_HAVE_RUN)
                : refusal;
        result.completeExceptionally(proven.toException());
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
