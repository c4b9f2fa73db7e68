package org.gypsumflow.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.gypsumflow.model.Incarnation;

/**
 * Knows at which moment this entry's configuration was last known to be the newest.
 *
 * <p>Three sources count: this entry read the log's head, another entry did and said so, or, while the log is out,
 * a majority of the known entries answered that they know nothing newer. Every moment is counted from when the
 * question was sent, so an answer that arrives late brings no more than it knew. Not safe for use by several threads.
 */
public final class ConfigurationFreshness {
    private final Map<Incarnation, Long> peerAskedNanos = new HashMap<>();
    private long confirmedNanos;
    private boolean confirmed;

    private ConfigurationFreshness() {}

    /**
     * Creates a state in which nothing is confirmed.
     *
     * @return the state
     */
    public static ConfigurationFreshness create() {
        return new ConfigurationFreshness();
    }

    /**
     * Records that the log's head was read and folded.
     *
     * @param askedNanos monotonic time at which the read was sent
     */
    public void recordLogRead(long askedNanos) {
        confirm(askedNanos);
    }

    /**
     * Records the answer of another entry whose version is not higher than ours.
     *
     * @param peer the other entry
     * @param askedNanos monotonic time at which it was asked
     * @param age how long before that its version was known to be the newest, null if it does not know
     */
    public void recordPeerReply(Incarnation peer, long askedNanos, Duration age) {
        peerAskedNanos.merge(peer, askedNanos, Math::max);
        if (age != null) {
            confirm(askedNanos - age.toNanos());
        }
    }

    /**
     * Forgets an entry that left.
     *
     * @param peer the other entry
     */
    public void removePeer(Incarnation peer) {
        peerAskedNanos.remove(peer);
    }

    /**
     * Tells how old the newest confirmation is.
     *
     * @param knownEntries number of entries known to be in service, this one among them
     * @param nowNanos monotonic time
     * @return the age, or null if nothing was ever confirmed
     */
    public Duration age(int knownEntries, long nowNanos) {
        long newest = Math.max(confirmed ? confirmedNanos : Long.MIN_VALUE, majorityNanos(knownEntries, nowNanos));
        return newest == Long.MIN_VALUE ? null : Duration.ofNanos(Math.max(0, nowNanos - newest));
    }

    /**
     * Counts the entries that answered recently, this one among them.
     *
     * @param bound how long ago still counts
     * @param nowNanos monotonic time
     * @return the number of entries
     */
    public int countReachable(Duration bound, long nowNanos) {
        return 1
                + (int) peerAskedNanos.values().stream()
                        .filter(asked -> nowNanos - asked <= bound.toNanos())
                        .count();
    }

    private long majorityNanos(int knownEntries, long nowNanos) {
        if (!confirmed) {
            return Long.MIN_VALUE;
        }
        int needed = knownEntries / 2 + 1;
        if (needed == 1) {
            return nowNanos;
        }
        return peerAskedNanos.values().stream()
                .sorted((left, right) -> Long.compare(right, left))
                .skip(needed - 2L)
                .findFirst()
                .orElse(Long.MIN_VALUE);
    }

    private void confirm(long nanos) {
        confirmedNanos = confirmed ? Math.max(confirmedNanos, nanos) : nanos;
        confirmed = true;
    }
}
