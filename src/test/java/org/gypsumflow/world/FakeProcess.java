package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.gypsumflow.control.SerialExecutor;

/** A process that can be paused and killed; its executors run on the virtual clock. */
final class FakeProcess {
    private final VirtualClock clock;
    private final String name;
    private final Deque<Runnable> deferredActions = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    FakeProcess(VirtualClock clock, String name) {
        this.clock = clock;
        this.name = name;
    }

    String name() {
        return name;
    }

    boolean isDead() {
        return dead;
    }

    boolean isPaused() {
        return paused;
    }

    void kill() {
        dead = true;
        deferredActions.clear();
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!deferredActions.isEmpty() && !paused) {
            deferredActions.removeFirst().run();
        }
    }

    /** Runs an action now, or defers it until the process resumes; discards it if the process is dead. */
    void run(Runnable action) {
        if (dead) {
            return;
        }
        if (paused) {
            deferredActions.addLast(action);
            return;
        }
        action.run();
    }

    SerialExecutor newExecutor() {
        return new SerialExecutor() {
            @Override
            public void schedule(Duration delay, Runnable action) {
                clock.schedule(delay, () -> run(action));
            }

            @Override
            public void execute(Runnable action) {
                clock.schedule(Duration.ZERO, () -> run(action));
            }
        };
    }
}
