package org.gypsumflow.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;

/**
 * Zones whose closing may stand in the log although nobody could read it yet; used on the control lane only.
 *
 * <p>While a zone is held no entry vouches for the configuration of its agents, so that they stop by themselves. A hold
 * of this entry ends when the log was read; that of another entry follows its heartbeats, or, once its connection has
 * ended, ends when the log was read.
 */
final class PendingZoneClosures {
    private final List<AvailabilityZone> own = new ArrayList<>();
    private final Map<Connection, Set<AvailabilityZone>> ofPeers = new HashMap<>();
    private final Set<Connection> closed = new HashSet<>();

    private PendingZoneClosures() {}

    static PendingZoneClosures create() {
        return new PendingZoneClosures();
    }

    void add(AvailabilityZone zone) {
        own.add(zone);
    }

    void remove(AvailabilityZone zone) {
        own.remove(zone);
    }

    Set<AvailabilityZone> ownZones() {
        return Set.copyOf(own);
    }

    void setPeerZones(Connection link, Set<AvailabilityZone> zones) {
        ofPeers.put(link, zones);
    }

    void peerDisconnected(Connection link) {
        if (ofPeers.containsKey(link)) {
            closed.add(link);
        }
    }

    void clearDisconnected() {
        ofPeers.keySet().removeAll(closed);
        closed.clear();
    }

    boolean isPending(AvailabilityZone zone) {
        return own.contains(zone) || ofPeers.values().stream().anyMatch(zones -> zones.contains(zone));
    }
}
