package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A named pattern of load.
 *
 * @param name name on the command line
 * @param offeredLoad mean load as a share of the work that all workers can do
 * @param entryCount number of entries
 * @param firstEntryShare share of the jobs that come to the first entry
 * @param estimateError estimates are off by up to this share
 * @param fleet how slow the workers are
 * @param events what happens during the pattern
 */
record LoadPattern(
        String name,
        double offeredLoad,
        int entryCount,
        double firstEntryShare,
        double estimateError,
        Fleet fleet,
        List<LoadEvent> events) {
    /** How long jobs arrive. */
    static final Duration ARRIVAL_DURATION = Duration.ofSeconds(30);

    private static final int ENTRIES = 4;
    private static final double ESTIMATE_ERROR = 0.4;
    private static final Duration BEGIN = Duration.ofSeconds(8);
    private static final Duration END = Duration.ofSeconds(16);

    /**
     * Something that happens at a time.
     *
     * @param offset when, from the first job on
     * @param action what it does
     */
    record LoadEvent(Duration offset, Consumer<LoadSimulation> action) {}

    /** How much slower than nominal the workers of a deployment are, in turn; as the users' two deployments differ. */
    enum Fleet {
        ONE_FAST_IN_FOUR(List.of(0.55, 1.2, 1.2, 1.2)),
        THREE_SPEEDS(List.of(0.6, 1.0, 1.6));

        // The linter knows Guava's lists to be immutable, not those of the JDK.
        @SuppressWarnings("ImmutableEnumChecker")
        private final List<Double> slowness;

        Fleet(List<Double> slowness) {
            this.slowness = slowness;
        }

        double slowness(int worker) {
            return slowness.get(worker % slowness.size());
        }
    }

    /** Lists all patterns by name. */
    static Map<String, LoadPattern> all() {
        Map<String, LoadPattern> patterns = new LinkedHashMap<>();
        for (LoadPattern pattern : List.of(
                plain("steady-65", 0.65),
                plain("steady-85", 0.85),
                plain("three-speeds-65", 0.65).withFleet(Fleet.THREE_SPEEDS),
                plain("three-speeds-85", 0.85).withFleet(Fleet.THREE_SPEEDS),
                during("burst-of-all", 0.75, run -> run.scaleArrivals(1.6), run -> run.scaleArrivals(1)),
                during("burst-of-long-jobs", 0.75, run -> run.scaleArrivals(1, 2.2), run -> run.scaleArrivals(1, 1)),
                at("zone-lost", 0.7, LoadSimulation::failZone),
                during(
                        "slow-quarter",
                        0.65,
                        run -> run.applyToWorkers(0.25, worker -> worker.setSlowdown(6)),
                        run -> run.applyToWorkers(0.25, worker -> worker.setSlowdown(1))),
                during(
                        "failing-workers",
                        0.65,
                        run -> run.applyToWorkers(0.2, worker -> worker.setFailureShare(1)),
                        run -> run.applyToWorkers(0.2, worker -> worker.setFailureShare(0))),
                during(
                        "half-failing-workers",
                        0.65,
                        run -> run.applyToWorkers(0.2, worker -> worker.setFailureShare(0.5)),
                        run -> run.applyToWorkers(0.2, worker -> worker.setFailureShare(0))),
                during(
                        "hanging-workers",
                        0.65,
                        run -> run.applyToWorkers(0.1, worker -> worker.setHanging(true)),
                        run -> run.applyToWorkers(0.1, worker -> worker.setHanging(false))),
                during("cancel-wave", 0.85, run -> run.setCancelShare(0.4), run -> run.setCancelShare(0)),
                during("poisoned-jobs", 0.75, run -> run.setPoisonedShare(0.1), run -> run.setPoisonedShare(0)),
                plain("estimates-far-off", 0.75).withEstimateError(0.75),
                plain("uneven-entries", 0.75).withFirstEntryShare(0.6),
                plain("one-entry", 0.75).withEntries(1),
                plain("thirteen-entries", 0.75).withEntries(13),
                plain("overload", 1.3))) {
            patterns.put(pattern.name, pattern);
        }
        return patterns;
    }

    private static LoadPattern plain(String name, double load) {
        return new LoadPattern(name, load, ENTRIES, 1.0 / ENTRIES, ESTIMATE_ERROR, Fleet.ONE_FAST_IN_FOUR, List.of());
    }

    private static LoadPattern at(String name, double load, Consumer<LoadSimulation> change) {
        return plain(name, load).with(new LoadEvent(BEGIN, change));
    }

    private static LoadPattern during(
            String name, double load, Consumer<LoadSimulation> begin, Consumer<LoadSimulation> end) {
        return at(name, load, begin).with(new LoadEvent(END, end));
    }

    private LoadPattern with(LoadEvent event) {
        List<LoadEvent> more = new ArrayList<>(events);
        more.add(event);
        return new LoadPattern(name, offeredLoad, entryCount, firstEntryShare, estimateError, fleet, List.copyOf(more));
    }

    private LoadPattern withEstimateError(double error) {
        return new LoadPattern(name, offeredLoad, entryCount, firstEntryShare, error, fleet, events);
    }

    private LoadPattern withFirstEntryShare(double share) {
        return new LoadPattern(name, offeredLoad, entryCount, share, estimateError, fleet, events);
    }

    private LoadPattern withEntries(int number) {
        return new LoadPattern(name, offeredLoad, number, 1.0 / number, estimateError, fleet, events);
    }

    private LoadPattern withFleet(Fleet other) {
        return new LoadPattern(name, offeredLoad, entryCount, firstEntryShare, estimateError, other, events);
    }
}
