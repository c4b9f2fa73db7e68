package org.gypsumflow.control;

import java.time.Duration;

/**
 * Times of the control thread.
 *
 * @param heartbeatInterval time between heartbeats on a connection
 * @param heartbeatTimeout how long a connection may bring nothing before it is closed
 * @param logPollInterval time between reads of the operations and members streams
 * @param maxConfigurationAge how long a configuration may be trusted after it was last known to be the newest
 * @param logTimeout how long to wait for an answer of the log
 * @param announceInterval time between announcements in the members stream
 * @param memberExpiry how long after its last announcement an unreachable entry still counts
 * @param snapshotInterval time after which everything is repeated in the operations stream
 * @param planLifetime how long a plan can be confirmed
 */
public record ControlSettings(
        Duration heartbeatInterval,
        Duration heartbeatTimeout,
        Duration logPollInterval,
        Duration maxConfigurationAge,
        Duration logTimeout,
        Duration announceInterval,
        Duration memberExpiry,
        Duration snapshotInterval,
        Duration planLifetime) {
    /**
     * Returns the settings used unless the settings file says otherwise.
     *
     * @return the defaults
     */
    public static ControlSettings defaults() {
        return new ControlSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(3),
                Duration.ofMillis(500),
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                Duration.ofSeconds(20),
                Duration.ofSeconds(60),
                Duration.ofMinutes(10),
                Duration.ofMinutes(10));
    }
}
