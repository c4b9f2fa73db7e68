package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.gypsumflow.command.JobPlacementPolicy.Placement;
import org.gypsumflow.command.JobPlacementPolicy.PlacementRequest;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.model.Resources;

/**
 * Places each task on the worker that is expected to finish it earliest, queue time included. If a task finds no worker
 * that finishes it in time, no task of the job is placed, since jobs that finish in time go first.
 *
 * <p>Fast workers thus get as many tasks as they can do, and slow ones get those that are left and still finish in
 * time. A job that may have run, or that finds a mostly free worker, may finish late, up to its hard deadline.
 */
public final class EarliestFinishPlacement {
    /** Time from the placement to the start on the worker, plus from its end to the response, under low load. */
    private static final Duration OVERHEAD = Duration.ofMillis(15);
    /** Share by which an estimate may be off, as stated in the users' requirements. */
    private static final double ESTIMATE_ERROR = 0.4;
    /** Failure rate from which a worker gets no tasks. */
    private static final double MAX_FAILURE_RATE = 0.3;
    /** Finish times are compared in steps of this size, in milliseconds; estimates are not more exact. */
    private static final double FINISH_TIME_RESOLUTION_MILLIS = 20;
    /** Factor applied to expected waits: other tasks finish as irregularly as their estimates are off. */
    private static final double WAIT_SAFETY_FACTOR = 3;
    /** Share of a worker that must be free before it gets a late job, since jobs that finish in time go first. */
    private static final double MIN_FREE_SHARE_FOR_LATE_JOB = 0.4;

    /** A worker with the tasks of one job that were placed on it so far. */
    private static final class WorkerOption {
        private final Candidate candidate;
        private final Resources resources;
        private final double runMillis;
        private final double maxWaitMillis;
        private Resources usable;
        private double waitMillis;
        private double finishMillis;
        private double costStep;
        private double freeShare;
        private double interferenceFactor;

        private WorkerOption(PlacementRequest request, Candidate candidate, double healthySlowdown) {
            this.candidate = candidate;
            this.resources = request.resourcesPerTask();
            this.interferenceFactor = candidate.interference().first();
            double slowdown = candidate.slowdown();
            double estimateMillis = request.estimate().toMillis();
            this.runMillis = estimateMillis * slowdown;
            this.maxWaitMillis = maxWaitMillis(request, slowdown, healthySlowdown);
            Resources available = UrgentReserve.isUrgent(request.slack()) ? candidate.idle() : candidate.uncommitted();
            setUsable(UrgentReserve.usableCapacity(
                    available, candidate.reportedStatus().capacity(), request.slack()));
        }

        /**
         * Returns the longest wait with which a task still meets its objective; negative if it is late without any
         * wait.
         *
         * <p>Estimates may all be off in one direction, and the objective refers to the run duration on a healthy
         * worker. Both the run duration and the objective change with the error of a single estimate; the worse case
         * decides.
         */
        private static double maxWaitMillis(PlacementRequest request, double slowdown, double healthySlowdown) {
            double allowedSlowdown = request.latencyFactor() * healthySlowdown;
            double errorFactor = slowdown > allowedSlowdown ? 1 + ESTIMATE_ERROR : 1 - ESTIMATE_ERROR;
            double estimateMillis = errorFactor * request.estimate().toMillis();
            double spareMillis = estimateMillis * (allowedSlowdown - slowdown)
                    + request.remainingLatencyAllowance().toMillis()
                    - OVERHEAD.toMillis();
            return spareMillis / WAIT_SAFETY_FACTOR;
        }

        private void addTask() {
            interferenceFactor = candidate.interference().further();
            setUsable(usable.minus(resources));
        }

        private void setUsable(Resources available) {
            usable = available;
            waitMillis = available.canFit(resources) ? 0 : expectedWaitMillis();
            finishMillis = OVERHEAD.toMillis() + WAIT_SAFETY_FACTOR * waitMillis + runMillis;
            costStep = Math.floor(costMillis() / FINISH_TIME_RESOLUTION_MILLIS);
            freeShare = (double) usable.cpuMillicores()
                    / Math.max(1, candidate.reportedStatus().capacity().cpuMillicores());
        }

        /**
         * Returns the cost by which workers are compared: the expected finish, and the time that kinds which disturb each
         * other lose beside each other. That time never makes a task late, so that no job is rejected for it.
         */
        private double costMillis() {
            return finishMillis + (interferenceFactor - 1) * runMillis;
        }

        /** Returns the expected wait on a full worker: its whole capacity becomes free once per mean run duration. */
        private double expectedWaitMillis() {
            double missingMillicores = resources.cpuMillicores() - usable.cpuMillicores();
            double missingShare = missingMillicores
                    / Math.max(1, candidate.reportedStatus().capacity().cpuMillicores());
            return Math.max(0, missingShare)
                            * candidate.reportedStatus().meanRunDuration().toMillis()
                    + 1;
        }

        private boolean finishesInTime() {
            return waitMillis <= maxWaitMillis;
        }

        private boolean finishesEarlierThan(WorkerOption other) {
            return costStep < other.costStep || (costStep == other.costStep && freeShare > other.freeShare);
        }
    }

    private EarliestFinishPlacement() {}

    /**
     * Returns the policy, which has no state.
     *
     * @return the policy
     */
    public static JobPlacementPolicy policy() {
        return EarliestFinishPlacement::choose;
    }

    private static List<Placement> choose(PlacementRequest request, Collection<Candidate> candidates) {
        List<WorkerOption> options = options(request, candidates);
        List<Placement> placements = new ArrayList<>();
        for (int task = 0; task < request.taskCount(); task++) {
            Optional<WorkerOption> best = bestOption(request, options);
            if (best.isEmpty()) {
                return List.of();
            }
            placements.add(new Placement(best.get().candidate.agent(), best.get().waitMillis > 0));
            best.get().addTask();
        }
        return placements;
    }

    private static List<WorkerOption> options(PlacementRequest request, Collection<Candidate> candidates) {
        List<Candidate> healthy = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.reportedStatus().failureRate() < MAX_FAILURE_RATE
                    && candidate.reportedStatus().capacity().canFit(request.resourcesPerTask())) {
                healthy.add(candidate);
            }
        }
        double healthySlowdown = healthySlowdown(healthy);
        List<WorkerOption> options = new ArrayList<>();
        healthy.forEach(candidate -> options.add(new WorkerOption(request, candidate, healthySlowdown)));
        return options;
    }

    private static Optional<WorkerOption> bestOption(PlacementRequest request, List<WorkerOption> options) {
        WorkerOption bestInTime = null;
        WorkerOption bestLate = null;
        for (WorkerOption option : options) {
            if (option.finishesInTime()) {
                bestInTime = bestInTime == null || option.finishesEarlierThan(bestInTime) ? option : bestInTime;
            } else if (bestInTime == null && mayFinishLate(request, option)) {
                bestLate = bestLate == null || option.finishesEarlierThan(bestLate) ? option : bestLate;
            }
        }
        return Optional.ofNullable(bestInTime == null ? bestLate : bestInTime);
    }

    private static boolean mayFinishLate(PlacementRequest request, WorkerOption option) {
        return (request.mayHaveRun() || option.freeShare > MIN_FREE_SHARE_FOR_LATE_JOB)
                && option.finishMillis <= request.timeToHardDeadline().toMillis();
    }

    /**
     * Returns the slowdown of a healthy worker, to which objectives refer; 1 if there are no candidates.
     *
     * <p>It is 1 if the estimates are right on the whole. If all workers are slower than estimated, it is that of the
     * fastest; if most are faster, it is the median.
     */
    private static double healthySlowdown(List<Candidate> candidates) {
        double[] sorted = new double[candidates.size()];
        for (int index = 0; index < sorted.length; index++) {
            sorted[index] = candidates.get(index).slowdown();
        }
        Arrays.sort(sorted);
        return sorted.length == 0 ? 1 : Math.min(Math.max(1, sorted[0]), sorted[(sorted.length - 1) / 2]);
    }
}
