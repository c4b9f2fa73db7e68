package org.gypsumflow.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Serial executor for tests: runs actions immediately, and delayed actions when the test advances the clock. */
public final class ManualExecutor implements SerialExecutor {
    private record DelayedAction(long dueMillis, Runnable action) {}

    private final List<DelayedAction> delayedActions = new ArrayList<>();
    private long nowMillis = 1_000_000;
    private long wallClockOffsetMillis;

    @Override
    public void execute(Runnable action) {
        action.run();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        delayedActions.add(new DelayedAction(nowMillis + delay.toMillis(), action));
    }

    /** Returns the clocks that {@link #advance} moves. */
    public TimeSource timeSource() {
        return new TimeSource(() -> Duration.ofMillis(nowMillis).toNanos(), () -> nowMillis + wallClockOffsetMillis);
    }

    /** Advances the clock without running due actions, as when a host is paused. */
    public void advanceClockOnly(long millis) {
        nowMillis += millis;
    }

    /** Steps the wall clock alone, forward or back, as when it is set. */
    public void stepWallClock(long millis) {
        wallClockOffsetMillis += millis;
    }

    /** Advances the clock in steps of a millisecond and runs the actions that become due. */
    public void advance(long millis) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis++;
            List<DelayedAction> due = delayedActions.stream()
                    .filter(delayed -> delayed.dueMillis <= nowMillis)
                    .toList();
            delayedActions.removeAll(due);
            due.forEach(delayed -> delayed.action.run());
        }
    }
}
