package org.gypsumflow.world;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.control.ConnectionManager.MemberConnector;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;

/**
 * TCP connections between members. An interrupted direction holds back what is sent, and delivers it in order once it
 * works again, even if the sender has closed the connection since; nothing is lost in the middle of a connection.
 */
final class MemberNetwork {
    private static final int MIN_LATENCY_MICROS = 300;
    private static final int MAX_LATENCY_MICROS = 1500;
    private static final int MAX_RETRANSMISSION_MICROS = 1_000_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private record Listener(MemberProcess process, ConnectionListener listener) {}

    private record Arrival(long dueNanos, Runnable action) {}

    /** One direction between two hosts. */
    record Direction(String from, String to) {
        Direction reversed() {
            return new Direction(to, from);
        }
    }

    /** One end of a connection, with the messages that are on their way from it to the other end. */
    private final class End implements Connection {
        private final MemberProcess process;
        private final ConnectionListener listener;
        private final int number = endCounter++;
        private final Deque<Arrival> underway = new ArrayDeque<>();
        private End peer;
        private boolean closed;
        private boolean severed;
        private long lastDueNanos;
        private long heldUntilNanos;

        private End(MemberProcess process, ConnectionListener listener) {
            this.process = process;
            this.listener = listener;
        }

        private Direction direction() {
            return new Direction(process.name(), peer.process.name());
        }

        @Override
        public void send(Message message) {
            if (!closed) {
                enqueue(() -> peer.process.run(() -> {
                    if (!peer.closed) {
                        peer.listener.messageReceived(peer, message);
                    }
                }));
            }
        }

        @Override
        public void close() {
            if (closed) {
                return;
            }
            closed = true;
            enqueue(() -> peer.process.run(peer::closedByPeer));
            clock.schedule(Duration.ZERO, () -> process.run(() -> listener.connectionClosed(this)));
        }

        private void closedByPeer() {
            if (!closed) {
                closed = true;
                listener.connectionClosed(this);
            }
        }

        private void enqueue(Runnable arrival) {
            if (severed) {
                return;
            }
            Duration delay = randomLatency().plus(delays.getOrDefault(direction(), Duration.ZERO));
            lastDueNanos = Math.max(lastDueNanos, clock.nanos() + delay.toNanos());
            underway.add(new Arrival(lastDueNanos, arrival));
            clock.schedule(Duration.ofNanos(lastDueNanos - clock.nanos()), this::deliver);
        }

        private void deliver() {
            while (!underway.isEmpty()
                    && underway.peek().dueNanos() <= clock.nanos()
                    && heldUntilNanos <= clock.nanos()
                    && !isInterrupted(direction())) {
                underway.poll().action().run();
            }
        }

        private void hold(Duration duration) {
            heldUntilNanos = Math.max(heldUntilNanos, clock.nanos() + duration.toNanos());
            clock.schedule(duration, this::deliver);
        }

        private void sever() {
            severed = true;
            underway.clear();
        }

        @Override
        public int hashCode() {
            return number;
        }

        @Override
        public boolean equals(Object other) {
            return this == other;
        }
    }

    private final VirtualClock clock;
    private final Random random;
    private final Map<MemberName, Listener> listeners = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<Direction, Integer> interruptions = new HashMap<>();
    private final Map<Direction, Duration> delays = new HashMap<>();
    private int endCounter;

    MemberNetwork(VirtualClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void listen(MemberName name, MemberProcess process, ConnectionListener listener) {
        listeners.put(name, new Listener(process, listener));
    }

    MemberConnector connectorOf(MemberProcess process) {
        return (member, listener) -> {
            CompletableFuture<Connection> connected = new CompletableFuture<>();
            Direction direction = new Direction(process.name(), member.name().value());
            boolean interrupted = isInterrupted(direction) || isInterrupted(direction.reversed());
            Duration delay = interrupted ? CONNECT_TIMEOUT : randomLatency().multipliedBy(2);
            clock.schedule(
                    delay,
                    () -> process.run(() -> {
                        Listener target = listeners.get(member.name());
                        if (interrupted || target == null || target.process().isDead()) {
                            connected.completeExceptionally(new ConnectException("cannot connect to " + member.name()));
                        } else {
                            connected.complete(open(new End(process, listener), target));
                        }
                    }));
            return connected;
        };
    }

    private End open(End initiator, Listener target) {
        End acceptor = new End(target.process(), target.listener());
        initiator.peer = acceptor;
        acceptor.peer = initiator;
        ends.removeIf(end -> end.closed && end.underway.isEmpty());
        ends.add(initiator);
        ends.add(acceptor);
        return initiator;
    }

    /** Interrupts one direction until {@link #restore}; interruptions of the same direction add up. */
    void interrupt(Direction direction) {
        interruptions.merge(direction, 1, Integer::sum);
    }

    /** Ends an interruption; what was held back arrives with its retransmission, within a second. */
    void restore(Direction direction) {
        interruptions.merge(direction, -1, Integer::sum);
        endsOf(direction).forEach(end -> end.hold(Duration.ofNanos(random.nextInt(MAX_RETRANSMISSION_MICROS) * 1000L)));
    }

    /** Delays each message of one direction from now on; zero ends the delay. */
    void delay(Direction direction, Duration delay) {
        delays.put(direction, delay);
    }

    /** Holds back what is sent in one direction on the open connections for a while. */
    void stall(Direction direction, Duration duration) {
        endsOf(direction).forEach(end -> end.hold(duration));
    }

    /** Resets the connections between two hosts: what is underway is lost, and both ends are closed. */
    void reset(Direction direction) {
        endsOf(direction).forEach(end -> {
            for (End each : List.of(end, end.peer)) {
                each.sever();
                clock.schedule(randomLatency(), () -> each.process.run(each::closedByPeer));
            }
        });
    }

    /** Ends the connections of a dead process: their peers see them close, or hear nothing any more. */
    void processDied(MemberProcess process, boolean silently) {
        for (End end : List.copyOf(ends)) {
            if (end.process != process) {
                continue;
            }
            if (silently) {
                end.sever();
                end.peer.sever();
            } else {
                end.close();
            }
        }
    }

    private List<End> endsOf(Direction direction) {
        return ends.stream().filter(end -> end.direction().equals(direction)).toList();
    }

    private boolean isInterrupted(Direction direction) {
        return interruptions.getOrDefault(direction, 0) > 0;
    }

    private Duration randomLatency() {
        int micros = MIN_LATENCY_MICROS + random.nextInt(MAX_LATENCY_MICROS - MIN_LATENCY_MICROS);
        return Duration.ofNanos(micros * 1000L);
    }
}
