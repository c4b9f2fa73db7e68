package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.gypsumflow.command.JobPlacementPolicy.Placement;
import org.gypsumflow.command.JobPlacementPolicy.PlacementRequest;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;
import org.gypsumflow.model.Resources;

/**
 * Places each task where it ends soonest, waiting included, and refuses a job that no set of workers can end in time. Fast
 * workers thus do as much as they can, and slow ones take what is left and still ends in time.
 */
public final class EarliestFinishPlacement {
    /** Time from the choice to the start on the worker and from the end back to the caller; seen on quiet days. */
    private static final Duration OVERHEAD = Duration.ofMillis(15);
    /** Estimates are off by up to this share on the users' sheets. */
    private static final double ESTIMATE_ERROR = 0.4;
    /** Share of failed runs from which a worker gets no tasks while others have room. */
    private static final double MOST_FAILING = 0.3;
    /** Ends that differ by less count as equal, in milliseconds; estimates are not more exact. */
    private static final double SAME_END_MILLIS = 20;
    /** An expected wait counts this many times, since ends of other tasks come as unevenly as their estimates are off. */
    private static final double WAIT_CAUTION = 3;
    /** Share of a worker that must be free before it takes a job that will be late: work in time goes first. */
    private static final double IDLE_SHARE = 0.4;

    /** A worker while the tasks of one job are placed. */
    private static final class Place {
        private final Candidate candidate;
        private final Resources needs;
        private final double runMillis;
        private final double latestWaitMillis;
        private Resources usable;
        private double waitMillis;

        private Place(PlacementRequest wanted, Candidate candidate, double soundSlowness) {
            this.candidate = candidate;
            this.needs = wanted.resourcesPerTask();
            double slowness = candidate.slowdown();
            double estimate = wanted.estimate().toMillis();
            this.runMillis = estimate * slowness;
            this.latestWaitMillis = latestWait(wanted, slowness, soundSlowness);
            Resources room = UrgentReserve.isUrgent(wanted.slack()) ? candidate.idle() : candidate.uncommitted();
            use(UrgentReserve.usableCapacity(room, candidate.reportedStatus().capacity(), wanted.slack()));
        }

        /**
         * Estimates may be off as a whole, and the objective counts the time on a sound worker. Both the running time and
         * the objective move with the error of a single estimate; the worse case decides.
         */
        private static double latestWait(PlacementRequest wanted, double slowness, double soundSlowness) {
            double stretch = wanted.latencyFactor() * soundSlowness;
            double error = slowness > stretch ? 1 + ESTIMATE_ERROR : 1 - ESTIMATE_ERROR;
            double estimate = error * wanted.estimate().toMillis();
            double spare = estimate * (stretch - slowness)
                    + wanted.remainingLatencyAllowance().toMillis()
                    - OVERHEAD.toMillis();
            return spare / WAIT_CAUTION;
        }

        private void take() {
            use(usable.minus(needs));
        }

        private void use(Resources room) {
            usable = room;
            waitMillis = room.canFit(needs) ? 0 : expectedWait();
        }

        /** Expected time until a full worker has room: its whole capacity becomes free once in a mean running time. */
        private double expectedWait() {
            double missing = needs.cpuMillicores() - usable.cpuMillicores();
            double share =
                    missing / Math.max(1, candidate.reportedStatus().capacity().cpuMillicores());
            return Math.max(0, share)
                            * candidate.reportedStatus().meanRunDuration().toMillis()
                    + 1;
        }

        private double endMillis() {
            return OVERHEAD.toMillis() + WAIT_CAUTION * waitMillis + runMillis;
        }

        private boolean endsInTime() {
            return waitMillis <= latestWaitMillis;
        }

        private double freeShare() {
            return (double) usable.cpuMillicores()
                    / Math.max(1, candidate.reportedStatus().capacity().cpuMillicores());
        }

        private boolean endsSoonerThan(Place other) {
            double difference =
                    Math.floor(endMillis() / SAME_END_MILLIS) - Math.floor(other.endMillis() / SAME_END_MILLIS);
            return difference < 0 || (difference == 0 && freeShare() > other.freeShare());
        }
    }

    private EarliestFinishPlacement() {}

    /**
     * Creates the rule.
     *
     * @return the rule
     */
    public static JobPlacementPolicy policy() {
        return EarliestFinishPlacement::choose;
    }

    private static List<Placement> choose(PlacementRequest wanted, Collection<Candidate> candidates) {
        List<Place> places = places(wanted, candidates);
        List<Placement> chosen = new ArrayList<>();
        for (int task = 0; task < wanted.taskCount(); task++) {
            Optional<Place> best = best(wanted, places);
            if (best.isEmpty()) {
                return List.of();
            }
            chosen.add(new Placement(best.get().candidate.agent(), best.get().waitMillis > 0));
            best.get().take();
        }
        return chosen;
    }

    private static List<Place> places(PlacementRequest wanted, Collection<Candidate> candidates) {
        List<Candidate> sound = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.reportedStatus().failureRate() < MOST_FAILING
                    && candidate.reportedStatus().capacity().canFit(wanted.resourcesPerTask())) {
                sound.add(candidate);
            }
        }
        double soundSlowness = soundSlowness(sound);
        List<Place> places = new ArrayList<>();
        sound.forEach(candidate -> places.add(new Place(wanted, candidate, soundSlowness)));
        return places;
    }

    private static Optional<Place> best(PlacementRequest wanted, List<Place> places) {
        Place inTime = null;
        Place late = null;
        for (Place place : places) {
            if (place.endsInTime()) {
                inTime = inTime == null || place.endsSoonerThan(inTime) ? place : inTime;
            } else if (inTime == null && mayBeLate(wanted, place)) {
                late = late == null || place.endsSoonerThan(late) ? place : late;
            }
        }
        return Optional.ofNullable(inTime == null ? late : inTime);
    }

    private static boolean mayBeLate(PlacementRequest wanted, Place place) {
        return (wanted.mayHaveRun() || place.freeShare() > IDLE_SHARE)
                && place.endMillis() <= wanted.timeToHardDeadline().toMillis();
    }

    /**
     * Objectives count the time on a sound worker. Estimates tell that time if they are right as a whole; where all workers
     * are faster or most are slower than estimates say, the workers themselves do.
     */
    private static double soundSlowness(List<Candidate> candidates) {
        double[] sorted =
                candidates.stream().mapToDouble(Candidate::slowdown).sorted().toArray();
        return sorted.length == 0 ? 1 : Math.min(Math.max(1, sorted[0]), sorted[(sorted.length - 1) / 2]);
    }
}
