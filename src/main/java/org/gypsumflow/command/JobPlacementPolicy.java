package org.gypsumflow.command;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;

/** Chooses workers for tasks of one job. */
@FunctionalInterface
public interface JobPlacementPolicy {
    /**
     * Tasks that look for workers.
     *
     * @param taskCount number of tasks
     * @param resourcesPerTask what each needs
     * @param estimate rough running time of one
     * @param latencyFactor objective as a multiple of the running time
     * @param remainingLatencyAllowance what the objective allows beyond that, less the time that has passed; may be negative
     * @param slack time by which a task should have started to end in time, from now; may be negative
     * @param timeToHardDeadline time until an answer is worth nothing, from now
     * @param mayHaveRun true if parts of the job have started, so that a late end is better than none
     */
    record PlacementRequest(
            int taskCount,
            Resources resourcesPerTask,
            Duration estimate,
            double latencyFactor,
            Duration remainingLatencyAllowance,
            Duration slack,
            Duration timeToHardDeadline,
            boolean mayHaveRun) {}

    /**
     * A worker for a task.
     *
     * @param agent agent beside the worker
     * @param mayQueue true if the worker is known to be full and the task should wait there; false if it should come back
     *     at once should others have been quicker
     */
    record Placement(MemberName agent, boolean mayQueue) {}

    /**
     * Chooses a worker for each task.
     *
     * @param wanted the tasks
     * @param candidates workers that may take them
     * @return a choice for each task, in order; empty if the job had better not start
     */
    List<Placement> choose(PlacementRequest wanted, Collection<Candidate> candidates);
}
