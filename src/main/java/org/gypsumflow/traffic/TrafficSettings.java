package org.gypsumflow.traffic;

import java.time.Duration;

/**
 * Limits and times of job processing at an {@link AtMostOnceEntry}.
 *
 * @param claimStreamCount number of claim streams in the log, the same on every entry
 * @param deduplicationWindow how long a submission is remembered to detect resubmissions; shorter than the log's
 *     retention
 * @param maxAppendsPerSecond maximum rate at which this entry appends to the claim streams
 * @param appendTimeout how long to wait for the response to an append before the stream is read and the append repeated
 * @param maxWaitingTasks maximum number of tasks that wait for a slot; jobs beyond it are rejected
 * @param maxPendingClaimsPerStream maximum number of submissions whose claim is pending in one claim stream
 * @param maxCachedOutcomeCharacters maximum number of characters in the outcomes that one submission executor caches
 * @param ticketLifetime how long a ticket is valid after its issue
 * @param maxAttempts maximum number of placements of one task
 */
public record TrafficSettings(
        int claimStreamCount,
        Duration deduplicationWindow,
        int maxAppendsPerSecond,
        Duration appendTimeout,
        int maxWaitingTasks,
        int maxPendingClaimsPerStream,
        int maxCachedOutcomeCharacters,
        Duration ticketLifetime,
        int maxAttempts) {
    /**
     * Returns the settings that apply where the settings file sets none.
     *
     * @return the default settings
     */
    public static TrafficSettings defaults() {
        return new TrafficSettings(
                16,
                Duration.ofMinutes(10),
                100,
                Duration.ofSeconds(2),
                20_000,
                2_000,
                8_000_000,
                Duration.ofMinutes(9),
                40);
    }
}
