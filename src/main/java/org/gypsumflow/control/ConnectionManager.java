package org.gypsumflow.control;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
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
 * The connections of one process to the others: opens them, introduces itself, and replaces those that fall silent. Its
 * state belongs to the control lane; messages about jobs go straight to the listener on the thread they came on.
 */
public final class ConnectionManager implements ConnectionListener {
    /** Pause before a failed connection is tried again; it doubles with each failure, since a member may be gone for good. */
    private static final Duration FIRST_REDIAL = Duration.ofMillis(100);
    /** Longest pause between two tries; a member that comes back waits for half of it in the mean. */
    private static final Duration LONGEST_REDIAL = Duration.ofMillis(800);

    /** Hears of connections on the control lane, and of messages on the thread that they came on. */
    public interface MemberListener {
        /**
         * Takes note of a process that is in touch from now on.
         *
         * @param member the process
         * @param link the connection to it
         */
        void memberConnected(Member member, Connection link);

        /**
         * Takes note of a process that is out of touch.
         *
         * @param member the process
         * @param heardNanos when it was last heard, on the monotonic clock
         */
        void memberDisconnected(Member member, long heardNanos);

        /**
         * Takes a message about jobs.
         *
         * @param from who sent it
         * @param message the message
         */
        void jobMessageReceived(MemberName from, BestEffortMessage message);

        /**
         * Takes routes and closures that another process knows.
         *
         * @param from who sent them
         * @param state what it knows
         */
        void routingStateReceived(MemberName from, ShareRoutingState state);
    }

    /** Opens a connection to a member. */
    @FunctionalInterface
    public interface MemberConnector {
        /**
         * Opens a connection.
         *
         * @param member whom to reach
         * @param listener receives what happens on the connection
         * @return the open connection, or a failure
         */
        CompletableFuture<Connection> connect(Member member, ConnectionListener listener);
    }

    private static final class State {
        private volatile long heardNanos;
        private volatile long sentNanos;
        private volatile Member member;

        private State(long heardNanos) {
            this.heardNanos = heardNanos;
        }
    }

    /** Remembers when something was last sent, since any message shows that the sender is there. */
    private record NotedLink(Connection link, State state, TimeSource time) implements Connection {
        @Override
        public void send(Message message) {
            state.sentNanos = time.nanoTime();
            link.send(message);
        }

        @Override
        public void close() {
            link.close();
        }
    }

    private final Member self;
    private final Incarnation incarnation;
    private final SerialExecutor control;
    private final TimeSource time;
    private final MemberConnector dialer;
    private final MemberListener listener;
    private final EventLog events;
    private final Map<Connection, State> states = new ConcurrentHashMap<>();
    private final Map<MemberName, Connection> current = new HashMap<>();
    private final Map<MemberName, Member> toDial = new HashMap<>();
    private final Set<MemberName> dialing = new HashSet<>();
    private final Map<MemberName, Duration> redials = new HashMap<>();
    private final Set<MemberName> waitingToRedial = new HashSet<>();
    private final Set<Connection> dialed = new HashSet<>();
    private boolean stopped;

    private ConnectionManager(
            Member self,
            Incarnation incarnation,
            SerialExecutor control,
            TimeSource time,
            MemberConnector dialer,
            MemberListener listener,
            EventLog events) {
        this.self = self;
        this.incarnation = incarnation;
        this.control = control;
        this.time = time;
        this.dialer = dialer;
        this.listener = listener;
        this.events = events;
    }

    /**
     * Creates the connections of a process; there are none yet.
     *
     * @param self the process
     * @param incarnation its present life
     * @param control the control lane
     * @param time tells the time
     * @param dialer opens connections
     * @param listener hears of connections and messages
     * @param events receives numbered events
     * @return the connections
     */
    public static ConnectionManager create(
            Member self,
            Incarnation incarnation,
            SerialExecutor control,
            TimeSource time,
            MemberConnector dialer,
            MemberListener listener,
            EventLog events) {
        return new ConnectionManager(self, incarnation, control, time, dialer, listener, events);
    }

    /** Begins to watch the connections. */
    public void start() {
        control.scheduleWithFixedDelay(BestEffortTimings.CONNECTION_CHECK_INTERVAL, () -> {
            watch();
            return !stopped;
        });
    }

    /** Stops watching and closes all connections. */
    public void stop() {
        control.execute(() -> {
            stopped = true;
            states.keySet().forEach(Connection::close);
        });
    }

    /**
     * Keeps a connection to a member from now on; called on the control lane. A member that is not in touch is dialed at
     * once, since it has just made itself known.
     *
     * @param member whom to reach
     */
    public void maintainConnection(Member member) {
        toDial.put(member.name(), member);
        redials.remove(member.name());
        dial(member.name());
    }

    /**
     * Returns the connections to all processes in touch; called on the control lane.
     *
     * @return the connections
     */
    public Collection<Connection> connections() {
        return current.values();
    }

    @Override
    public void messageReceived(Connection link, Message message) {
        State state = states.computeIfAbsent(link, created -> new State(time.nanoTime()));
        state.heardNanos = time.nanoTime();
        if (message instanceof Introduce introduce) {
            control.execute(() -> introduced(link, state, introduce));
        } else if (message instanceof ShareRoutingState shared) {
            control.execute(() -> {
                if (state.member != null) {
                    listener.routingStateReceived(state.member.name(), shared);
                }
            });
        } else if (message instanceof BestEffortMessage dispatch && !(message instanceof MemberHeartbeat)) {
            Member member = state.member;
            if (member != null) {
                listener.jobMessageReceived(member.name(), dispatch);
            }
        }
    }

    @Override
    public void connectionClosed(Connection link) {
        control.execute(() -> ended(link, "closed"));
    }

    private void introduced(Connection link, State state, Introduce introduce) {
        Member member = introduce.member();
        Connection before = current.put(member.name(), link);
        if (link.equals(before)) {
            return;
        }
        if (before != null) {
            State old = states.remove(before);
            before.close();
            if (old != null) {
                listener.memberDisconnected(member, old.heardNanos);
            }
        }
        state.member = member;
        dialing.remove(member.name());
        if (!dialed.contains(link)) {
            link.send(new Introduce(self, incarnation));
        }
        events.write(Event.MEMBER_CONNECTED, member.role(), member.name(), member.zone(), introduce.incarnation());
        listener.memberConnected(member, new NotedLink(link, state, time));
    }

    private void dial(MemberName node) {
        Member member = toDial.get(node);
        if (stopped || member == null || current.containsKey(node) || !dialing.add(node)) {
            return;
        }
        control.whenDone(dialer.connect(member, this), (link, failure) -> {
            if (failure != null) {
                dialing.remove(node);
                redial(node);
                return;
            }
            redials.remove(node);
            dialed.add(link);
            states.computeIfAbsent(link, created -> new State(time.nanoTime()));
            link.send(new Introduce(self, incarnation));
            control.schedule(BestEffortTimings.HEARTBEAT_TIMEOUT, () -> {
                dialing.remove(node);
                dial(node);
            });
        });
    }

    private void redial(MemberName node) {
        Duration pause = redials.getOrDefault(node, FIRST_REDIAL);
        Duration next = pause.multipliedBy(2);
        redials.put(node, next.compareTo(LONGEST_REDIAL) < 0 ? next : LONGEST_REDIAL);
        if (waitingToRedial.add(node)) {
            control.schedule(pause, () -> {
                waitingToRedial.remove(node);
                dial(node);
            });
        }
    }

    private void watch() {
        long now = time.nanoTime();
        long quiet = states.size() > BestEffortTimings.MANY_CONNECTIONS_THRESHOLD
                ? BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS.toNanos()
                : BestEffortTimings.HEARTBEAT_IDLE_TIME.toNanos();
        states.forEach((link, state) -> {
            if (now - state.heardNanos > BestEffortTimings.HEARTBEAT_TIMEOUT.toNanos()) {
                ended(
                        link,
                        "silent for " + Duration.ofNanos(now - state.heardNanos).toMillis() + " ms");
                link.close();
            } else if (state.member != null && now - state.sentNanos > quiet) {
                state.sentNanos = now;
                link.send(new MemberHeartbeat(now));
            }
        });
    }

    private void ended(Connection link, String reason) {
        State state = states.remove(link);
        dialed.remove(link);
        if (state == null) {
            return;
        }
        Member member = state.member;
        if (member == null) {
            return;
        }
        if (current.remove(member.name(), link)) {
            events.write(Event.MEMBER_LOST, member.role(), member.name(), reason);
            listener.memberDisconnected(member, state.heardNanos);
            dial(member.name());
        }
    }
}
