package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gypsumflow.command.PlacementRule.Wanted;
import org.gypsumflow.command.WorkerBoard.Candidate;
import org.gypsumflow.model.NodeName;
import org.gypsumflow.model.Resources;

/**
 * Places each task on the slowest worker that still ends it in time, so that fast workers stay free for tasks that need
 * them; refuses a job that no set of workers can end in time.
 */
public final class SlowestFit {
    /** Time from the choice to the start on the worker and from the end back to the caller; seen on quiet days. */
    private static final Duration OVERHEAD = Duration.ofMillis(15);
    /** Estimates are off by up to this share on the users' sheets. */
    private static final double ESTIMATE_ERROR = 0.4;
    /** Share of failed runs from which a worker gets no tasks while others have room. */
    private static final double MOST_FAILING = 0.3;
    /** Workers whose slowness differs by less than this count as equally fast. */
    private static final double SPEED_STEP = 0.25;
    /** Share of a worker that must be free before it takes a job that will be late: work in time goes first. */
    private static final double IDLE_SHARE = 0.4;

    private SlowestFit() {}

    /**
     * Creates the rule.
     *
     * @return the rule
     */
    public static PlacementRule rule() {
        return SlowestFit::choose;
    }

    private static List<NodeName> choose(Wanted wanted, Collection<Candidate> candidates) {
        List<Candidate> sound = new ArrayList<>(candidates.stream()
                .filter(candidate -> candidate.room().failing() < MOST_FAILING)
                .filter(candidate -> candidate.room().capacity().holds(wanted.needs()))
                .toList());
        double soundSlowness = median(sound);
        List<NodeName> chosen = new ArrayList<>();
        for (int task = 0; task < wanted.count(); task++) {
            Optional<Candidate> best = best(wanted, sound, soundSlowness);
            if (best.isEmpty()) {
                return List.of();
            }
            chosen.add(best.get().agent());
            sound.set(sound.indexOf(best.get()), best.get().after(wanted.needs()));
        }
        return chosen;
    }

    private static Optional<Candidate> best(Wanted wanted, List<Candidate> sound, double soundSlowness) {
        Comparator<Candidate> order = Comparator.<Candidate>comparingLong(
                        candidate -> -waitMillis(candidate, wanted.needs()))
                .thenComparing(candidate -> Math.floor(candidate.room().slowness() / SPEED_STEP))
                .thenComparing(SlowestFit::freeShare);
        Optional<Candidate> inTime = sound.stream()
                .filter(candidate -> endsInTime(wanted, candidate, soundSlowness))
                .max(order);
        return inTime.isPresent() ? inTime : soonest(wanted, sound);
    }

    private static Optional<Candidate> soonest(Wanted wanted, List<Candidate> sound) {
        return sound.stream()
                .filter(candidate -> wanted.begun() || freeShare(candidate) > IDLE_SHARE)
                .filter(candidate ->
                        endMillis(wanted, candidate, 1) <= wanted.latest().toMillis())
                .min(Comparator.comparingDouble(candidate -> endMillis(wanted, candidate, 1)));
    }

    /**
     * Estimates may be off as a whole, and the objective counts the time on a sound worker: the median worker stands for
     * that. Both the running time and the objective move with the error of a single estimate; the worse case decides.
     */
    private static boolean endsInTime(Wanted wanted, Candidate candidate, double soundSlowness) {
        double stretch = wanted.stretch() * soundSlowness;
        boolean slowerThanObjective = candidate.room().slowness() > stretch;
        double error = slowerThanObjective ? 1 + ESTIMATE_ERROR : 1 - ESTIMATE_ERROR;
        double objective = error * wanted.estimate().toMillis() * stretch
                + wanted.allowance().toMillis();
        return endMillis(wanted, candidate, error) <= objective;
    }

    private static double endMillis(Wanted wanted, Candidate candidate, double error) {
        double running = error * wanted.estimate().toMillis() * candidate.room().slowness();
        return OVERHEAD.toMillis() + waitMillis(candidate, wanted.needs()) + running;
    }

    private static double median(List<Candidate> candidates) {
        double[] sorted = candidates.stream()
                .mapToDouble(candidate -> candidate.room().slowness())
                .sorted()
                .toArray();
        return sorted.length == 0 ? 1 : sorted[(sorted.length - 1) / 2];
    }

    private static double freeShare(Candidate candidate) {
        return (double) candidate.free().processorMillis()
                / Math.max(1, candidate.room().capacity().processorMillis());
    }

    /** Expected time until a full worker has room: its whole capacity becomes free once in a mean running time. */
    private static long waitMillis(Candidate candidate, Resources needs) {
        if (candidate.free().holds(needs)) {
            return 0;
        }
        double missing = needs.processorMillis() - candidate.free().processorMillis();
        double share = missing / Math.max(1, candidate.room().capacity().processorMillis());
        return Math.round(Math.max(0, share) * candidate.room().meanRun().toMillis()) + 1;
    }
}
