package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gypsumflow.command.PlacementRule.Choice;
import org.gypsumflow.command.PlacementRule.Wanted;
import org.gypsumflow.command.WorkerBoard.Candidate;
import org.gypsumflow.model.Resources;

/**
 * Places each task where it ends soonest, waiting included, and refuses a job that no set of workers can end in time. Fast
 * workers thus do as much as they can, and slow ones take what is left and still ends in time.
 */
public final class SoonestEnd {
    /** Time from the choice to the start on the worker and from the end back to the caller; seen on quiet days. */
    private static final Duration OVERHEAD = Duration.ofMillis(15);
    /** Estimates are off by up to this share on the users' sheets. */
    private static final double ESTIMATE_ERROR = 0.4;
    /** Share of failed runs from which a worker gets no tasks while others have room. */
    private static final double MOST_FAILING = 0.3;
    /** Ends that differ by less count as equal, in milliseconds; estimates are not more exact. */
    private static final double SAME_END_MILLIS = 20;
    /** An expected wait counts this many times, since ends of other tasks come as unevenly as their estimates are off. */
    private static final double WAIT_CAUTION = 2;
    /** Share of a worker that must be free before it takes a job that will be late: work in time goes first. */
    private static final double IDLE_SHARE = 0.4;

    private SoonestEnd() {}

    /**
     * Creates the rule.
     *
     * @return the rule
     */
    public static PlacementRule rule() {
        return SoonestEnd::choose;
    }

    private static List<Choice> choose(Wanted wanted, Collection<Candidate> candidates) {
        List<Candidate> sound = new ArrayList<>(candidates.stream()
                .filter(candidate -> candidate.room().failing() < MOST_FAILING)
                .filter(candidate -> candidate.room().capacity().holds(wanted.needs()))
                .toList());
        double soundSlowness = soundSlowness(sound);
        List<Choice> chosen = new ArrayList<>();
        for (int task = 0; task < wanted.count(); task++) {
            Optional<Candidate> best = best(wanted, sound, soundSlowness);
            if (best.isEmpty()) {
                return List.of();
            }
            chosen.add(new Choice(best.get().agent(), waitMillis(best.get(), wanted.needs()) > 0));
            sound.set(sound.indexOf(best.get()), best.get().after(wanted.needs()));
        }
        return chosen;
    }

    private static Optional<Candidate> best(Wanted wanted, List<Candidate> sound, double soundSlowness) {
        Comparator<Candidate> soonest = Comparator.<Candidate>comparingDouble(
                        candidate -> Math.floor(endMillis(wanted, candidate, 1) / SAME_END_MILLIS))
                .thenComparing(candidate -> -freeShare(candidate));
        Optional<Candidate> inTime = sound.stream()
                .filter(candidate -> endsInTime(wanted, candidate, soundSlowness))
                .min(soonest);
        return inTime.isPresent() ? inTime : late(wanted, sound, soonest);
    }

    private static Optional<Candidate> late(Wanted wanted, List<Candidate> sound, Comparator<Candidate> soonest) {
        return sound.stream()
                .filter(candidate -> wanted.begun() || freeShare(candidate) > IDLE_SHARE)
                .filter(candidate ->
                        endMillis(wanted, candidate, 1) <= wanted.latest().toMillis())
                .min(soonest);
    }

    /**
     * Estimates may be off as a whole, and the objective counts the time on a sound worker: a worker midway between the
     * median and the fastest stands for that, so that a fleet of mostly slow workers does not make them look sound. Both the running time and the objective move with the error of a single estimate; the worse case decides.
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
        return OVERHEAD.toMillis() + WAIT_CAUTION * waitMillis(candidate, wanted.needs()) + running;
    }

    private static double soundSlowness(List<Candidate> candidates) {
        double[] sorted = candidates.stream()
                .mapToDouble(candidate -> candidate.room().slowness())
                .sorted()
                .toArray();
        return sorted.length == 0 ? 1 : (sorted[0] + sorted[(sorted.length - 1) / 2]) / 2;
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
