package org.gypsumflow.world;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;

/**
 * A process with a network, a control and a traffic thread, whose steps interleave as the seed says, and with clocks of
 * its own. It can be killed, paused while its clocks run on, and suspended while its monotonic clock stands still.
 */
final class MemberProcess {
    private static final int MAX_THREAD_LAG_MICROS = 300;
    private static final int MAX_RESUME_LAG_MICROS = 2000;

    /** The wall clock of a host, which survives the processes that run there. */
    static final class WallClock {
        private final VirtualClock clock;
        private long offsetMillis;

        WallClock(VirtualClock clock) {
            this.clock = clock;
        }

        long millis() {
            return clock.millis() + offsetMillis;
        }

        void step(long millis) {
            offsetMillis += millis;
        }
    }

    private final VirtualClock clock;
    private final Random random;
    private final WallClock wallClock;
    private final String name;
    private final long originNanos;
    private final FakeProcess network;
    private final FakeProcess control;
    private final FakeProcess traffic;
    private final Thread simulationThread = Thread.currentThread();
    private long suspendedNanos;
    private long suspendedSinceNanos = -1;

    MemberProcess(VirtualClock clock, Random random, WallClock wallClock, String name) {
        this.clock = clock;
        this.random = random;
        this.wallClock = wallClock;
        this.name = name;
        this.originNanos = 1L + random.nextInt(1_000_000_000);
        this.network = new FakeProcess(clock, name);
        this.control = new FakeProcess(clock, name);
        this.traffic = new FakeProcess(clock, name);
    }

    String name() {
        return name;
    }

    boolean isDead() {
        return network.isDead();
    }

    boolean isPaused() {
        return network.isPaused();
    }

    TimeSource timeSource() {
        return new TimeSource(this::nanos, wallClock::millis);
    }

    void kill() {
        threads().forEach(FakeProcess::kill);
    }

    void pause() {
        threads().forEach(FakeProcess::pause);
    }

    void suspend() {
        pause();
        suspendedSinceNanos = clock.nanos();
    }

    /** Resumes the threads one after another, in an order that is drawn. */
    void resume() {
        if (suspendedSinceNanos >= 0) {
            suspendedNanos += clock.nanos() - suspendedSinceNanos;
            suspendedSinceNanos = -1;
        }
        threads().forEach(thread -> clock.schedule(randomMicros(MAX_RESUME_LAG_MICROS), thread::resume));
    }

    /** Runs an action on the network thread. */
    void run(Runnable action) {
        network.run(action);
    }

    /** Holds up the threads that read and handle messages, as when they are busy, while the control thread goes on. */
    void holdUpMessages(Duration duration) {
        if (!isPaused()) {
            List.of(network, traffic).forEach(FakeProcess::pause);
            clock.schedule(duration, () -> List.of(network, traffic).forEach(FakeProcess::resume));
        }
    }

    SerialExecutor newNetworkExecutor() {
        return newExecutor(network);
    }

    SerialExecutor newControlExecutor() {
        return newExecutor(control);
    }

    SerialExecutor newTrafficExecutor() {
        return newExecutor(traffic);
    }

    private List<FakeProcess> threads() {
        return List.of(network, control, traffic);
    }

    private long nanos() {
        long standstillNanos = suspendedSinceNanos < 0 ? 0 : clock.nanos() - suspendedSinceNanos;
        return originNanos + clock.nanos() - suspendedNanos - standstillNanos;
    }

    private Duration randomMicros(int max) {
        return Duration.ofNanos(random.nextInt(max) * 1000L);
    }

    private SerialExecutor newExecutor(FakeProcess thread) {
        return new SerialExecutor() {
            private long lastExecutionNanos;

            @Override
            public void schedule(Duration delay, Runnable action) {
                if (isCalledFromSimulation()) {
                    runAt(nanos() + Math.max(0, delay.toNanos()), action);
                }
            }

            @Override
            public void execute(Runnable action) {
                if (isCalledFromSimulation()) {
                    lastExecutionNanos = Math.max(
                            lastExecutionNanos,
                            clock.nanos() + randomMicros(MAX_THREAD_LAG_MICROS).toNanos());
                    clock.schedule(Duration.ofNanos(lastExecutionNanos - clock.nanos()), () -> thread.run(action));
                }
            }

            /** Timers follow the monotonic clock of the process, also when it is suspended. */
            private void runAt(long dueNanos, Runnable action) {
                Duration delay = Duration.ofNanos(Math.max(0, dueNanos - nanos()));
                clock.schedule(
                        delay.plus(randomMicros(MAX_THREAD_LAG_MICROS)),
                        () -> thread.run(() -> {
                            if (nanos() < dueNanos) {
                                runAt(dueNanos, action);
                            } else {
                                action.run();
                            }
                        }));
            }
        };
    }

    /** A timer of the JDK runs on real time, which does not exist in the simulation. */
    private boolean isCalledFromSimulation() {
        return Thread.currentThread() == simulationThread;
    }
}
