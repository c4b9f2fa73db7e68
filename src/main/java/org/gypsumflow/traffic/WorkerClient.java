package org.gypsumflow.traffic;

import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.TaskListing;

/**
 * Calls the worker beside an agent.
 *
 * <p>A call whose future fails may still be carried out later, unless it fails with a {@link java.net.ConnectException}.
 */
public interface WorkerClient {
    /**
     * Starts a task.
     *
     * @param task the task
     * @param run number of the start
     * @param specification what to run
     * @param leaseUntilMillis end of the lease on the worker's clock
     * @param fencingToken token of the agent's life
     * @return what the worker did, or a failure
     */
    CompletableFuture<StartResponse> start(
            BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken);

    /**
     * Stops a run; one that is not there yet will not start.
     *
     * @param task the task
     * @param run number of the start
     * @param fencingToken token of the agent's life
     * @return completes when the worker has heard it, or a failure
     */
    CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken);

    /**
     * Renews the lease and asks for the account of all tasks.
     *
     * @param renewal what to renew and how long to wait for an end
     * @return the account, or a failure
     */
    CompletableFuture<TaskListing> renew(LeaseRenewal renewal);
}
