package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.command.WorkerSpeedEstimator.Sample;
import org.gypsumflow.command.interference.Interference;
import org.gypsumflow.command.interference.InterferenceModel;
import org.gypsumflow.command.interference.RunObservation;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RouteName;
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
     * @param interference cost of a task beside the kinds that run there
     */
    public record Candidate(
            MemberName agent,
            WorkerStatus reportedStatus,
            Resources uncommitted,
            Resources idle,
            double slowdown,
            Interference interference) {
        /** Returns the worker with less free capacity, since this part of its cores is reserved for other tasks. */
        Candidate withReservedShare(double share) {
            Resources reserved = Resources.of((int) (reportedStatus.capacity().cpuMillicores() * share), 0, 0);
            return new Candidate(
                    agent, reportedStatus, uncommitted.minus(reserved), idle.minus(reserved), slowdown, interference);
        }

        /** Returns the worker with what it costs a task of a job to run beside the kinds that run there. */
        private Candidate withInterference(Interference other) {
            return new Candidate(agent, reportedStatus, uncommitted, idle, slowdown, other);
        }

        /**
         * Returns the worker as if no kinds disturbed each other.
         *
         * @return a copy without interference
         */
        Candidate withoutInterference() {
            return withInterference(Interference.NONE);
        }
    }

    private static final class TrackedWorker {
        private WorkerStatus status;
        private Resources assigned = Resources.NONE;
        /** Candidate of this worker as of a time, until anything changes from which it is computed; null if none is. */
        private Candidate cachedCandidate;

        private long cachedAtNanos;
        private Map<RouteName, Integer> reportedRunning = Map.of();
        private final Map<RouteName, Integer> assignedByRoute = new HashMap<>();

        private void setStatus(WorkerStatus newStatus) {
            status = newStatus;
            cachedCandidate = null;
        }

        private void setAssigned(Resources newAssigned) {
            assigned = newAssigned;
            cachedCandidate = null;
        }

        /** Returns what runs there: what the agent told, and what this entry has assigned there and may start soon. */
        private Map<RouteName, Integer> running() {
            Map<RouteName, Integer> running = new HashMap<>(reportedRunning);
            assignedByRoute.forEach((route, millicores) -> running.merge(route, millicores, Math::max));
            return running;
        }
    }

    private final Map<MemberName, TrackedWorker> workers = new HashMap<>();
    private final WorkerSpeedEstimator speedEstimator = WorkerSpeedEstimator.create();
    private Set<AvailabilityZone> closedZones = Set.of();

    private final InterferenceModel interferenceModel;

    private WorkerCapacityTracker(InterferenceModel interferenceModel) {
        this.interferenceModel = interferenceModel;
    }

    /**
     * Creates a tracker that knows no workers.
     *
     * @return the tracker
     */
    public static WorkerCapacityTracker create() {
        return create(InterferenceModel.disabled());
    }

    /**
     * Creates a tracker that knows no workers.
     *
     * @param interferenceModel learns from completed jobs which kinds of tasks slow each other down
     * @return the tracker
     */
    public static WorkerCapacityTracker create(InterferenceModel interferenceModel) {
        return new WorkerCapacityTracker(interferenceModel);
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
     * Replaces what the runs of each route take of a worker, unless the agent did not tell; ignored if the worker is
     * unknown.
     *
     * @param agent agent that sent the report
     * @param runningMillicores thousandths of a core by route, of the tasks of all entries
     */
    void updateRunning(MemberName agent, Map<RouteName, Integer> runningMillicores) {
        find(agent).ifPresent(worker -> {
            if (!runningMillicores.isEmpty() || worker.status.runningTasks() == 0) {
                worker.reportedRunning = runningMillicores;
            }
        });
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
     * @param route route of its job
     * @param resources resources of the task
     */
    public void recordAssignment(MemberName agent, RouteName route, Resources resources) {
        find(agent).ifPresent(worker -> {
            worker.setAssigned(worker.assigned.plus(resources));
            worker.assignedByRoute.merge(route, resources.cpuMillicores(), Integer::sum);
        });
    }

    /**
     * Releases the resources of a task that finished or is being stopped; ignored if the worker is unknown.
     *
     * @param agent agent that the task was assigned to
     * @param route route of its job
     * @param resources resources of the task
     */
    public void releaseAssignment(MemberName agent, RouteName route, Resources resources) {
        find(agent).ifPresent(worker -> {
            worker.setAssigned(worker.assigned.minus(resources));
            worker.assignedByRoute.computeIfPresent(route, (name, millicores) -> {
                int left = millicores - resources.cpuMillicores();
                return left > 0 ? left : null;
            });
        });
    }

    /**
     * Updates the speeds of the workers that ran the tasks of a completed job, and what is known of the kinds beside
     * which they ran.
     *
     * @param route route of the job
     * @param runs one run for each task
     * @param estimate estimated run duration of one task
     * @param nowNanos current monotonic time
     */
    void recordCompletedJob(RouteName route, List<Sample> runs, Duration estimate, long nowNanos) {
        interferenceModel.recordCompletedJob(route, observations(runs, nowNanos), nowNanos);
        speedEstimator.recordCompletedJob(runs, estimate, nowNanos);
        workers.values().forEach(worker -> worker.cachedCandidate = null);
    }

    private List<RunObservation> observations(List<Sample> runs, long nowNanos) {
        List<RunObservation> observations = new ArrayList<>();
        for (Sample run : runs) {
            speedEstimator.comparedLogSlowdown(run.agent(), nowNanos).ifPresent(logSlowdown -> {
                double logDuration =
                        Math.log((double) Math.max(1, run.runDuration().toNanos()));
                observations.add(new RunObservation(logDuration - logSlowdown, run.surroundings()));
            });
        }
        return observations;
    }

    /**
     * Forgets effects of neighbours whose evidence has become old.
     *
     * @param nowNanos current monotonic time
     */
    void tick(long nowNanos) {
        interferenceModel.tick(nowNanos);
    }

    /**
     * Counts a job that was placed otherwise because kinds of tasks disturb each other.
     *
     * @param route route of the job
     * @param avoidedAgents agents whose workers it would have got otherwise
     */
    void recordChangedPlacement(RouteName route, Collection<MemberName> avoidedAgents) {
        Set<RouteName> avoided = new HashSet<>();
        avoidedAgents.forEach(agent ->
                find(agent).ifPresent(worker -> avoided.addAll(worker.running().keySet())));
        interferenceModel.recordChangedPlacement(route, avoided);
    }

    /**
     * Lists the workers on which tasks of a service may be placed.
     *
     * @param job the job whose tasks are to be placed
     * @param nowNanos current monotonic time
     * @return workers of the service that accept tasks in zones that are not closed, full ones included; may be empty
     */
    public List<Candidate> candidates(BestEffortJob job, long nowNanos) {
        List<Candidate> candidates = new ArrayList<>();
        workers.forEach((agent, worker) -> {
            if (worker.status != null
                    && acceptsTasksOf(worker.status, job.route().service())) {
                candidates.add(candidate(agent, worker, job, nowNanos));
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

    private Candidate candidate(MemberName agent, TrackedWorker worker, BestEffortJob job, long nowNanos) {
        if (worker.cachedCandidate == null || worker.cachedAtNanos != nowNanos) {
            worker.cachedCandidate = createCandidate(agent, worker, nowNanos);
            worker.cachedAtNanos = nowNanos;
        }
        return interferenceModel.hasBeliefs()
                ? worker.cachedCandidate.withInterference(interferenceModel.interference(
                        job.route().name(), job.resourcesPerTask().cpuMillicores(), worker.running()))
                : worker.cachedCandidate;
    }

    private Candidate createCandidate(MemberName agent, TrackedWorker worker, long nowNanos) {
        double slowdown = speedEstimator.slowdown(agent, worker.status.slowdown(), nowNanos);
        Resources unreported = worker.assigned.minus(worker.status.assignedByReceiver());
        return new Candidate(
                agent,
                worker.status,
                worker.status.uncommitted().minus(unreported),
                worker.status.idle().minus(unreported),
                Math.max(slowdown, worker.status.overdueSlowdown()),
                Interference.NONE);
    }

    private Optional<TrackedWorker> find(MemberName agent) {
        return Optional.ofNullable(workers.get(agent));
    }
}
