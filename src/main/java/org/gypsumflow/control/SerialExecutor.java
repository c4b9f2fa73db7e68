package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/** Runs actions one after the other, so that the state they share needs no lock. */
public interface SerialExecutor extends Executor {
    /**
     * Runs an action on this lane after a delay.
     *
     * @param delay how long to wait
     * @param action the action
     */
    void schedule(Duration delay, Runnable action);

    /**
     * Runs an action on this lane once a future has completed; a failure of the action is reported like any other.
     *
     * @param future the future
     * @param action takes the value or the failure
     * @param <T> type of the value
     */
    default <T> void whenDone(CompletableFuture<T> future, BiConsumer<T, Throwable> action) {
        future.whenComplete((value, failure) -> execute(() -> action.accept(value, failure)));
    }

    /**
     * Runs an action on this lane again and again, until it returns false.
     *
     * @param period time between the end of one run and the start of the next
     * @param action the action, which says whether to go on
     */
    default void scheduleWithFixedDelay(Duration period, BooleanSupplier action) {
        schedule(period, () -> {
            if (action.getAsBoolean()) {
                scheduleWithFixedDelay(period, action);
            }
        });
    }
}
