package org.gypsumflow.world;

import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.traffic.AtMostOnceEntry;

/** One request of a caller and the answer that it got. */
final class Request {
    final JobRequest job;
    final AtMostOnceEntry entry;
    final long sentNanos;
    JobOutcome outcome;
    RequestError refusal;
    long answeredNanos = Long.MAX_VALUE;
    boolean connectionLost;
    boolean cut;

    Request(JobRequest job, AtMostOnceEntry entry, long sentNanos) {
        this.job = job;
        this.entry = entry;
        this.sentNanos = sentNanos;
    }

    boolean isOpen() {
        return outcome == null && refusal == null && !connectionLost && !cut;
    }

    Verdict verdict() {
        if (outcome != null) {
            return outcome.verdict();
        }
        return refusal != null ? refusal.verdict() : null;
    }

    void answered(JobOutcome answer, Throwable failure, long nowNanos) {
        if (!isOpen()) {
            return;
        }
        outcome = answer;
        refusal = failure == null ? null : RequestException.errorOf(failure);
        answeredNanos = nowNanos;
    }

    void connectionLost() {
        connectionLost |= isOpen();
    }

    void cut() {
        cut |= isOpen();
    }

    @Override
    public String toString() {
        return job.key().key() + " x" + job.taskCount() + " at "
                + entry.snapshot().self().incarnation() + " sent "
                + sentNanos / 1_000_000 + " ms: "
                + (outcome != null ? outcome.verdict() + " " + outcome.reason() : "")
                + (refusal != null ? refusal.toString() : "")
                + (connectionLost ? "connection lost" : "")
                + (cut ? "cut" : "");
    }
}
