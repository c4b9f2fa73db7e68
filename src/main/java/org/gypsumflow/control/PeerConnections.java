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

/** The connections that an entry opened to the other entries; used on the control lane only. */
final class PeerConnections {
    private final EntryAddress self;
    private final Membership membership;
    private final EventLog events;
    private final Map<Incarnation, Connection> links = new HashMap<>();
    private final Set<Incarnation> leaving = new HashSet<>();
    private final Set<Incarnation> dialing = new HashSet<>();

    private PeerConnections(EntryAddress self, Membership membership, EventLog events) {
        this.self = self;
        this.membership = membership;
        this.events = events;
    }

    static PeerConnections create(EntryAddress self, Membership membership, EventLog events) {
        return new PeerConnections(self, membership, events);
    }

    Map<Incarnation, Connection> byIncarnation() {
        return links;
    }

    void sendToAll(Message message) {
        links.values().forEach(link -> link.send(message));
    }

    /** Finds the entry at the other end of a connection that this entry opened. */
    Optional<Incarnation> findPeer(Connection link) {
        return links.entrySet().stream()
                .filter(peer -> peer.getValue().equals(link))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    void setDraining(Incarnation peer, boolean isLeaving) {
        if (isLeaving) {
            leaving.add(peer);
        } else {
            leaving.remove(peer);
        }
    }

    /** Hands over each known entry to which no connection is open or under way. */
    void connectMissing(Consumer<EntryAddress> dial) {
        for (EntryAddress entry : membership.entriesInService()) {
            boolean isOther = !entry.incarnation().equals(self.incarnation());
            if (isOther && !links.containsKey(entry.incarnation()) && dialing.add(entry.incarnation())) {
                dial.accept(entry);
            }
        }
    }

    void connectCompleted(EntryAddress entry, Connection link) {
        dialing.remove(entry.incarnation());
        if (link != null) {
            links.put(entry.incarnation(), link);
            events.write(Event.PEER_CONNECTED, entry.name());
        }
    }

    /** Closes connections to entries that are out of service; returns these entries. */
    Set<Incarnation> closeUnknown() {
        Set<Incarnation> gone = new HashSet<>(links.keySet());
        membership.entriesInService().forEach(entry -> gone.remove(entry.incarnation()));
        gone.forEach(peer -> {
            links.remove(peer).close();
            leaving.remove(peer);
        });
        return gone;
    }

    void remove(Connection link) {
        findPeer(link).ifPresent(peer -> {
            links.remove(peer);
            events.write(Event.PEER_LOST, peer);
        });
    }

    /** Lists the entries that take work: connected, not leaving, and this one unless it is leaving itself. */
    List<EntryAddress> entriesInService(boolean selfIsLeaving) {
        List<EntryAddress> entries = new ArrayList<>();
        if (!selfIsLeaving) {
            entries.add(self);
        }
        membership.entriesInService().stream()
                .filter(entry -> links.containsKey(entry.incarnation()) && !leaving.contains(entry.incarnation()))
                .forEach(entries::add);
        return entries;
    }
}
