package org.gypsumflow.command;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;

/** Chooses the workers on which the tasks of a best-effort job run. */
@FunctionalInterface
public interface JobPlacementPolicy {
    /**
     * Tasks of one job that need workers.
     *
     * @param taskCount number of tasks, at least one
     * @param resourcesPerTask resources that each task takes
     * @param estimate estimated run duration of one task
     * @param latencyFactor multiple of the run duration that the latency objective allows
     * @param remainingLatencyAllowance constant part of the objective less the time since the job was accepted; may
     *     be negative
     * @param slack time left until a task should have started to meet the objective; may be negative
     * @param timeToHardDeadline time left until a result has no value
     * @param mayHaveRun true if a part of the job may have run, so that a late result is better than none
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
     * The worker chosen for a task.
     *
     * @param agent agent of the worker
     * @param mayQueue true if the worker is known to be full and the task should wait there; false if the agent
     *     should return it immediately when other entries took the capacity first
     */
    record Placement(MemberName agent, boolean mayQueue) {}

    /**
     * Chooses a worker for each task.
     *
     * @param request the tasks and their limits
     * @param candidates workers that accept tasks of the service, full ones included
     * @return a placement for each task, in order; empty if the tasks should not be placed now
     */
    List<Placement> choose(PlacementRequest request, Collection<Candidate> candidates);
}
