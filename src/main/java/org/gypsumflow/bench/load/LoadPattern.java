package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A named load pattern: arrival rate, workers and disruptions of one simulation.
 *
 * @param name name on the command line
 * @param offeredLoad work that arrives, as a share of what all workers can do; overload above 1
 * @param entryCount number of entries
 * @param firstEntryShare share of the jobs that arrive at the first entry
 * @param estimateError share by which estimates may be off, up or down
 * @param fleet slowdowns of the workers
 * @param interference how much long and middle jobs slow each other down on one worker
 * @param events disruptions during the simulation, in any order
 */
record LoadPattern(
        String name,
        double offeredLoad,
        int entryCount,
        double firstEntryShare,
        double estimateError,
        Fleet fleet,
        Interference interference,
        List<LoadEvent> events) {
    /** Time during which jobs arrive. */
    static final Duration ARRIVAL_DURATION = Duration.ofSeconds(30);

    private static final int DEFAULT_ENTRY_COUNT = 4;
    private static final double DEFAULT_ESTIMATE_ERROR = 0.4;
    private static final Duration DISRUPTION_START = Duration.ofSeconds(8);
    private static final Duration DISRUPTION_END = Duration.ofSeconds(16);
    /** Rise and fall of the arrival rate in waves, as a share of its mean, as in the users' requirements. */
    private static final double WAVE_SWING = 0.55;

    private static final Duration WAVE_PERIOD = Duration.ofSeconds(15);
    private static final Duration WAVE_STEP = Duration.ofMillis(500);

    /**
     * A change of load or workers at a fixed time.
     *
     * @param offset time since the start of the arrivals
     * @param action change to make
     */
    record LoadEvent(Duration offset, Consumer<LoadSimulation> action) {}

    /**
     * Kinds of tasks that slow each other down.
     *
     * @param factor factor by which the tasks of long and of middle jobs run slower beside each other, 1 if they do not
     * @param avoided true if interference avoidance is on
     */
    record Interference(double factor, boolean avoided) {
        private static final Interference NONE = new Interference(1, false);
    }

    /** Slowdowns of the workers of a deployment, repeated in order; modelled on the users' two deployments. */
    enum Fleet {
        ONE_FAST_IN_FOUR(List.of(0.55, 1.2, 1.2, 1.2)),
        THREE_SPEEDS(List.of(0.6, 1.0, 1.6));

        // The linter knows Guava's lists to be immutable, not those of the JDK.
        @SuppressWarnings("ImmutableEnumChecker")
        private final List<Double> slowdowns;

        Fleet(List<Double> slowdowns) {
            this.slowdowns = slowdowns;
        }

        double slowdown(int worker) {
            return slowdowns.get(worker % slowdowns.size());
        }
    }

    /** Returns all patterns by name, in the order in which they run. */
    static Map<String, LoadPattern> all() {
        Map<String, LoadPattern> patterns = new LinkedHashMap<>();
        for (LoadPattern pattern : List.of(
                constant("steady-65", 0.65),
                constant("steady-85", 0.85),
                constant("three-speeds-65", 0.65).withFleet(Fleet.THREE_SPEEDS),
                constant("three-speeds-85", 0.85).withFleet(Fleet.THREE_SPEEDS),
                temporaryDisruption(
                        "burst-of-all",
                        0.75,
                        simulation -> simulation.scaleArrivals(1.6),
                        simulation -> simulation.scaleArrivals(1)),
                temporaryDisruption(
                        "burst-of-long-jobs",
                        0.75,
                        simulation -> simulation.scaleArrivals("long", 2.2),
                        simulation -> simulation.scaleArrivals(1)),
                temporaryDisruption(
                        "burst-of-one-kind",
                        0.85,
                        simulation -> simulation.scaleArrivals("middle", 1.9),
                        simulation -> simulation.scaleArrivals(1)),
                temporaryDisruption(
                        "burst-of-two-kinds",
                        0.85,
                        simulation -> {
                            simulation.scaleArrivals(1.3);
                            simulation.scaleArrivals("short", 1.9);
                            simulation.scaleArrivals("long", 1.6);
                        },
                        simulation -> simulation.scaleArrivals(1)),
                constant("waves", 0.9).withWaves(),
                permanentDisruption("zone-lost", 0.7, LoadSimulation::failZone),
                temporaryDisruption(
                        "slow-quarter",
                        0.65,
                        simulation -> simulation.applyToWorkers(0.25, worker -> worker.setSlowdown(6)),
                        simulation -> simulation.applyToWorkers(0.25, worker -> worker.setSlowdown(1))),
                temporaryDisruption(
                        "failing-workers",
                        0.65,
                        simulation -> simulation.applyToWorkers(0.2, worker -> worker.setFailureShare(1)),
                        simulation -> simulation.applyToWorkers(0.2, worker -> worker.setFailureShare(0))),
                temporaryDisruption(
                        "half-failing-workers",
                        0.65,
                        simulation -> simulation.applyToWorkers(0.2, worker -> worker.setFailureShare(0.5)),
                        simulation -> simulation.applyToWorkers(0.2, worker -> worker.setFailureShare(0))),
                temporaryDisruption(
                        "hanging-workers",
                        0.65,
                        simulation -> simulation.applyToWorkers(0.1, worker -> worker.setHanging(true)),
                        simulation -> simulation.applyToWorkers(0.1, worker -> worker.setHanging(false))),
                temporaryDisruption(
                        "cancel-wave",
                        0.85,
                        simulation -> simulation.setCancelShare(0.4),
                        simulation -> simulation.setCancelShare(0)),
                temporaryDisruption(
                        "poisoned-jobs",
                        0.75,
                        simulation -> simulation.setPoisonedShare(0.1),
                        simulation -> simulation.setPoisonedShare(0)),
                constant("estimates-far-off", 0.75).withEstimateError(0.75),
                constant("uneven-entries", 0.75).withFirstEntryShare(0.6),
                constant("one-entry", 0.75).withEntries(1),
                constant("thirteen-entries", 0.75).withEntries(13),
                constant("overload", 1.3),
                constant("uneven-overload", 1.3).withFirstEntryShare(0.6),
                permanentDisruption("hot-key", 1.1, simulation -> simulation.setHotKeyShare(0.5)),
                temporaryDisruption(
                        "overload-cancel-wave",
                        1.3,
                        simulation -> simulation.setCancelShare(0.4),
                        simulation -> simulation.setCancelShare(0)),
                constant("steady-65-avoidance", 0.65).withInterference(new Interference(1, true)),
                constant("steady-85-avoidance", 0.85).withInterference(new Interference(1, true)),
                constant("interfering-kinds-50", 0.5).withInterference(new Interference(1.8, false)),
                constant("interfering-kinds-50-avoidance", 0.5).withInterference(new Interference(1.8, true)),
                constant("interfering-kinds-100", 1).withInterference(new Interference(1.8, false)),
                constant("interfering-kinds-100-avoidance", 1).withInterference(new Interference(1.8, true)))) {
            patterns.put(pattern.name, pattern);
        }
        return patterns;
    }

    private static LoadPattern constant(String name, double offeredLoad) {
        return new LoadPattern(
                name,
                offeredLoad,
                DEFAULT_ENTRY_COUNT,
                1.0 / DEFAULT_ENTRY_COUNT,
                DEFAULT_ESTIMATE_ERROR,
                Fleet.ONE_FAST_IN_FOUR,
                Interference.NONE,
                List.of());
    }

    private static LoadPattern permanentDisruption(String name, double offeredLoad, Consumer<LoadSimulation> action) {
        return constant(name, offeredLoad).withEvent(new LoadEvent(DISRUPTION_START, action));
    }

    private static LoadPattern temporaryDisruption(
            String name, double offeredLoad, Consumer<LoadSimulation> start, Consumer<LoadSimulation> end) {
        return permanentDisruption(name, offeredLoad, start).withEvent(new LoadEvent(DISRUPTION_END, end));
    }

    private LoadPattern withWaves() {
        LoadPattern pattern = this;
        for (Duration offset = Duration.ZERO; offset.compareTo(ARRIVAL_DURATION) < 0; offset = offset.plus(WAVE_STEP)) {
            double phase = 2 * Math.PI * offset.toMillis() / WAVE_PERIOD.toMillis();
            pattern = pattern.withEvent(
                    new LoadEvent(offset, simulation -> simulation.scaleArrivals(1 + WAVE_SWING * Math.sin(phase))));
        }
        return pattern;
    }

    private LoadPattern withEvent(LoadEvent event) {
        List<LoadEvent> extended = new ArrayList<>(events);
        extended.add(event);
        return new LoadPattern(
                name,
                offeredLoad,
                entryCount,
                firstEntryShare,
                estimateError,
                fleet,
                interference,
                List.copyOf(extended));
    }

    private LoadPattern withEstimateError(double error) {
        return new LoadPattern(name, offeredLoad, entryCount, firstEntryShare, error, fleet, interference, events);
    }

    private LoadPattern withFirstEntryShare(double share) {
        return new LoadPattern(name, offeredLoad, entryCount, share, estimateError, fleet, interference, events);
    }

    private LoadPattern withEntries(int count) {
        return new LoadPattern(name, offeredLoad, count, 1.0 / count, estimateError, fleet, interference, events);
    }

    private LoadPattern withFleet(Fleet other) {
        return new LoadPattern(
                name, offeredLoad, entryCount, firstEntryShare, estimateError, other, interference, events);
    }

    private LoadPattern withInterference(Interference other) {
        return new LoadPattern(name, offeredLoad, entryCount, firstEntryShare, estimateError, fleet, other, events);
    }
}
