package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/** Executor that runs its actions one at a time, in submission order, so that state confined to it needs no lock. */
public interface SerialExecutor extends Executor {
    /**
     * Runs an action on this executor after a delay.
     *
     * @param delay minimum time before the action runs
     * @param action the action to run
     */
    void schedule(Duration delay, Runnable action);

    /**
     * Runs an action on this executor once a future has completed. An exception that the action throws is handled like
     * that of any other action of this executor.
     *
     * @param future the future to wait for
     * @param action receives the value and null, or null and the failure
     * @param <T> type of the future's value
     */
    default <T> void whenDone(CompletableFuture<T> future, BiConsumer<T, Throwable> action) {
        future.whenComplete((value, failure) -> execute(() -> action.accept(value, failure)));
    }

    /**
     * Runs an action periodically on this executor until it returns false. It runs again after it has thrown an
     * exception, which is handled like that of any other action of this executor.
     *
     * @param delay time before the first run, and between the end of one run and the start of the next
     * @param action returns whether to schedule another run
     */
    default void scheduleWithFixedDelay(Duration delay, BooleanSupplier action) {
        schedule(delay, () -> {
            boolean runAgain = true;
            try {
                runAgain = action.getAsBoolean();
            } finally {
                if (runAgain) {
                    scheduleWithFixedDelay(delay, action);
                }
            }
        });
    }
}
