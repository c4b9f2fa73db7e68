package org.gypsumflow.traffic;

import java.time.Duration;

/**
 * Sizes and times of an entry's traffic.
 *
 * @param claimStreamCount number of claim streams in the log, the same on every entry
 * @param deduplicationWindow how long a submission is remembered, shorter than the log's retention
 * @param maxAppendsPerSecond most appends of claims a second by this entry
 * @param appendTimeout how long to wait for an answer of the log before the append is repeated
 * @param maxWaitingTasks most tasks that wait for a slot; jobs beyond are refused
 * @param maxPendingClaimsPerStream most submissions that wait for one claim stream
 * @param maxCachedOutcomeCharacters most characters of finished answers kept in memory
 * @param ticketLifetime how long a ticket can be used after it was made
 * @param maxAttempts most placements of one task
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
     * Returns the settings used unless the settings file says otherwise.
     *
     * @return the defaults
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
