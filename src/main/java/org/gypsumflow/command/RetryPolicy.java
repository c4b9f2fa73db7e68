package org.gypsumflow.command;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gypsumflow.model.Attempt;

/** Decides whether and when a task that proved not run is placed again. */
@FunctionalInterface
public interface RetryPolicy {
    /**
     * Decides on one task.
     *
     * @param failed attempt that proved not run
     * @param random source of randomness
     * @return how long to wait before the next attempt, or empty to give up
     */
    Optional<Duration> delay(Attempt failed, RandomGenerator random);

    /**
     * Waits a random time below a bound that doubles with each attempt.
     *
     * @param attempts most attempts for one task
     * @param first bound of the first wait
     * @param most bound of every wait
     * @return the rule
     */
    static RetryPolicy exponentialWithJitter(int attempts, Duration first, Duration most) {
        return (failed, random) -> {
            if (failed.number() >= attempts) {
                return Optional.empty();
            }
            int doublings = Math.min(failed.number() - 1, 20);
            long bound = Math.min(first.toNanos() << doublings, most.toNanos());
            return Optional.of(Duration.ofNanos(random.nextLong(bound + 1)));
        };
    }
}
