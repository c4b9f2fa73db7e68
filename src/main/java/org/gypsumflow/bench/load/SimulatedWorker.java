package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
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
        private double remainingNanos;
        private double factor = 1;
        private long updatedNanos;
        private int changes;

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
    private double interferenceFactor = 1;
    private BiPredicate<BestEffortTaskId, BestEffortTaskId> interfering = (first, second) -> false;
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

    /** Sets the factor by which tasks run slower while an interfering one runs beside them; before the first start. */
    void setInterference(double factor, BiPredicate<BestEffortTaskId, BestEffortTaskId> which) {
        interferenceFactor = factor;
        interfering = which;
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
            if (interferenceFactor == 1) {
                simulation.schedule(runDuration, () -> finish(task, run, RunOutcome.DONE));
            } else {
                run.remainingNanos = (double) runDuration.toNanos();
                run.updatedNanos = simulation.nowNanos();
                run.factor = factorOf(task);
                scheduleEnd(task, run);
                updateInterference();
            }
        }
    }

    private double factorOf(BestEffortTaskId task) {
        return running.keySet().stream().anyMatch(other -> interfering.test(task, other)) ? interferenceFactor : 1;
    }

    /** Applies the interference of the present runs to the rest of each run. */
    private void updateInterference() {
        running.forEach((task, run) -> {
            double factor = factorOf(task);
            if (run.remainingNanos > 0 && factor != run.factor) {
                run.remainingNanos -= (double) (simulation.nowNanos() - run.updatedNanos) / run.factor;
                run.updatedNanos = simulation.nowNanos();
                run.factor = factor;
                scheduleEnd(task, run);
            }
        });
    }

    private void scheduleEnd(BestEffortTaskId task, Run run) {
        int change = ++run.changes;
        Duration rest = Duration.ofNanos((long) Math.max(0, run.remainingNanos * run.factor));
        simulation.schedule(rest, () -> {
            if (run.changes == change) {
                finish(task, run, RunOutcome.DONE);
            }
        });
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
            if (interferenceFactor != 1) {
                updateInterference();
            }
            endListener.accept(task, outcome);
        }
    }
}
