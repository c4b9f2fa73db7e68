package org.gypsumflow.control;

import java.time.Duration;

/**
 * Intervals and timeouts of the control thread.
 *
 * @param heartbeatInterval time between heartbeats on a connection
 * @param heartbeatTimeout time without a received message after which a connection is closed; also bounds the
 *     time to open one
 * @param logPollInterval time between reads of the operations and members streams
 * @param maxConfigurationAge time for which a configuration may be used after it was last confirmed as the newest
 * @param logTimeout timeout of one request to the platform's log
 * @param announceInterval time between an entry's announcements in the members stream
 * @param memberExpiry time after its last announcement until an entry is removed from the membership
 * @param snapshotInterval maximum age of the latest state snapshot in the operations stream before a new one is
 *     appended
 * @param planLifetime time after its creation during which a plan can be confirmed
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
     * Returns the values used for settings that the settings file omits.
     *
     * @return default intervals and timeouts
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
