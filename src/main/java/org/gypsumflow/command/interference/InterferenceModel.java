package org.gypsumflow.command.interference;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RouteName;

/**
 * Learns from the jobs of one entry which kinds of tasks slow each other down on one worker.
 *
 * <p>A kind is a route. A pair is believed once the lower confidence bound of its slowdown is above a factor that callers
 * notice, and no longer once the estimate is small or its evidence old.
 */
public final class InterferenceModel {
    /** Kinds whose neighbours are kept, each with {@value KindRegression#MAX_NEIGHBOURS}: 512 pairs. */
    static final int MAX_KINDS = 64;

    /** Slowdown above which callers notice: less is within the differences of tasks of one job. */
    private static final double BELIEF_FACTOR = 1.1;
    /** Slowdown below which a believed pair is released; hysteresis keeps a belief from changing with every job. */
    private static final double RELEASE_FACTOR = 1.06;
    /** Standard errors between the estimate and its lower bound, for a few false pairs among all that are compared. */
    private static final double BELIEF_STANDARD_ERRORS = 4;
    /** Standard errors that a believed pair must still be above the release factor. */
    private static final double RELEASE_STANDARD_ERRORS = 1;
    /** Runs beside the neighbour, and apart from it, before a pair is believed. */
    private static final double MIN_RUNS = 10;
    /** Recent runs beside the neighbour below which a pair is forgotten. */
    private static final double MIN_RUNS_TO_KEEP = 2;
    /** Maximum factor of one pair; a larger estimate comes from tasks that hang. */
    private static final double MAX_FACTOR = 3;
    /** Share of its run during which a new task is beside the runs that it delays: these have run for a while. */
    private static final double HARM_WEIGHT = 0.5;
    /** Number of tasks that one task is taken to delay, at most. */
    private static final double MAX_DELAYED_TASKS = 4;
    /** Interval between checks for beliefs whose evidence has become old. */
    private static final Duration AGEING_INTERVAL = Duration.ofSeconds(2);

    private static final class Pair {
        private boolean believed;
        private long seenNanos;
        private long changedPlacements;
    }

    private static final class Kind {
        private final KindRegression regression;
        private final Pair[] pairs = new Pair[KindRegression.MAX_NEIGHBOURS];
        private double uses;

        private Kind(long nowNanos) {
            regression = new KindRegression(nowNanos);
            for (int slot = 0; slot < pairs.length; slot++) {
                pairs[slot] = new Pair();
            }
        }
    }

    private final boolean enabled;
    private final EventLog events;
    private final DecisionCounter counter;
    private final Map<RouteName, Kind> kinds = new HashMap<>();
    /** Natural logarithms of the believed factors: by the kind that is slowed down, then by its neighbour. */
    private Map<RouteName, Map<RouteName, Double>> believed = Map.of();

    /** Read by the thread that serves the metrics as well. */
    private volatile int believedCount;

    private long agedNanos;

    private InterferenceModel(boolean enabled, EventLog events, DecisionCounter counter) {
        this.enabled = enabled;
        this.events = events;
        this.counter = counter;
    }

    /**
     * Creates a model that believes in no pair yet.
     *
     * @param events receives each change of belief
     * @param counter counts the placements that the beliefs change
     * @return the model
     */
    public static InterferenceModel create(EventLog events, DecisionCounter counter) {
        return new InterferenceModel(true, events, counter);
    }

    /**
     * Returns a model that learns nothing and never changes a placement.
     *
     * @return the model
     */
    public static InterferenceModel disabled() {
        return new InterferenceModel(false, EventLog.none(), DecisionCounter.none());
    }

    /**
     * Learns from a completed job; jobs of one task tell nothing, since there is no task to compare it with.
     *
     * @param route route of the job
     * @param runs one run for each task that ran on a worker of known speed
     * @param nowNanos current monotonic time
     */
    public void recordCompletedJob(RouteName route, List<RunObservation> runs, long nowNanos) {
        List<RunObservation> known = runs.stream()
                .filter(run -> !run.surroundings().equals(RunSurroundings.UNKNOWN))
                .toList();
        if (!enabled || known.size() < 2) {
            return;
        }
        findOrAdmit(route, nowNanos).ifPresent(kind -> {
            kind.uses++;
            RouteName[] replaced = kind.regression.add(known, nowNanos);
            for (int slot = 0; slot < replaced.length; slot++) {
                if (replaced[slot] != null) {
                    forget(route, replaced[slot], kind, slot);
                }
            }
            for (RunObservation run : known) {
                run.surroundings().neighbours().forEach(neighbour -> markSeen(kind, neighbour.route(), nowNanos));
            }
            updateBeliefs(route, kind);
            rebuildBeliefs();
        });
    }

    /**
     * Forgets what has become old.
     *
     * @param nowNanos current monotonic time
     */
    public void tick(long nowNanos) {
        if (kinds.isEmpty() || nowNanos - agedNanos < AGEING_INTERVAL.toNanos()) {
            return;
        }
        double remaining = Math.pow(0.5, (double) (nowNanos - agedNanos) / KindRegression.HALF_LIFE_NANOS);
        agedNanos = nowNanos;
        kinds.forEach((route, kind) -> {
            kind.uses *= remaining;
            kind.regression.age(nowNanos);
            updateBeliefs(route, kind);
        });
        rebuildBeliefs();
    }

    /**
     * Returns whether any pair is believed, so that the neighbours of a worker matter.
     *
     * @return true if at least one is
     */
    public boolean hasBeliefs() {
        return believedCount > 0;
    }

    /**
     * Returns the number of believed pairs.
     *
     * @return number of ordered pairs
     */
    public int believedCount() {
        return believedCount;
    }

    /**
     * Returns what it costs to place a task beside the runs of a worker.
     *
     * @param route route of the task's job
     * @param cpuMillicores processor share of the task, in thousandths of a core
     * @param running processor shares of the runs at the worker by route, in thousandths of a core
     * @return the cost; {@link Interference#NONE} if no believed pair is concerned
     */
    public Interference interference(RouteName route, int cpuMillicores, Map<RouteName, Integer> running) {
        if (!hasBeliefs()) {
            return Interference.NONE;
        }
        double ownLogFactor = 0;
        double harm = 0;
        for (Map.Entry<RouteName, Integer> neighbour : running.entrySet()) {
            if (neighbour.getValue() > 0) {
                ownLogFactor += logFactor(route, neighbour.getKey());
                double delayedTasks =
                        Math.min(MAX_DELAYED_TASKS, (double) neighbour.getValue() / Math.max(1, cpuMillicores));
                harm += HARM_WEIGHT * delayedTasks * (Math.exp(logFactor(neighbour.getKey(), route)) - 1);
            }
        }
        double first = Math.exp(Math.min(Math.log(MAX_FACTOR), ownLogFactor)) + harm;
        double besideSibling = running.getOrDefault(route, 0) > 0 ? 0 : Math.exp(logFactor(route, route)) - 1;
        return first == 1 && besideSibling == 0 ? Interference.NONE : new Interference(first, first + besideSibling);
    }

    /**
     * Counts a job that was placed otherwise than it would have been without the beliefs.
     *
     * @param route route of the job
     * @param avoided routes that run at the workers that it did not get
     */
    public void recordChangedPlacement(RouteName route, Collection<RouteName> avoided) {
        counter.increment("placements_changed", "interference");
        for (RouteName neighbour : avoided) {
            find(route, neighbour).ifPresent(InterferenceModel::countChange);
            if (!neighbour.equals(route)) {
                find(neighbour, route).ifPresent(InterferenceModel::countChange);
            }
        }
    }

    /**
     * Returns the pairs that were seen on one worker.
     *
     * @param nowNanos current monotonic time
     * @return at most 512 pairs, in any order
     */
    public List<InterferingPair> pairs(long nowNanos) {
        List<InterferingPair> pairs = new ArrayList<>();
        kinds.forEach((route, kind) -> {
            for (int slot = 0; slot < kind.pairs.length; slot++) {
                if (kind.regression.neighbour(slot) != null) {
                    pairs.add(describe(route, kind, slot, nowNanos));
                }
            }
        });
        return pairs;
    }

    private static InterferingPair describe(RouteName route, Kind kind, int slot, long nowNanos) {
        KindRegression regression = kind.regression;
        return new InterferingPair(
                route,
                regression.neighbour(slot),
                Math.exp(regression.effect(slot)),
                Math.exp(regression.effect(slot) - BELIEF_STANDARD_ERRORS * regression.standardError(slot)),
                regression.runsBeside(slot),
                regression.runsApart(slot),
                Duration.ofNanos(nowNanos - kind.pairs[slot].seenNanos),
                kind.pairs[slot].believed,
                kind.pairs[slot].changedPlacements);
    }

    private double logFactor(RouteName route, RouteName neighbour) {
        Map<RouteName, Double> factors = believed.get(route);
        return factors == null ? 0 : factors.getOrDefault(neighbour, 0.0);
    }

    /** Admits a new kind in place of the least used one once it has been seen as often. */
    private Optional<Kind> findOrAdmit(RouteName route, long nowNanos) {
        Kind known = kinds.get(route);
        if (known != null) {
            return Optional.of(known);
        }
        if (kinds.size() >= MAX_KINDS) {
            Map.Entry<RouteName, Kind> leastUsed = kinds.entrySet().stream()
                    .min(Comparator.comparingDouble(entry -> entry.getValue().uses))
                    .orElseThrow();
            leastUsed.getValue().uses--;
            if (leastUsed.getValue().uses > 0) {
                return Optional.empty();
            }
            forgetAll(leastUsed.getKey(), leastUsed.getValue());
            kinds.remove(leastUsed.getKey());
        }
        if (kinds.isEmpty()) {
            agedNanos = nowNanos;
        }
        Kind admitted = new Kind(nowNanos);
        kinds.put(route, admitted);
        return Optional.of(admitted);
    }

    private void forgetAll(RouteName route, Kind kind) {
        for (int slot = 0; slot < kind.pairs.length; slot++) {
            forget(route, kind.regression.neighbour(slot), kind, slot);
        }
    }

    private void forget(RouteName route, RouteName neighbour, Kind kind, int slot) {
        if (kind.pairs[slot].believed) {
            events.write(Event.INTERFERENCE_FORGOTTEN, route, neighbour, kind.pairs[slot].changedPlacements);
        }
        kind.pairs[slot] = new Pair();
    }

    private static void markSeen(Kind kind, RouteName neighbour, long nowNanos) {
        for (int slot = 0; slot < kind.pairs.length; slot++) {
            if (neighbour.equals(kind.regression.neighbour(slot))) {
                kind.pairs[slot].seenNanos = nowNanos;
            }
        }
    }

    private Optional<Pair> find(RouteName route, RouteName neighbour) {
        Kind kind = kinds.get(route);
        for (int slot = 0; kind != null && slot < kind.pairs.length; slot++) {
            if (neighbour.equals(kind.regression.neighbour(slot)) && kind.pairs[slot].believed) {
                return Optional.of(kind.pairs[slot]);
            }
        }
        return Optional.empty();
    }

    private static void countChange(Pair pair) {
        pair.changedPlacements++;
    }

    private void updateBeliefs(RouteName route, Kind kind) {
        KindRegression regression = kind.regression;
        for (int slot = 0; slot < kind.pairs.length; slot++) {
            if (regression.neighbour(slot) == null) {
                continue;
            }
            double effect = regression.effect(slot);
            double error = regression.standardError(slot);
            if (!kind.pairs[slot].believed) {
                boolean enoughRuns = regression.runsBeside(slot) >= MIN_RUNS && regression.runsApart(slot) >= MIN_RUNS;
                if (enoughRuns && effect - BELIEF_STANDARD_ERRORS * error > Math.log(BELIEF_FACTOR)) {
                    believe(route, kind, slot);
                }
            } else if (regression.runsBeside(slot) < MIN_RUNS_TO_KEEP) {
                release(route, kind, slot, "no recent runs beside each other");
            } else if (effect - RELEASE_STANDARD_ERRORS * error < Math.log(RELEASE_FACTOR)) {
                release(route, kind, slot, "they do not slow each other down any more");
            }
        }
    }

    private void believe(RouteName route, Kind kind, int slot) {
        kind.pairs[slot].believed = true;
        events.write(
                Event.INTERFERENCE_FOUND,
                route,
                String.format("%.2f", Math.exp(kind.regression.effect(slot))),
                kind.regression.neighbour(slot),
                Math.round(kind.regression.runsBeside(slot)),
                Math.round(kind.regression.runsApart(slot)));
    }

    private void release(RouteName route, Kind kind, int slot, String reason) {
        kind.pairs[slot].believed = false;
        events.write(
                Event.INTERFERENCE_ENDED,
                route,
                kind.regression.neighbour(slot),
                String.format("%.2f", Math.exp(kind.regression.effect(slot))),
                kind.pairs[slot].changedPlacements,
                reason);
    }

    private void rebuildBeliefs() {
        Map<RouteName, Map<RouteName, Double>> current = new HashMap<>();
        int count = 0;
        for (Map.Entry<RouteName, Kind> entry : kinds.entrySet()) {
            Kind kind = entry.getValue();
            for (int slot = 0; slot < kind.pairs.length; slot++) {
                if (kind.pairs[slot].believed) {
                    double factor = Math.min(Math.log(MAX_FACTOR), kind.regression.effect(slot));
                    current.computeIfAbsent(entry.getKey(), first -> new HashMap<>())
                            .put(kind.regression.neighbour(slot), factor);
                    count++;
                }
            }
        }
        believed = current;
        believedCount = count;
    }
}
