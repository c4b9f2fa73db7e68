package org.gypsumflow.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.gypsumflow.model.Incarnation;

/**
 * Computes how long ago this entry's configuration was last known to be the newest.
 *
 * <p>There are three sources: this entry read the log to its head, a peer did and reported when, or, while the log is
 * unavailable, a majority of the known entries replied that they know no newer version. The majority counts only after
 * one of the other sources has confirmed the configuration. Each confirmation dates from when its request was sent, so
 * a delayed reply does not make the configuration look newer than it was known to be. Not thread-safe.
 */
public final class ConfigurationFreshness {
    private final Map<Incarnation, Long> lastRequestNanosByPeer = new HashMap<>();
    private long lastConfirmedNanos;
    private boolean everConfirmed;

    private ConfigurationFreshness() {}

    /**
     * Creates an instance for a configuration that has not been confirmed.
     *
     * @return the new instance
     */
    public static ConfigurationFreshness create() {
        return new ConfigurationFreshness();
    }

    /**
     * Records that the log was read to its head and its records were applied.
     *
     * @param requestSentNanos monotonic time in nanoseconds at which the read request was sent
     */
    public void recordLogRead(long requestSentNanos) {
        confirm(requestSentNanos);
    }

    /**
     * Records the reply of a peer whose configuration version is not higher than that of this entry.
     *
     * @param peer incarnation of the peer
     * @param requestSentNanos monotonic time in nanoseconds at which the request was sent
     * @param age configuration age that the peer reported, null if it has none
     */
    public void recordPeerReply(Incarnation peer, long requestSentNanos, Duration age) {
        lastRequestNanosByPeer.merge(peer, requestSentNanos, Math::max);
        if (age != null) {
            confirm(requestSentNanos - age.toNanos());
        }
    }

    /**
     * Removes a peer that is no longer in service, so that its replies no longer count.
     *
     * @param peer incarnation of the peer
     */
    public void removePeer(Incarnation peer) {
        lastRequestNanosByPeer.remove(peer);
    }

    /**
     * Returns the configuration age: the time since the configuration was last known to be the newest.
     *
     * @param knownEntries number of entries known to be in service, including this one
     * @param nowNanos monotonic time in nanoseconds
     * @return the age, never negative; null if the configuration has never been confirmed
     */
    public Duration age(int knownEntries, long nowNanos) {
        long latestNanos =
                Math.max(everConfirmed ? lastConfirmedNanos : Long.MIN_VALUE, majorityNanos(knownEntries, nowNanos));
        return latestNanos == Long.MIN_VALUE ? null : Duration.ofNanos(Math.max(0, nowNanos - latestNanos));
    }

    /**
     * Counts the entries that replied to a recent request, including this one.
     *
     * @param maxAge maximum time since the request was sent
     * @param nowNanos monotonic time in nanoseconds
     * @return number of reachable entries, at least 1
     */
    public int countReachable(Duration maxAge, long nowNanos) {
        return 1
                + (int) lastRequestNanosByPeer.values().stream()
                        .filter(sentNanos -> nowNanos - sentNanos <= maxAge.toNanos())
                        .count();
    }

    private long majorityNanos(int knownEntries, long nowNanos) {
        if (!everConfirmed) {
            return Long.MIN_VALUE;
        }
        int majority = knownEntries / 2 + 1;
        if (majority == 1) {
            return nowNanos;
        }
        return lastRequestNanosByPeer.values().stream()
                .sorted((left, right) -> Long.compare(right, left))
                .skip(majority - 2L)
                .findFirst()
                .orElse(Long.MIN_VALUE);
    }

    private void confirm(long nanos) {
        lastConfirmedNanos = everConfirmed ? Math.max(lastConfirmedNanos, nanos) : nanos;
        everConfirmed = true;
    }
}
