package org.gypsumflow.query;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.gypsumflow.command.interference.InterferingPair;

/** Lists which kinds of tasks slow each other down on one worker, as one entry has learnt it from its jobs. */
public final class InterferenceQuery {
    private static final double HUNDREDTHS = 100;

    /**
     * One ordered pair of routes; its components are written to HTTP responses under their own names.
     *
     * @param route route whose tasks are slowed down
     * @param neighbour route whose tasks run beside them
     * @param keptApart true if placement keeps the two apart where there is room
     * @param factor estimated run duration beside the neighbour as a multiple of that apart from it
     * @param lowestFactor lower confidence bound of the factor, by which a pair is believed
     * @param runsBeside runs beside the neighbour on which the estimate rests, older ones counted in part
     * @param runsApart runs apart from it, older ones counted in part
     * @param lastSeenMillis time since a run beside the neighbour was last reported
     * @param placementsChanged number of jobs that were placed otherwise because of this pair
     */
    public record Row(
            String route,
            String neighbour,
            boolean keptApart,
            double factor,
            double lowestFactor,
            double runsBeside,
            double runsApart,
            long lastSeenMillis,
            long placementsChanged) {}

    private InterferenceQuery() {}

    /**
     * Describes the pairs.
     *
     * @param pairs pairs that the entry knows
     * @return a row for each, those that are kept apart first, then by factor from the highest
     */
    public static List<Row> rows(Collection<InterferingPair> pairs) {
        return pairs.stream()
                .sorted(Comparator.comparing(InterferingPair::believed)
                        .thenComparing(InterferingPair::factor)
                        .reversed()
                        .thenComparing(pair -> pair.route().value())
                        .thenComparing(pair -> pair.neighbour().value()))
                .map(pair -> new Row(
                        pair.route().value(),
                        pair.neighbour().value(),
                        pair.believed(),
                        rounded(pair.factor()),
                        rounded(pair.lowestFactor()),
                        rounded(pair.runsBeside()),
                        rounded(pair.runsApart()),
                        pair.sinceSeen().toMillis(),
                        pair.changedPlacements()))
                .toList();
    }

    private static double rounded(double value) {
        return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
    }
}
