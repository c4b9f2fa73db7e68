package org.gypsumflow.world;

import java.time.Duration;
import java.util.PriorityQueue;
import org.gypsumflow.control.TimeSource;

/** Discrete-event clock: jumps to the time of the next scheduled action and runs it on the calling thread. */
final class VirtualClock {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long EPOCH_MILLIS = 1_800_000_000_000L;

    private record Scheduled(long atNanos, long order, Runnable action) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Scheduled> events = new PriorityQueue<>();
    private long nowNanos;
    private long order;

    TimeSource timeSource() {
        return new TimeSource(this::nanos, this::millis);
    }

    long nanos() {
        return nowNanos;
    }

    long millis() {
        return EPOCH_MILLIS + nowNanos / NANOS_PER_MILLI;
    }

    void schedule(Duration delay, Runnable action) {
        events.add(new Scheduled(nowNanos + Math.max(0, delay.toNanos()), order++, action));
    }

    void advance(Duration duration) {
        long end = nowNanos + duration.toNanos();
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            Scheduled next = events.poll();
            nowNanos = Math.max(nowNanos, next.atNanos());
            next.action().run();
        }
        nowNanos = end;
    }
}
