package org.gypsumflow.traffic;

import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.TaskListing;

/**
 * Calls the worker that an agent controls.
 *
 * <p>A call whose future fails may still be executed later, unless it fails with a {@link java.net.ConnectException}.
 */
public interface WorkerClient {
    /** Failure of a stop or a renewal that the worker rejected because it has seen a higher fencing token. */
    final class FencedException extends Exception {
        private static final long serialVersionUID = 1;

        /** Creates the failure. */
        public FencedException() {
            super("the worker has seen a higher fencing token");
        }
    }

    /**
     * Starts a run of a task.
     *
     * @param task id of the task
     * @param run run number; the worker rejects one no higher than a run of the task that it has ended
     * @param specification what the worker runs, passed on unchanged
     * @param leaseUntilMillis end of the run's lease, in milliseconds of the worker's clock
     * @param fencingToken fencing token of this agent incarnation; the worker rejects a token lower than the highest
     *     seen
     * @return whether the worker started the run, with the worker's clock
     */
    CompletableFuture<StartResponse> start(
            BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken);

    /**
     * Stops a run; a run that has not arrived at the worker yet will not start.
     *
     * @param task id of the task
     * @param run number of the run
     * @param fencingToken fencing token of this agent incarnation; the worker rejects a token lower than the highest
     *     seen
     * @return completes when the worker has acknowledged the stop; fails with {@link FencedException} if the token is
     *     too low
     */
    CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken);

    /**
     * Renews the lease of all runs and lists them.
     *
     * @param renewal lease, acknowledgement, and how long the worker may wait for a run to finish before it responds
     * @return the running tasks, and the finished ones that were not acknowledged; fails with {@link FencedException}
     *     if the token is too low
     */
    CompletableFuture<TaskListing> renew(LeaseRenewal renewal);
}
