package org.gypsumflow.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;

/**
 * Zone closures that may have been appended to the log but have not been read back; used on the control thread only.
 *
 * <p>While the closure of a zone is pending, no entry confirms the configuration to the zone's agents, so that they
 * stop starting tasks when their configuration expires. A closure of this entry stops being pending when the log has
 * been read. The closures of a peer are those of its latest heartbeat; after its connection has ended they stay pending
 * until the log has been read.
 */
final class PendingZoneClosures {
    private final List<AvailabilityZone> ownPending = new ArrayList<>();
    private final Map<Connection, Set<AvailabilityZone>> pendingByPeer = new HashMap<>();
    private final Set<Connection> disconnected = new HashSet<>();

    private PendingZoneClosures() {}

    static PendingZoneClosures create() {
        return new PendingZoneClosures();
    }

    void add(AvailabilityZone zone) {
        ownPending.add(zone);
    }

    void remove(AvailabilityZone zone) {
        ownPending.remove(zone);
    }

    Set<AvailabilityZone> ownZones() {
        return Set.copyOf(ownPending);
    }

    void setPeerZones(Connection peer, Set<AvailabilityZone> zones) {
        pendingByPeer.put(peer, zones);
    }

    void peerDisconnected(Connection peer) {
        if (pendingByPeer.containsKey(peer)) {
            disconnected.add(peer);
        }
    }

    /** Drops the closures of disconnected peers; called when the log has been read to its head. */
    void clearDisconnected() {
        pendingByPeer.keySet().removeAll(disconnected);
        disconnected.clear();
    }

    boolean isPending(AvailabilityZone zone) {
        return ownPending.contains(zone) || pendingByPeer.values().stream().anyMatch(zones -> zones.contains(zone));
    }
}
