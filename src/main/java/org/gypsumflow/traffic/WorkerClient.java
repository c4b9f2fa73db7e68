package org.gypsumflow.traffic;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.TaskListing;

/**
 * Calls the worker that an agent controls.
 *
 * <p>What the failure of a call proves:
 *
 * <ul>
 *   <li>{@link java.net.ConnectException}: the worker did not receive the call, and no process listens at its address,
 *       so that the worker has ended with all its runs. Only a connection that the operating system refused shows this.
 *   <li>{@link NotReceivedException}: the worker did not receive the call. It may live and execute its runs; the fault
 *       may be the caller's, such as too many open files.
 *   <li>{@link FencedException}: the worker has rejected the call.
 *   <li>Any other failure, such as a timeout or a closed connection, proves nothing: the call may have been executed, or
 *       be executed later.
 * </ul>
 *
 * <p>The cause may be wrapped in a {@link java.util.concurrent.CompletionException}.
 */
public interface WorkerClient {
    /** Failure of a stop or a renewal that the worker rejected because it has seen a higher fencing token. */
    final class FencedException extends Exception {
        private static final long serialVersionUID = 1;

        private FencedException() {
            super("the worker has seen a higher fencing token");
        }

        /**
         * Creates an exception.
         *
         * @return the exception
         */
        public static FencedException create() {
            return new FencedException();
        }
    }

    /** A call that the worker did not receive, although it may still be running. */
    final class NotReceivedException extends IOException {
        private static final long serialVersionUID = 1;

        private NotReceivedException(Throwable cause) {
            super("the worker did not receive the call", cause);
        }

        /**
         * Creates an exception.
         *
         * @param cause why no connection could be opened
         * @return the exception
         */
        public static NotReceivedException of(Throwable cause) {
            return new NotReceivedException(cause);
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
