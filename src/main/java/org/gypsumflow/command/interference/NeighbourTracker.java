package org.gypsumflow.command.interference;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.model.BestEffortMessage.Neighbour;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RouteName;

/**
 * Tracks which kinds of tasks run beside each other on one worker, and how much of the worker they occupy.
 *
 * <p>For each route it adds up the time during which at least one run, and at least two runs, were present. The
 * difference between the end and the start of a run tells its neighbours, at a cost that does not grow with their number.
 */
public final class NeighbourTracker {
    /** Neighbours reported for a run; those with the largest shares, which disturb most, are kept. */
    private static final int MAX_NEIGHBOURS = 6;
    /** Routes reported as running at the worker; those that take most of it are kept. */
    private static final int MAX_REPORTED_ROUTES = 8;
    /** Time between two reports of the running routes to one entry, which costs more bytes than the rest of a report. */
    private static final Duration RUNNING_REPORT_INTERVAL = Duration.ofMillis(250);
    /** Routes without runs that are remembered for the runs that they overlapped. */
    private static final int MAX_ROUTES = 128;
    /** Share of overlap below which a neighbour is not reported. */
    private static final double MIN_SHARE = 0.05;

    private static final class Presence {
        private int runCount;
        private int cpuMillicores;
        private long presentNanos;
        private long crowdedNanos;
        private long updatedNanos;

        private void advance(long nowNanos) {
            long elapsedNanos = nowNanos - updatedNanos;
            presentNanos += runCount > 0 ? elapsedNanos : 0;
            crowdedNanos += runCount > 1 ? elapsedNanos : 0;
            updatedNanos = nowNanos;
        }
    }

    /** State at the start of a run; the route of the run itself counts while another of its runs is present. */
    private record StartedRun(
            RouteName route,
            int cpuMillicores,
            long startedNanos,
            double occupiedAtStart,
            Map<RouteName, Long> atStart) {}

    private final Map<RouteName, Presence> presences = new HashMap<>();
    private final Map<BestEffortTaskId, StartedRun> runs = new HashMap<>();
    private final Map<MemberName, Long> lastToldNanos = new HashMap<>();
    private int occupiedMillicores;
    private double occupiedMillicoreNanos;
    private long updatedNanos;

    private NeighbourTracker() {}

    /**
     * Creates a tracker of a worker without runs.
     *
     * @return the tracker
     */
    public static NeighbourTracker create() {
        return new NeighbourTracker();
    }

    /**
     * Records the start of a run.
     *
     * @param task id of the task, which has no other run here
     * @param route route of its job
     * @param cpuMillicores processor share that it takes, in thousandths of a core
     * @param nowNanos current monotonic time
     */
    public void runStarted(BestEffortTaskId task, RouteName route, int cpuMillicores, long nowNanos) {
        advance(nowNanos);
        Map<RouteName, Long> atStart = new HashMap<>();
        presences.forEach((other, presence) -> atStart.put(other, besideNanos(other, presence, route)));
        runs.put(task, new StartedRun(route, cpuMillicores, nowNanos, occupiedMillicoreNanos, atStart));
        Presence own = presences.computeIfAbsent(route, first -> {
            Presence created = new Presence();
            created.updatedNanos = nowNanos;
            return created;
        });
        own.runCount++;
        own.cpuMillicores += cpuMillicores;
        occupiedMillicores += cpuMillicores;
    }

    /**
     * Records the end of a run.
     *
     * @param task id of the task
     * @param capacityMillicores capacity of the worker, in thousandths of a core
     * @param nowNanos current monotonic time
     * @return what ran beside it; {@link RunSurroundings#UNKNOWN} if its start was not recorded
     */
    public RunSurroundings runEnded(BestEffortTaskId task, int capacityMillicores, long nowNanos) {
        StartedRun run = runs.remove(task);
        if (run == null) {
            return RunSurroundings.UNKNOWN;
        }
        advance(nowNanos);
        double durationNanos = (double) Math.max(1, nowNanos - run.startedNanos);
        List<Neighbour> neighbours = new ArrayList<>();
        presences.forEach((other, presence) -> {
            long besideNanos = besideNanos(other, presence, run.route) - run.atStart.getOrDefault(other, 0L);
            double share = Math.min(1, (double) besideNanos / durationNanos);
            if (share >= MIN_SHARE) {
                neighbours.add(new Neighbour(other, (float) share));
            }
        });
        neighbours.sort(Comparator.comparingDouble(Neighbour::overlapShare)
                .reversed()
                .thenComparing(neighbour -> neighbour.route().value()));
        Presence own = presences.get(run.route);
        own.runCount--;
        own.cpuMillicores -= run.cpuMillicores;
        occupiedMillicores -= run.cpuMillicores;
        forgetIdleRoutes();
        double occupiedShare =
                (occupiedMillicoreNanos - run.occupiedAtStart) / durationNanos / Math.max(1, capacityMillicores);
        return new RunSurroundings(neighbours.subList(0, Math.min(MAX_NEIGHBOURS, neighbours.size())), (float)
                Math.max(0, Math.min(1, occupiedShare)));
    }

    /**
     * Returns what the runs of each route take of the worker at present, for a report to an entry.
     *
     * @param entry receiver of the report
     * @param nowNanos current monotonic time
     * @return thousandths of a core by route, of the routes that take most; empty if the entry was told a moment ago
     */
    public Map<RouteName, Integer> runningMillicoresFor(MemberName entry, long nowNanos) {
        Long toldNanos = lastToldNanos.get(entry);
        if (toldNanos != null && nowNanos - toldNanos < RUNNING_REPORT_INTERVAL.toNanos()) {
            return Map.of();
        }
        lastToldNanos.values().removeIf(told -> nowNanos - told >= RUNNING_REPORT_INTERVAL.toNanos());
        lastToldNanos.put(entry, nowNanos);
        return runningMillicores();
    }

    private Map<RouteName, Integer> runningMillicores() {
        Map<RouteName, Integer> running = new TreeMap<>(Comparator.comparing(RouteName::value));
        presences.entrySet().stream()
                .filter(entry -> entry.getValue().runCount > 0)
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().cpuMillicores))
                .limit(MAX_REPORTED_ROUTES)
                .forEach(entry -> running.put(entry.getKey(), entry.getValue().cpuMillicores));
        return running;
    }

    private static long besideNanos(RouteName other, Presence presence, RouteName own) {
        return other.equals(own) ? presence.crowdedNanos : presence.presentNanos;
    }

    private void advance(long nowNanos) {
        presences.values().forEach(presence -> presence.advance(nowNanos));
        occupiedMillicoreNanos += (double) occupiedMillicores * (double) (nowNanos - updatedNanos);
        updatedNanos = nowNanos;
    }

    private void forgetIdleRoutes() {
        if (runs.isEmpty()) {
            presences.clear();
        } else if (presences.size() > MAX_ROUTES) {
            presences.values().removeIf(presence -> presence.runCount == 0);
        }
    }
}
