package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/** Schedules actions on a virtual clock, which advances to the time of each action without waiting. */
final class SimulationScheduler {
    private record ScheduledAction(long atNanos, long sequence, Runnable action) {}

    private final Queue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atNanos).thenComparingLong(ScheduledAction::sequence));
    private long nowNanos;
    private long sequence;

    private SimulationScheduler() {}

    static SimulationScheduler create() {
        return new SimulationScheduler();
    }

    long nowNanos() {
        return nowNanos;
    }

    void schedule(Duration delay, Runnable action) {
        queue.add(new ScheduledAction(nowNanos + Math.max(0, delay.toNanos()), sequence++, action));
    }

    void scheduleWithFixedDelay(Duration period, Runnable action) {
        schedule(period, () -> {
            action.run();
            scheduleWithFixedDelay(period, action);
        });
    }

    /** Runs the actions scheduled up to a time, counted from the start of the clock, and sets the clock to it. */
    void runUntil(Duration end) {
        while (!queue.isEmpty() && queue.peek().atNanos() <= end.toNanos()) {
            ScheduledAction next = queue.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = end.toNanos();
    }
}
