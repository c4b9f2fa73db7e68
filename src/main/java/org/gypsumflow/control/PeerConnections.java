package org.gypsumflow.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gypsumflow.command.Membership;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Message;

/** Connections that an entry has opened to its peers, by their incarnation; used on the control thread only. */
final class PeerConnections {
    private final EntryAddress self;
    private final Membership membership;
    private final EventLog events;
    private final Map<Incarnation, Connection> connections = new HashMap<>();
    private final Set<Incarnation> draining = new HashSet<>();
    private final Set<Incarnation> connecting = new HashSet<>();

    private PeerConnections(EntryAddress self, Membership membership, EventLog events) {
        this.self = self;
        this.membership = membership;
        this.events = events;
    }

    static PeerConnections create(EntryAddress self, Membership membership, EventLog events) {
        return new PeerConnections(self, membership, events);
    }

    Map<Incarnation, Connection> byIncarnation() {
        return connections;
    }

    void sendToAll(Message message) {
        connections.values().forEach(connection -> connection.send(message));
    }

    /** Returns the peer of a connection, or empty if this entry did not open the connection. */
    Optional<Incarnation> findPeer(Connection connection) {
        return connections.entrySet().stream()
                .filter(peer -> peer.getValue().equals(connection))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    void setDraining(Incarnation peer, boolean isDraining) {
        if (isDraining) {
            draining.add(peer);
        } else {
            draining.remove(peer);
        }
    }

    /** Calls the connector for each known peer that is neither connected nor being connected. */
    void connectMissing(Consumer<EntryAddress> connector) {
        for (EntryAddress entry : membership.entriesInService()) {
            boolean isPeer = !entry.incarnation().equals(self.incarnation());
            if (isPeer && !connections.containsKey(entry.incarnation()) && connecting.add(entry.incarnation())) {
                connector.accept(entry);
            }
        }
    }

    /** Records the outcome of a connection attempt; the connection is null if it failed. */
    void connectCompleted(EntryAddress entry, Connection connection) {
        connecting.remove(entry.incarnation());
        if (connection != null) {
            connections.put(entry.incarnation(), connection);
            events.write(Event.PEER_CONNECTED, entry.name());
        }
    }

    /** Closes the connections to entries that are no longer members and returns the incarnations of these entries. */
    Set<Incarnation> closeUnknown() {
        Set<Incarnation> unknown = new HashSet<>(connections.keySet());
        membership.entriesInService().forEach(entry -> unknown.remove(entry.incarnation()));
        unknown.forEach(peer -> {
            connections.remove(peer).close();
            draining.remove(peer);
        });
        return unknown;
    }

    void remove(Connection connection) {
        findPeer(connection).ifPresent(peer -> {
            connections.remove(peer);
            events.write(Event.PEER_LOST, peer);
        });
    }

    /**
     * Lists the entries that accept work: this one unless it is draining, and the connected peers that are not
     * draining.
     */
    List<EntryAddress> entriesInService(boolean selfIsDraining) {
        List<EntryAddress> entries = new ArrayList<>();
        if (!selfIsDraining) {
            entries.add(self);
        }
        membership.entriesInService().stream()
                .filter(entry ->
                        connections.containsKey(entry.incarnation()) && !draining.contains(entry.incarnation()))
                .forEach(entries::add);
        return entries;
    }
}
