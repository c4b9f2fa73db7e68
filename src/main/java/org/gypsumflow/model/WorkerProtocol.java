package org.gypsumflow.model;

import java.time.Duration;
import java.util.List;

/** What an agent and the worker beside it say to each other, free of its encoding. */
public final class WorkerProtocol {
    private WorkerProtocol() {}

    /** How a worker answered an order to start. */
    public enum StartStatus {
        /** The task runs. */
        STARTED,
        /** The worker lacks the room. */
        NO_ROOM,
        /** The worker has ended a run as high as this one. */
        OLD_RUN,
        /** The lease that the order carried had ended when it arrived. */
        TOO_LATE,
        /** The worker has seen a higher fencing token. */
        FENCED,
        /** The worker is not well, or the order was wrong, and it did nothing. */
        REFUSED
    }

    /**
     * A worker's answer to an order to start.
     *
     * @param status what it did
     * @param clockMillis the worker's clock, negative if it did not say
     */
    public record StartResponse(StartStatus status, long clockMillis) {}

    /**
     * A task that runs.
     *
     * @param task the task
     * @param runNumber number of its start
     * @param percentDone how much of it is done, 0 to 100
     */
    public record RunningTask(BestEffortTaskId task, RunNumber runNumber, int percentDone) {}

    /**
     * A run that ended.
     *
     * @param sequenceNumber place in the worker's list of ends; rises within one life of the worker
     * @param task the task
     * @param runNumber number of its start
     * @param outcome how it ended
     */
    public record FinishedTask(long sequenceNumber, BestEffortTaskId task, RunNumber runNumber, RunOutcome outcome) {}

    /**
     * A worker's account of its tasks.
     *
     * @param workerStartedAtMillis life of the worker that the lists belong to, in milliseconds since the epoch; 0 if not said
     * @param clockMillis the worker's clock
     * @param running what runs
     * @param finished what ended and was not yet acknowledged
     */
    public record TaskListing(
            long workerStartedAtMillis, long clockMillis, List<RunningTask> running, List<FinishedTask> finished) {
        /** Copies the lists. */
        public TaskListing {
            running = List.copyOf(running);
            finished = List.copyOf(finished);
        }
    }

    /**
     * Renews the lease of all that runs and asks for the account.
     *
     * @param fencingToken token of the agent's life
     * @param acknowledgedThrough number up to which ends need not be repeated
     * @param leaseUntilMillis end of the lease on the worker's clock; negative to leave the lease as it is
     * @param maxWait how long the worker may wait for an end before it answers
     */
    public record LeaseRenewal(long fencingToken, long acknowledgedThrough, long leaseUntilMillis, Duration maxWait) {}
}
