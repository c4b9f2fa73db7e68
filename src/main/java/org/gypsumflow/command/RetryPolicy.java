package org.gypsumflow.command;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gypsumflow.model.Attempt;

/** Decides whether and when a task is attempted again, after an attempt that is proved not to have run. */
@FunctionalInterface
public interface RetryPolicy {
    /**
     * Returns the delay before the next attempt of a task.
     *
     * @param failed attempt that is proved not to have run
     * @param random source of randomness
     * @return delay before the next attempt, or empty if there must be none
     */
    Optional<Duration> delay(Attempt failed, RandomGenerator random);

    /**
     * Returns a policy with exponential backoff and full jitter.
     *
     * <p>The delay is random, up to a bound that doubles with each attempt.
     *
     * @param maxAttempts maximum number of attempts of one task
     * @param firstBound upper bound of the delay after the first attempt
     * @param maxBound upper bound of all delays
     * @return the policy
     */
    static RetryPolicy exponentialWithJitter(int maxAttempts, Duration firstBound, Duration maxBound) {
        return (failed, random) -> {
            if (failed.number() >= maxAttempts) {
                return Optional.empty();
            }
            int doublings = Math.min(failed.number() - 1, 20);
            long boundNanos = Math.min(firstBound.toNanos() << doublings, maxBound.toNanos());
            return Optional.of(Duration.ofNanos(random.nextLong(boundNanos + 1)));
        };
    }
}
