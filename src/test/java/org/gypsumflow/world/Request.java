package org.gypsumflow.world;

import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.traffic.AtMostOnceEntry;

/** A submitted job and its outcome or error, as the caller sees them. */
final class Request {
    final JobRequest job;
    final AtMostOnceEntry entry;
    final long sentNanos;
    JobOutcome outcome;
    RequestError error;
    long completedNanos = Long.MAX_VALUE;
    boolean connectionLost;
    boolean cutByShutdown;

    Request(JobRequest job, AtMostOnceEntry entry, long sentNanos) {
        this.job = job;
        this.entry = entry;
        this.sentNanos = sentNanos;
    }

    boolean isPending() {
        return outcome == null && error == null && !connectionLost && !cutByShutdown;
    }

    Verdict verdict() {
        if (outcome != null) {
            return outcome.verdict();
        }
        return error != null ? error.verdict() : null;
    }

    void complete(JobOutcome jobOutcome, Throwable failure, long nowNanos) {
        if (!isPending()) {
            return;
        }
        outcome = jobOutcome;
        error = failure == null ? null : RequestException.errorOf(failure);
        completedNanos = nowNanos;
    }

    void markConnectionLost() {
        connectionLost |= isPending();
    }

    void markCutByShutdown() {
        cutByShutdown |= isPending();
    }

    @Override
    public String toString() {
        return job.key().key() + " x" + job.taskCount() + " at "
                + entry.snapshot().self().incarnation() + " sent "
                + sentNanos / 1_000_000 + " ms: "
                + (outcome != null ? outcome.verdict() + " " + outcome.reason() : "")
                + (error != null ? error.toString() : "")
                + (connectionLost ? "connection lost" : "")
                + (cutByShutdown ? "cut by shutdown" : "");
    }
}
