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

/** A simulated worker with a fixed slowdown that can be made slower, failing or hanging for a while. */
final class SimulatedWorker {
    /** Time after which a failing task fails. */
    private static final Duration FAILURE_TIME = Duration.ofMillis(2);

    private static final class Run {
        private final long startedNanos;
        private final int cpuMillicores;

        private Run(long startedNanos, int cpuMillicores) {
            this.startedNanos = startedNanos;
            this.cpuMillicores = cpuMillicores;
        }
    }

    private final String name;
    private final AvailabilityZone zone;
    private final Resources capacity;
    private final double baseSlowdown;
    private final SimulationScheduler simulation;
    private final Random random;
    private final Map<BestEffortTaskId, Run> running = new HashMap<>();
    private BiConsumer<BestEffortTaskId, RunOutcome> endListener = (task, outcome) -> {};
    private double temporarySlowdown = 1;
    private double failureShare;
    private boolean hanging;
    private double busyCoreSeconds;

    SimulatedWorker(
            String name,
            AvailabilityZone zone,
            Resources capacity,
            double baseSlowdown,
            SimulationScheduler simulation,
            Random random) {
        this.name = name;
        this.zone = zone;
        this.capacity = capacity;
        this.baseSlowdown = baseSlowdown;
        this.simulation = simulation;
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
        this.endListener = listener;
    }

    /** Sets the factor by which tasks started from now on run slower; 1 ends the disruption. */
    void setSlowdown(double factor) {
        temporarySlowdown = factor;
    }

    /** Sets the share of tasks started from now on that fail immediately. */
    void setFailureShare(double share) {
        failureShare = share;
    }

    /** Sets whether tasks started from now on never finish. */
    void setHanging(boolean hanging) {
        this.hanging = hanging;
    }

    /** Ends all runs without reporting them, as a crash does. */
    void crash() {
        running.clear();
    }

    double busyCoreSeconds() {
        return busyCoreSeconds;
    }

    void start(BestEffortTaskId task, double workMillis, Resources resources) {
        Run run = new Run(simulation.nowNanos(), resources.cpuMillicores());
        running.put(task, run);
        if (random.nextDouble() < failureShare) {
            simulation.schedule(FAILURE_TIME, () -> finish(task, run, RunOutcome.FAILED));
        } else if (!hanging) {
            Duration runDuration = Duration.ofNanos((long) (workMillis * temporarySlowdown * baseSlowdown * 1e6));
            simulation.schedule(runDuration, () -> finish(task, run, RunOutcome.DONE));
        }
    }

    void stop(BestEffortTaskId task) {
        Run run = running.get(task);
        if (run != null) {
            finish(task, run, RunOutcome.LOST);
        }
    }

    private void finish(BestEffortTaskId task, Run run, RunOutcome outcome) {
        if (running.remove(task, run)) {
            busyCoreSeconds += (simulation.nowNanos() - run.startedNanos) / 1e9 * run.cpuMillicores / 1000.0;
            endListener.accept(task, outcome);
        }
    }
}
