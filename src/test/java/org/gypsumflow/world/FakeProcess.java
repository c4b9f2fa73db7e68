package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.gypsumflow.control.SerialExecutor;

/** A process that can be paused and killed; its lanes run on the virtual clock. */
final class FakeProcess {
    private final VirtualClock clock;
    private final String name;
    private final Deque<Runnable> held = new ArrayDeque<>();
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
        held.clear();
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!held.isEmpty() && !paused) {
            held.removeFirst().run();
        }
    }

    /** Runs an action of this process: now, after its pause, or never if it is dead. */
    void run(Runnable action) {
        if (dead) {
            return;
        }
        if (paused) {
            held.addLast(action);
            return;
        }
        action.run();
    }

    SerialExecutor lane() {
        return new SerialExecutor() {
            @Override
            public void schedule(Duration delay, Runnable action) {
                clock.after(delay, () -> run(action));
            }

            @Override
            public void execute(Runnable action) {
                clock.after(Duration.ZERO, () -> run(action));
            }
        };
    }
}
