package org.gypsumflow.model;

import java.time.Duration;
import java.util.List;

/** The requests and responses between an agent and the worker on the same host, independent of their encoding. */
public final class WorkerProtocol {
    private WorkerProtocol() {}

    /** How a worker responded to a request to start a task; the names appear in log lines. */
    public enum StartStatus {
        /** The task is running. */
        STARTED,
        /** The worker does not have the free resources that the task takes. */
        NO_ROOM,
        /** The worker has already ended a run of the task with the same or a higher run number. */
        OLD_RUN,
        /** The lease in the request had expired when the request arrived. */
        TOO_LATE,
        /** The worker has received a higher fencing token than that of the request. */
        FENCED,
        /** The worker did not start the task, because it has a fault or the request was invalid. */
        REFUSED,
        /** The worker rejected one copy of the request, while another one got no response and may start the task. */
        UNDECIDED
    }

    /**
     * A worker's response to a request to start a task.
     *
     * @param status whether the task started, and if not, why
     * @param clockMillis time of the worker's clock in milliseconds, negative if the response does not contain it
     */
    public record StartResponse(StartStatus status, long clockMillis) {}

    /**
     * A task that is running on a worker.
     *
     * @param task id of the task
     * @param runNumber number of the run
     * @param percentDone progress of the task in percent, 0 to 100
     */
    public record RunningTask(BestEffortTaskId task, RunNumber runNumber, int percentDone) {}

    /**
     * A task whose run on a worker has ended.
     *
     * @param sequenceNumber position in the worker's list of finished tasks; increases within one incarnation of the
     *     worker
     * @param task id of the task
     * @param runNumber number of the run
     * @param outcome how the run ended
     */
    public record FinishedTask(long sequenceNumber, BestEffortTaskId task, RunNumber runNumber, RunOutcome outcome) {}

    /**
     * A worker's list of its running and finished tasks.
     *
     * @param workerStartedAtMillis when the incarnation of the worker that the lists belong to started, in milliseconds
     *     since the epoch; 0 if the worker did not report it
     * @param clockMillis time of the worker's clock in milliseconds
     * @param running tasks that are running
     * @param finished tasks whose runs ended and have not been acknowledged
     */
    public record TaskListing(
            long workerStartedAtMillis, long clockMillis, List<RunningTask> running, List<FinishedTask> finished) {
        /** Makes unmodifiable copies of the lists. */
        public TaskListing {
            running = List.copyOf(running);
            finished = List.copyOf(finished);
        }
    }

    /**
     * Renews the lease of all running tasks and requests the task listing.
     *
     * @param fencingToken fencing token of the agent; that of a later incarnation is higher
     * @param acknowledgedThrough highest sequence number that the agent has received; the worker need not list these
     *     finished tasks again
     * @param leaseUntilMillis end of the lease by the worker's clock, in milliseconds; negative to leave the lease
     *     unchanged
     * @param maxWait maximum time that the worker may wait for a run to end before it responds
     */
    public record LeaseRenewal(long fencingToken, long acknowledgedThrough, long leaseUntilMillis, Duration maxWait) {}
}
