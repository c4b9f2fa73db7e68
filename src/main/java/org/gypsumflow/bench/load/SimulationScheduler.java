package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/** A clock that jumps from one planned action to the next. */
final class SimulationScheduler {
    private record Planned(long atNanos, long order, Runnable action) {}

    private final Queue<Planned> planned =
            new PriorityQueue<>(Comparator.comparingLong(Planned::atNanos).thenComparingLong(Planned::order));
    private long nowNanos;
    private long order;

    private SimulationScheduler() {}

    static SimulationScheduler create() {
        return new SimulationScheduler();
    }

    long nowNanos() {
        return nowNanos;
    }

    void schedule(Duration delay, Runnable action) {
        planned.add(new Planned(nowNanos + Math.max(0, delay.toNanos()), order++, action));
    }

    void scheduleWithFixedDelay(Duration period, Runnable action) {
        schedule(period, () -> {
            action.run();
            scheduleWithFixedDelay(period, action);
        });
    }

    /** Runs what is planned up to a time, counted from the start of the clock. */
    void runUntil(Duration end) {
        while (!planned.isEmpty() && planned.peek().atNanos() <= end.toNanos()) {
            Planned next = planned.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = end.toNanos();
    }
}
