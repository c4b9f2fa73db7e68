package org.gypsumflow.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Runs actions at once, and delayed ones when the test lets time pass. */
public final class ManualExecutor implements SerialExecutor {
    private record Later(long atMillis, Runnable action) {}

    private final List<Later> later = new ArrayList<>();
    private long nowMillis = 1_000_000;

    @Override
    public void execute(Runnable action) {
        action.run();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        later.add(new Later(nowMillis + delay.toMillis(), action));
    }

    /** Tells the lane's own time. */
    public TimeSource timeSource() {
        return new TimeSource(() -> Duration.ofMillis(nowMillis).toNanos(), () -> nowMillis);
    }

    /** Lets time pass without running what is due, as when a host is frozen. */
    public void advanceClockOnly(long millis) {
        nowMillis += millis;
    }

    public void advance(long millis) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis++;
            List<Later> due =
                    later.stream().filter(each -> each.atMillis <= nowMillis).toList();
            later.removeAll(due);
            due.forEach(each -> each.action.run());
        }
    }
}
