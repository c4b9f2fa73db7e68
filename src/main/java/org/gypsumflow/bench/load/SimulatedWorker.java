package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RunOutcome;

/** A worker that takes a multiple of the nominal time for tasks and can be made slow, failing or hanging. */
final class SimulatedWorker {
    /** Time in which a worker that fails everything ends a task. */
    private static final Duration FAILS_AFTER = Duration.ofMillis(2);

    private static final class Run {
        private final long startedNanos;
        private final int processorMillis;

        private Run(long startedNanos, int processorMillis) {
            this.startedNanos = startedNanos;
            this.processorMillis = processorMillis;
        }
    }

    private final String name;
    private final AvailabilityZone zone;
    private final Resources capacity;
    private final double slowness;
    private final SimulationScheduler time;
    private final Random random;
    private final Map<BestEffortTaskId, Run> running = new HashMap<>();
    private BiConsumer<BestEffortTaskId, RunOutcome> ends = (task, ending) -> {};
    private double slowdown = 1;
    private double failing;
    private boolean hanging;
    private double busyCoreSeconds;

    SimulatedWorker(
            String name,
            AvailabilityZone zone,
            Resources capacity,
            double slowness,
            SimulationScheduler time,
            Random random) {
        this.name = name;
        this.zone = zone;
        this.capacity = capacity;
        this.slowness = slowness;
        this.time = time;
        this.random = random;
    }

    String name() {
        return name;
    }

    AvailabilityZone zone() {
        return zone;
    }

    Resources capacity() {
        return capacity;
    }

    void onEnd(BiConsumer<BestEffortTaskId, RunOutcome> listener) {
        this.ends = listener;
    }

    /** Makes tasks that start from now on run slower. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Makes a share of the tasks that start from now on fail at once. */
    void setFailureShare(double share) {
        failing = share;
    }

    /** Makes tasks that start from now on never end. */
    void setHanging(boolean hangs) {
        hanging = hangs;
    }

    /** Ends all that runs, as a crash does. */
    void crash() {
        running.clear();
    }

    double busyCoreSeconds() {
        return busyCoreSeconds;
    }

    void start(BestEffortTaskId task, double workMillis, Resources needs) {
        Run run = new Run(time.nowNanos(), needs.cpuMillicores());
        running.put(task, run);
        if (random.nextDouble() < failing) {
            time.schedule(FAILS_AFTER, () -> end(task, run, RunOutcome.FAILED));
        } else if (!hanging) {
            Duration takes = Duration.ofNanos((long) (workMillis * slowdown * slowness * 1e6));
            time.schedule(takes, () -> end(task, run, RunOutcome.DONE));
        }
    }

    void stop(BestEffortTaskId task) {
        Run run = running.get(task);
        if (run != null) {
            end(task, run, RunOutcome.LOST);
        }
    }

    private void end(BestEffortTaskId task, Run run, RunOutcome ending) {
        if (running.remove(task, run)) {
            busyCoreSeconds += (time.nowNanos() - run.startedNanos) / 1e9 * run.processorMillis / 1000.0;
            ends.accept(task, ending);
        }
    }
}
