package org.gypsumflow.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.PeerMessage;
import org.gypsumflow.model.BestEffortMessage.Relay;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.MemberName;

/**
 * Paths to the peers, which are the other entries: a direct connection, or else one through an agent that is in contact
 * with the peer. A peer that no path leads to shares no agent with this entry, or has ended.
 *
 * <p>A message may be lost together with its path. Whatever must arrive is sent again when the next path opens. Confined
 * to one executor.
 */
final class PeerPaths {
    /** Receives a path that has been opened, perhaps in place of another one. */
    @FunctionalInterface
    interface OpeningListener {
        /** Called when messages to the peer take a new path. */
        void opened(MemberName peer, PeerPath path);
    }

    /** Receives the end of a path to a peer, before the next one is opened: the peer may have restarted since. */
    @FunctionalInterface
    interface ClosingListener {
        /**
         * Called with the monotonic time in nanoseconds of the peer's last message on a direct connection, or at which
         * the agent's loss of the peer, or the loss of the agent, was noticed.
         */
        void closed(MemberName peer, long lastMessageNanos);
    }

    /** Sends messages to a peer. */
    @FunctionalInterface
    interface PeerPath {
        /** Sends a message, which may be lost. */
        void send(PeerMessage message);
    }

    private record OpenPath(PeerPath path, Optional<MemberName> agent) {}

    private static final class AgentContacts {
        private final Connection connection;
        private final Set<MemberName> entries = new HashSet<>();

        private AgentContacts(Connection connection) {
            this.connection = connection;
        }
    }

    private final TimeSource time;
    private final OpeningListener openingListener;
    private final ClosingListener closingListener;
    private final EventLog events;
    private final Map<MemberName, OpenPath> paths = new HashMap<>();
    private final Map<MemberName, Connection> connections = new HashMap<>();
    private final Map<MemberName, AgentContacts> agents = new TreeMap<>();

    PeerPaths(TimeSource time, OpeningListener openingListener, ClosingListener closingListener, EventLog events) {
        this.time = time;
        this.openingListener = openingListener;
        this.closingListener = closingListener;
        this.events = events;
    }

    /** Uses a direct connection to a peer from now on. */
    void peerConnected(MemberName peer, Connection connection) {
        connections.put(peer, connection);
        open(peer, new OpenPath(connection::send, Optional.empty()));
    }

    /** Ends the use of the direct connection to a peer. */
    void peerDisconnected(MemberName peer, long lastMessageNanos) {
        OpenPath path = paths.get(peer);
        if (path != null && path.agent().isEmpty()) {
            connections.remove(peer);
            replaceOrClose(peer, lastMessageNanos);
        }
    }

    /** Adds an agent, which is going to tell its contacts. */
    void agentConnected(MemberName agent, Connection connection) {
        agentDisconnected(agent);
        agents.put(agent, new AgentContacts(connection));
    }

    /** Removes an agent; paths through it are replaced or closed. */
    void agentDisconnected(MemberName agent) {
        if (agents.remove(agent) != null) {
            peersThrough(agent).forEach(peer -> replaceOrClose(peer, time.nanoTime()));
        }
    }

    /** Applies a change of an agent's contacts: paths through it close, and one opens where there was none. */
    void contactsChanged(MemberName agent, ContactsChanged change) {
        AgentContacts contacts = agents.get(agent);
        if (contacts == null) {
            return;
        }
        contacts.entries.removeAll(change.lost());
        peersThrough(agent).stream()
                .filter(change.lost()::contains)
                .forEach(peer -> replaceOrClose(peer, time.nanoTime()));
        contacts.entries.addAll(change.gained());
        change.gained().stream()
                .filter(peer -> !paths.containsKey(peer))
                .forEach(peer -> open(peer, through(agent, peer)));
    }

    /** Returns the path to a peer, or empty if there is none. */
    Optional<PeerPath> pathTo(MemberName peer) {
        return Optional.ofNullable(paths.get(peer)).map(OpenPath::path);
    }

    /** Returns the direct connection to a peer, or empty if its messages go through an agent or nowhere. */
    Optional<Connection> connectionTo(MemberName peer) {
        return Optional.ofNullable(connections.get(peer));
    }

    /** Returns the path on which the answer to a message that an agent relayed must go: a loss of it is noticed. */
    Optional<PeerPath> pathThrough(MemberName agent, MemberName peer) {
        return agents.containsKey(agent) ? Optional.of(through(agent, peer).path()) : Optional.empty();
    }

    /** Returns the peers that a path leads to. */
    Set<MemberName> reachablePeers() {
        return Set.copyOf(paths.keySet());
    }

    /** Sends a message to all peers but one. */
    void sendToOthers(MemberName excluded, PeerMessage message) {
        paths.forEach((peer, path) -> {
            if (!peer.equals(excluded)) {
                path.path().send(message);
            }
        });
    }

    /** Sends a message to all peers. */
    void sendToAll(PeerMessage message) {
        paths.values().forEach(path -> path.path().send(message));
    }

    private List<MemberName> peersThrough(MemberName agent) {
        return paths.entrySet().stream()
                .filter(path -> path.getValue().agent().filter(agent::equals).isPresent())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private void replaceOrClose(MemberName peer, long lastMessageNanos) {
        paths.remove(peer);
        closingListener.closed(peer, lastMessageNanos);
        Optional<MemberName> agent = agents.entrySet().stream()
                .filter(contacts -> contacts.getValue().entries.contains(peer))
                .map(Map.Entry::getKey)
                .findFirst();
        if (agent.isPresent()) {
            open(peer, through(agent.get(), peer));
        } else {
            events.write(Event.PEER_UNREACHABLE, peer);
        }
    }

    private OpenPath through(MemberName agent, MemberName peer) {
        Connection connection = agents.get(agent).connection;
        return new OpenPath(message -> connection.send(new Relay(peer, message)), Optional.of(agent));
    }

    private void open(MemberName peer, OpenPath path) {
        paths.put(peer, path);
        path.agent().ifPresent(agent -> events.write(Event.PEER_RELAYED, peer, agent));
        openingListener.opened(peer, path.path());
    }
}
