package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.ServiceName;

/**
 * Tracks the free capacity and speed of the workers as one entry knows them.
 *
 * <p>An agent's last report is corrected by the assignments and results of this entry that the report does not contain.
 */
public final class WorkerCapacityTracker {
    /**
     * A worker on which tasks may be placed.
     *
     * @param agent agent of the worker
     * @param reportedStatus status last reported by the agent, without corrections
     * @param uncommitted capacity left after all assignments, waiting tasks included; negative if more is waiting
     *     than fits
     * @param idle capacity left after running and urgent tasks, for a task that overtakes waiting ones; may be negative
     * @param slowdown run duration of its tasks as a multiple of their estimates, 1.0 if they agree
     */
    public record Candidate(
            MemberName agent, WorkerStatus reportedStatus, Resources uncommitted, Resources idle, double slowdown) {
        /** Returns the worker with less free capacity, since this part of its cores is reserved for other tasks. */
        Candidate withReservedShare(double share) {
            Resources reserved = Resources.of((int) (reportedStatus.capacity().cpuMillicores() * share), 0, 0);
            return new Candidate(agent, reportedStatus, uncommitted.minus(reserved), idle.minus(reserved), slowdown);
        }
    }

    private static final class TrackedWorker {
        private WorkerStatus status;
        private Resources assigned = Resources.NONE;
        /** Candidate of this worker as of a time, until anything changes from which it is computed; null if none is. */
        private Candidate cachedCandidate;

        private long cachedAtNanos;

        private void setStatus(WorkerStatus newStatus) {
            status = newStatus;
            cachedCandidate = null;
        }

        private void setAssigned(Resources newAssigned) {
            assigned = newAssigned;
            cachedCandidate = null;
        }
    }

    private final Map<MemberName, TrackedWorker> workers = new HashMap<>();
    private final WorkerSpeedEstimator speedEstimator = WorkerSpeedEstimator.create();
    private Set<AvailabilityZone> closedZones = Set.of();

    private WorkerCapacityTracker() {}

    /**
     * Creates a tracker that knows no workers.
     *
     * @return the tracker
     */
    public static WorkerCapacityTracker create() {
        return new WorkerCapacityTracker();
    }

    /**
     * Replaces the status of a worker, adding the worker if it is new.
     *
     * @param agent agent that sent the report
     * @param status status of its worker
     */
    public void updateWorker(MemberName agent, WorkerStatus status) {
        workers.computeIfAbsent(agent, name -> new TrackedWorker()).setStatus(status);
    }

    /**
     * Removes a worker with what is known of its speed.
     *
     * @param agent agent that disconnected
     */
    public void remove(MemberName agent) {
        workers.remove(agent);
        speedEstimator.remove(agent);
    }

    /**
     * Sets the closed zones, whose workers are no candidates.
     *
     * @param zones all zones that get no new tasks, empty if none is closed
     */
    public void setClosedZones(Set<AvailabilityZone> zones) {
        this.closedZones = Set.copyOf(zones);
    }

    /**
     * Reserves resources for a task that this entry assigns; ignored if the worker is unknown.
     *
     * @param agent agent that the task is assigned to
     * @param resources resources of the task
     */
    public void recordAssignment(MemberName agent, Resources resources) {
        find(agent).ifPresent(worker -> worker.setAssigned(worker.assigned.plus(resources)));
    }

    /**
     * Releases the resources of a task that finished or is being stopped; ignored if the worker is unknown.
     *
     * @param agent agent that the task was assigned to
     * @param resources resources of the task
     */
    public void releaseAssignment(MemberName agent, Resources resources) {
        find(agent).ifPresent(worker -> worker.setAssigned(worker.assigned.minus(resources)));
    }

    /**
     * Updates the speeds of the workers that ran the tasks of a completed job.
     *
     * @param runs one run for each task
     * @param estimate estimated run duration of one task
     * @param nowNanos current monotonic time
     */
    void recordCompletedJob(List<WorkerSpeedEstimator.Sample> runs, Duration estimate, long nowNanos) {
        speedEstimator.recordCompletedJob(runs, estimate, nowNanos);
        workers.values().forEach(worker -> worker.cachedCandidate = null);
    }

    /**
     * Lists the workers on which tasks of a service may be placed.
     *
     * @param service service of the job
     * @param nowNanos current monotonic time
     * @return workers of the service that accept tasks in zones that are not closed, full ones included; may be empty
     */
    public List<Candidate> candidates(ServiceName service, long nowNanos) {
        List<Candidate> candidates = new ArrayList<>();
        workers.forEach((agent, worker) -> {
            if (worker.status != null && acceptsTasksOf(worker.status, service)) {
                candidates.add(candidate(agent, worker, nowNanos));
            }
        });
        return candidates;
    }

    /**
     * Returns the number of connected agents that have reported.
     *
     * @return number of agents, those whose worker accepts no tasks included
     */
    public int agentCount() {
        return workers.size();
    }

    private boolean acceptsTasksOf(WorkerStatus status, ServiceName service) {
        return status.acceptsTasks()
                && status.service().equals(service.value())
                && (closedZones.isEmpty()
                        || closedZones.stream().noneMatch(zone -> zone.value().equals(status.zone())));
    }

    private Candidate candidate(MemberName agent, TrackedWorker worker, long nowNanos) {
        if (worker.cachedCandidate == null || worker.cachedAtNanos != nowNanos) {
            worker.cachedCandidate = createCandidate(agent, worker, nowNanos);
            worker.cachedAtNanos = nowNanos;
        }
        return worker.cachedCandidate;
    }

    private Candidate createCandidate(MemberName agent, TrackedWorker worker, long nowNanos) {
        double slowdown = speedEstimator.slowdown(agent, worker.status.slowdown(), nowNanos);
        Resources unreported = worker.assigned.minus(worker.status.assignedByReceiver());
        return new Candidate(
                agent,
                worker.status,
                worker.status.uncommitted().minus(unreported),
                worker.status.idle().minus(unreported),
                Math.max(slowdown, worker.status.overdueSlowdown()));
    }

    private Optional<TrackedWorker> find(MemberName agent) {
        return Optional.ofNullable(workers.get(agent));
    }
}
