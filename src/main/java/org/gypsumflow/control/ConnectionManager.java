package org.gypsumflow.control;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.Introduce;
import org.gypsumflow.model.BestEffortMessage.MemberHeartbeat;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;

/**
 * Opens, monitors and reopens the connections of one process to the other members of the system.
 *
 * <p>Introduces this process on each connection, sends heartbeats, and replaces connections that exceed the heartbeat
 * timeout. Each heartbeat carries the send time of the newest one that was received on its connection. An agent sends
 * heartbeats to entries whatever else it sends, and an entry echoes them immediately, so that the agent knows which of
 * its messages have certainly arrived. Entries send each other heartbeats when their connection is idle.
 *
 * <p>Its state is confined to the control thread. Job messages and confirmed contacts are passed to the listener
 * directly, on the thread on which they arrived, and heartbeats are echoed on that thread, so that a delayed control
 * thread does not delay them.
 */
public final class ConnectionManager implements ConnectionListener {
    /**
     * Delay before the first retry of a failed connection; doubles with each failure, since a member may be gone for
     * good.
     */
    private static final Duration INITIAL_RECONNECT_DELAY = Duration.ofMillis(100);
    /** Maximum delay between two retries; a member that comes back waits for half of it on average. */
    private static final Duration MAX_RECONNECT_DELAY = Duration.ofMillis(800);

    /**
     * Callbacks for connections and messages. Connections and routing states are reported on the control thread, confirmed
     * contacts and job messages on the thread on which they arrived, but on the control thread if the member's
     * introduction was still waiting there.
     */
    public interface MemberListener {
        /**
         * Called when a member has introduced itself on a connection.
         *
         * @param member member at the other end
         * @param connection connection on which to send to the member
         */
        void memberConnected(Member member, Connection connection);

        /**
         * Called when the connection to a member has ended, timed out or been replaced by a newer one.
         *
         * @param member member at the other end
         * @param lastReceivedNanos monotonic time at which the last message arrived, in nanoseconds
         */
        void memberDisconnected(Member member, long lastReceivedNanos);

        /**
         * Called when a member has confirmed that it received a heartbeat of this process.
         *
         * <p>The member counts its timeouts from its receipt of this process's messages, which is later than the send
         * time of a heartbeat that it received.
         *
         * @param member member that confirmed it
         * @param sentAtNanos monotonic time at which this process sent that heartbeat, in nanoseconds
         */
        void contactConfirmed(MemberName member, long sentAtNanos);

        /**
         * Called when a message about jobs has arrived.
         *
         * @param sender member that sent the message
         * @param message message other than introductions, heartbeats and routing states
         */
        void jobMessageReceived(MemberName sender, BestEffortMessage message);

        /**
         * Called when another member has sent its routing table and closed zones.
         *
         * @param sender member that sent the state
         * @param state routing state of the sender; may be older than the own one
         */
        void routingStateReceived(MemberName sender, ShareRoutingState state);
    }

    /** Opens a connection to a member. */
    @FunctionalInterface
    public interface MemberConnector {
        /**
         * Opens a connection to a member.
         *
         * @param member member to connect to, with its address
         * @param listener receives the connection's messages and its end
         * @return completes with the open connection, or exceptionally if the member cannot be reached
         */
        CompletableFuture<Connection> connect(Member member, ConnectionListener listener);
    }

    private static final class ConnectionState {
        private volatile long lastReceivedNanos;
        private volatile long lastSentNanos;
        private volatile OptionalLong lastHeartbeatSentNanos = OptionalLong.empty();
        private volatile OptionalLong receivedHeartbeatNanos = OptionalLong.empty();
        private volatile Member member;
        private boolean ended;

        private ConnectionState(long createdNanos) {
            this.lastReceivedNanos = createdNanos;
            this.lastSentNanos = createdNanos;
        }

        /** Returns false once the connection has ended: a later message must neither count nor be confirmed. */
        private synchronized boolean recordReceipt(long nowNanos) {
            if (!ended) {
                lastReceivedNanos = nowNanos;
            }
            return !ended;
        }

        /** Ends the connection and returns the time of its last message. */
        private synchronized long end() {
            ended = true;
            return lastReceivedNanos;
        }
    }

    /** Records when a message was last sent, since any message also serves as a heartbeat. */
    private record SendTrackingConnection(Connection connection, ConnectionState state, TimeSource time)
            implements Connection {
        @Override
        public void send(Message message) {
            state.lastSentNanos = time.nanoTime();
            connection.send(message);
        }

        @Override
        public void close() {
            connection.close();
        }
    }

    private final Member self;
    private final Incarnation incarnation;
    private final SerialExecutor controlExecutor;
    private final TimeSource time;
    private final MemberConnector connector;
    private final MemberListener listener;
    private final EventLog events;
    private final ReceptionProgress receptionProgress;
    private final RoutingStateCache routingState;
    private final Map<Connection, ConnectionState> states = new ConcurrentHashMap<>();
    private final Map<MemberName, Connection> connectionByName = new HashMap<>();
    private final Map<MemberName, Member> membersToConnect = new HashMap<>();
    private final Set<MemberName> connecting = new HashSet<>();
    private final ConnectionAttempts attempts;
    private long lastCheckNanos;
    private final Map<MemberName, Duration> reconnectDelays = new HashMap<>();
    private final Set<MemberName> waitingToReconnect = new HashSet<>();
    private final Set<Connection> initiatedHere = new HashSet<>();
    private boolean stopped;

    private ConnectionManager(
            Member self,
            Incarnation incarnation,
            SerialExecutor controlExecutor,
            TimeSource time,
            MemberConnector connector,
            MemberListener listener,
            EventLog events,
            ReceptionProgress receptionProgress,
            RoutingStateCache routingState) {
        this.self = self;
        this.incarnation = incarnation;
        this.controlExecutor = controlExecutor;
        this.time = time;
        this.connector = connector;
        this.listener = listener;
        this.events = events;
        this.receptionProgress = receptionProgress;
        this.routingState = routingState;
        this.attempts = ConnectionAttempts.create(controlExecutor, this::attempt);
    }

    /**
     * Creates a connection manager without connections.
     *
     * @param self this process, as introduced to other members
     * @param incarnation incarnation of this process
     * @param controlExecutor serial executor of the control thread
     * @param time clocks
     * @param connector opens connections to members
     * @param listener receives connections and messages
     * @param events receives an event for each member that connects or is lost
     * @return the connection manager
     */
    public static ConnectionManager create(
            Member self,
            Incarnation incarnation,
            SerialExecutor controlExecutor,
            TimeSource time,
            MemberConnector connector,
            MemberListener listener,
            EventLog events) {
        return create(
                self,
                incarnation,
                controlExecutor,
                time,
                connector,
                listener,
                events,
                time::nanoTime,
                RoutingStateCache.create(events));
    }

    /**
     * Creates a connection manager without connections.
     *
     * @param self this process, as introduced to other members
     * @param incarnation incarnation of this process
     * @param controlExecutor serial executor of the control thread
     * @param time clocks
     * @param connector opens connections to members
     * @param listener receives connections and messages
     * @param events receives an event for each member that connects or is lost
     * @param receptionProgress tells up to which time this process has read its connections; the time since proves no
     *     silence of a member
     * @param routingState an entry tells its agents with each heartbeat whether this is confirmed, and an agent has it
     *     confirmed by such heartbeats
     * @return the connection manager
     */
    public static ConnectionManager create(
            Member self,
            Incarnation incarnation,
            SerialExecutor controlExecutor,
            TimeSource time,
            MemberConnector connector,
            MemberListener listener,
            EventLog events,
            ReceptionProgress receptionProgress,
            RoutingStateCache routingState) {
        return new ConnectionManager(
                self, incarnation, controlExecutor, time, connector, listener, events, receptionProgress, routingState);
    }

    /** Starts to monitor the connections: sends heartbeats and closes connections that time out. */
    public void start() {
        lastCheckNanos = time.nanoTime();
        controlExecutor.scheduleWithFixedDelay(BestEffortTimings.CONNECTION_CHECK_INTERVAL, () -> {
            checkConnections();
            return !stopped;
        });
    }

    /** Stops monitoring and closes all connections. */
    public void stop() {
        controlExecutor.execute(() -> {
            stopped = true;
            states.keySet().forEach(Connection::close);
        });
    }

    /**
     * Keeps a connection to a member from now on; called on the control thread. A member that is not connected is
     * tried immediately, without the delay of earlier failures, since it has just announced its address.
     *
     * @param member member to connect to; replaces an earlier address of the same name
     */
    public void maintainConnection(Member member) {
        membersToConnect.put(member.name(), member);
        reconnectDelays.remove(member.name());
        connect(member.name());
    }

    /**
     * Returns the connections to all connected members; called on the control thread.
     *
     * @return live view of the connections
     */
    public Collection<Connection> connections() {
        return connectionByName.values();
    }

    @Override
    public void messageReceived(Connection connection, Message message) {
        ConnectionState state = states.computeIfAbsent(connection, created -> new ConnectionState(time.nanoTime()));
        if (!state.recordReceipt(time.nanoTime())) {
            return;
        }
        if (message instanceof Introduce introduce) {
            controlExecutor.execute(() -> introductionReceived(connection, state, introduce));
        } else if (message instanceof ShareRoutingState routingState) {
            controlExecutor.execute(() -> {
                if (state.member != null) {
                    listener.routingStateReceived(state.member.name(), routingState);
                }
            });
        } else if (message instanceof MemberHeartbeat heartbeat) {
            heartbeatReceived(connection, state, heartbeat);
        } else if (message instanceof BestEffortMessage jobMessage) {
            jobMessageReceived(state, jobMessage);
        }
    }

    /** Passes a job message on; one that follows the introduction closely waits until that has been handled. */
    private void jobMessageReceived(ConnectionState state, BestEffortMessage message) {
        Member member = state.member;
        if (member != null) {
            listener.jobMessageReceived(member.name(), message);
            return;
        }
        controlExecutor.execute(() -> {
            if (state.member != null) {
                listener.jobMessageReceived(state.member.name(), message);
            }
        });
    }

    @Override
    public void connectionClosed(Connection connection) {
        controlExecutor.execute(() -> connectionEnded(connection, "disconnected"));
    }

    private void heartbeatReceived(Connection connection, ConnectionState state, MemberHeartbeat heartbeat) {
        state.receivedHeartbeatNanos = OptionalLong.of(heartbeat.sentAtNanos());
        Member member = state.member;
        if (member == null) {
            return;
        }
        heartbeat.echoedNanos().ifPresent(sentAtNanos -> {
            listener.contactConfirmed(member.name(), sentAtNanos);
            if (sendsHeartbeatsAlwaysTo(member) && heartbeat.routingConfirmed()) {
                routingState.confirmByMember(sentAtNanos);
            }
        });
        if (echoesHeartbeatsOf(member) && heartbeatDue(state, time.nanoTime())) {
            sendHeartbeat(connection, state);
        }
    }

    private void introductionReceived(Connection connection, ConnectionState state, Introduce introduce) {
        if (states.get(connection) != state) {
            return;
        }
        Member member = introduce.member();
        Connection previous = connectionByName.put(member.name(), connection);
        if (connection.equals(previous)) {
            return;
        }
        if (previous != null) {
            ConnectionState previousState = states.remove(previous);
            previous.close();
            if (previousState != null) {
                listener.memberDisconnected(member, previousState.end());
            }
        }
        connecting.remove(member.name());
        if (!initiatedHere.contains(connection)) {
            connection.send(new Introduce(self, incarnation));
        }
        events.write(Event.MEMBER_CONNECTED, member.role(), member.name(), member.zone(), introduce.incarnation());
        listener.memberConnected(member, new SendTrackingConnection(connection, state, time));
        // Messages that arrive from now on are passed on directly, and must not overtake the notification above.
        state.member = member;
        boolean unansweredHeartbeat = echoesHeartbeatsOf(member) && state.receivedHeartbeatNanos.isPresent();
        if (sendsHeartbeatsAlwaysTo(member) || unansweredHeartbeat) {
            sendHeartbeat(connection, state);
        }
    }

    private boolean echoesHeartbeatsOf(Member member) {
        return self.role() == Member.Role.ENTRY && member.role() == Member.Role.AGENT;
    }

    private boolean sendsHeartbeatsAlwaysTo(Member member) {
        return self.role() == Member.Role.AGENT && member.role() == Member.Role.ENTRY;
    }

    private boolean heartbeatDue(ConnectionState state, long nowNanos) {
        OptionalLong previous = state.lastHeartbeatSentNanos;
        return previous.isEmpty() || nowNanos - previous.getAsLong() > heartbeatIdleNanos();
    }

    private long heartbeatIdleNanos() {
        return states.size() > BestEffortTimings.MANY_CONNECTIONS_THRESHOLD
                ? BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS.toNanos()
                : BestEffortTimings.HEARTBEAT_IDLE_TIME.toNanos();
    }

    private void sendHeartbeat(Connection connection, ConnectionState state) {
        long nowNanos = time.nanoTime();
        state.lastSentNanos = nowNanos;
        state.lastHeartbeatSentNanos = OptionalLong.of(nowNanos);
        connection.send(
                new MemberHeartbeat(nowNanos, state.receivedHeartbeatNanos, routingState.isConfirmed(nowNanos)));
    }

    private void connect(MemberName name) {
        if (connectionByName.containsKey(name) || connecting.contains(name)) {
            return;
        }
        attempts.request(name);
    }

    private void attempt(MemberName name, Runnable ended) {
        Member member = membersToConnect.get(name);
        if (stopped || member == null || connectionByName.containsKey(name) || !connecting.add(name)) {
            ended.run();
            return;
        }
        controlExecutor.whenDone(open(member), (connection, failure) -> {
            ended.run();
            if (failure != null) {
                connecting.remove(name);
                scheduleReconnect(name);
                return;
            }
            reconnectDelays.remove(name);
            initiatedHere.add(connection);
            states.computeIfAbsent(connection, created -> new ConnectionState(time.nanoTime()));
            connection.send(new Introduce(self, incarnation));
            // Until the member has introduced itself it counts as being connected to, so that there is no second
            // attempt beside this one. If it has not done so within the heartbeat timeout, the connection is replaced.
            controlExecutor.schedule(BestEffortTimings.HEARTBEAT_TIMEOUT, () -> {
                connecting.remove(name);
                connect(name);
            });
        });
    }

    private CompletableFuture<Connection> open(Member member) {
        try {
            return connector.connect(member, this);
        } catch (RuntimeException failure) {
            events.write(Event.INTERNAL_ERROR, "the connection to " + member.name(), failure);
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void scheduleReconnect(MemberName name) {
        Duration delay = reconnectDelays.getOrDefault(name, INITIAL_RECONNECT_DELAY);
        Duration nextDelay = delay.multipliedBy(2);
        reconnectDelays.put(name, nextDelay.compareTo(MAX_RECONNECT_DELAY) < 0 ? nextDelay : MAX_RECONNECT_DELAY);
        if (waitingToReconnect.add(name)) {
            controlExecutor.schedule(delay, () -> {
                waitingToReconnect.remove(name);
                connect(name);
            });
        }
    }

    private void checkConnections() {
        long nowNanos = time.nanoTime();
        long ownDelayNanos = Math.max(delayOfCheckNanos(nowNanos), nowNanos - receptionProgress.receivedUntilNanos());
        long maxSilenceNanos = BestEffortTimings.HEARTBEAT_TIMEOUT.toNanos() + ownDelayNanos;
        lastCheckNanos = nowNanos;
        states.forEach((connection, state) -> {
            if (nowNanos - state.lastReceivedNanos > maxSilenceNanos) {
                connectionEnded(
                        connection,
                        "no message for "
                                + Duration.ofNanos(nowNanos - state.lastReceivedNanos)
                                        .toMillis() + " ms");
                connection.close();
            } else if (state.member != null && needsHeartbeat(state.member, state, nowNanos)) {
                sendHeartbeat(connection, state);
            }
        });
    }

    /** Returns how late this check is. For that time this process read nothing, so that it proves no silence. */
    private long delayOfCheckNanos(long nowNanos) {
        return Math.max(0, nowNanos - lastCheckNanos - BestEffortTimings.CONNECTION_CHECK_INTERVAL.toNanos());
    }

    private boolean needsHeartbeat(Member member, ConnectionState state, long nowNanos) {
        if (sendsHeartbeatsAlwaysTo(member)) {
            return heartbeatDue(state, nowNanos);
        }
        long maxIdleNanos = echoesHeartbeatsOf(member)
                ? BestEffortTimings.HEARTBEAT_IDLE_TIME_WITHOUT_ECHOES.toNanos()
                : heartbeatIdleNanos();
        return nowNanos - state.lastSentNanos > maxIdleNanos;
    }

    private void connectionEnded(Connection connection, String reason) {
        ConnectionState state = states.remove(connection);
        initiatedHere.remove(connection);
        if (state == null) {
            return;
        }
        long lastReceivedNanos = state.end();
        Member member = state.member;
        if (member == null) {
            return;
        }
        if (connectionByName.remove(member.name(), connection)) {
            events.write(Event.MEMBER_LOST, member.role(), member.name(), reason);
            listener.memberDisconnected(member, lastReceivedNanos);
            connect(member.name());
        }
    }
}
