package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.control.EntryConnector;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Message;

/** Simulated connections between processes: deliver messages in order and can drop or delay them. */
final class FakeNetwork {
    private static final int MAX_LATENCY_MICROS = 1500;
    private static final int MIN_LATENCY_MICROS = 300;

    private record Listener(FakeProcess process, ConnectionListener listener) {}

    /** A connection with one end at each process. */
    private final class FakeConnection {
        private final ConnectionEnd initiator;
        private final ConnectionEnd acceptor;
        private boolean open = true;
        private Duration fixedDelay;

        private FakeConnection(FakeProcess from, ConnectionListener fromListener, Listener to) {
            this.initiator = new ConnectionEnd(this, from, fromListener);
            this.acceptor = new ConnectionEnd(this, to.process(), to.listener());
        }

        private ConnectionEnd otherEnd(ConnectionEnd end) {
            return end.equals(initiator) ? acceptor : initiator;
        }

        private boolean connects(FakeProcess left, FakeProcess right) {
            return (initiator.process == left && acceptor.process == right)
                    || (initiator.process == right && acceptor.process == left);
        }
    }

    private final class ConnectionEnd implements Connection {
        private final FakeConnection connection;
        private final FakeProcess process;
        private final ConnectionListener listener;
        private final int number = endCounter++;
        private boolean dropsMessages;
        private boolean closeDelivered;
        private long lastDeliveryNanos;

        private ConnectionEnd(FakeConnection connection, FakeProcess process, ConnectionListener listener) {
            this.connection = connection;
            this.process = process;
            this.listener = listener;
        }

        @Override
        public void send(Message message) {
            if (!connection.open || dropsMessages || isPartitioned(process, connection.otherEnd(this).process)) {
                return;
            }
            ConnectionEnd peer = connection.otherEnd(this);
            scheduleDelivery(() -> {
                if (!peer.closeDelivered) {
                    peer.process.run(() -> peer.listener.messageReceived(peer, message));
                }
            });
        }

        /** Schedules a delivery after the earlier ones; messages sent before the connection closed still arrive. */
        private void scheduleDelivery(Runnable arrival) {
            Duration delay = connection.fixedDelay == null ? randomLatency() : connection.fixedDelay;
            lastDeliveryNanos = Math.max(lastDeliveryNanos, clock.nanos() + delay.toNanos());
            clock.schedule(Duration.ofNanos(lastDeliveryNanos - clock.nanos()), arrival);
        }

        private void deliverClose() {
            if (!closeDelivered) {
                closeDelivered = true;
                listener.connectionClosed(this);
            }
        }

        @Override
        public void close() {
            if (!connection.open) {
                return;
            }
            connection.open = false;
            process.run(this::deliverClose);
            ConnectionEnd peer = connection.otherEnd(this);
            if (!dropsMessages) {
                scheduleDelivery(() -> peer.process.run(peer::deliverClose));
            }
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
    private final Map<Incarnation, Listener> listeners = new HashMap<>();
    private final List<FakeConnection> connections = new ArrayList<>();
    private final Set<String> partitions = new HashSet<>();
    private int endCounter;

    FakeNetwork(VirtualClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void listen(Incarnation address, FakeProcess process, ConnectionListener listener) {
        listeners.put(address, new Listener(process, listener));
    }

    EntryConnector connectorOf(FakeProcess process) {
        return (address, listener) -> {
            CompletableFuture<Connection> connected = new CompletableFuture<>();
            Listener target = listeners.get(address.incarnation());
            clock.schedule(
                    randomLatency().multipliedBy(2),
                    () -> process.run(() -> {
                        if (target == null || target.process().isDead() || isPartitioned(process, target.process())) {
                            connected.completeExceptionally(new IllegalStateException("connection refused"));
                            return;
                        }
                        FakeConnection connection = new FakeConnection(process, listener, target);
                        connections.add(connection);
                        connected.complete(connection.initiator);
                    }));
            return connected;
        };
    }

    /** Drops all messages between two processes until {@link #heal}; open connections stay open. */
    void partition(FakeProcess left, FakeProcess right) {
        partitions.add(pairKey(left, right));
    }

    void heal(FakeProcess left, FakeProcess right) {
        partitions.remove(pairKey(left, right));
    }

    /** Drops all messages on the open connections between two processes for good, in one or both directions. */
    void dropMessages(FakeProcess left, FakeProcess right, boolean bothDirections) {
        for (FakeConnection connection : connections) {
            if (connection.open && connection.connects(left, right)) {
                connection.initiator.dropsMessages = true;
                connection.acceptor.dropsMessages |= bothDirections;
            }
        }
    }

    /** Delays each message on the open connections between two processes. */
    void delayMessages(FakeProcess left, FakeProcess right, Duration delay) {
        for (FakeConnection connection : connections) {
            if (connection.open && connection.connects(left, right)) {
                connection.fixedDelay = delay;
            }
        }
    }

    /** Closes the connections of a dead process if {@code noticed}; otherwise they stay open and drop all messages. */
    void disconnect(FakeProcess process, boolean noticed) {
        for (FakeConnection connection : List.copyOf(connections)) {
            boolean involved = connection.initiator.process == process || connection.acceptor.process == process;
            if (!involved) {
                continue;
            }
            if (noticed) {
                connection.initiator.close();
            } else {
                connection.initiator.dropsMessages = true;
                connection.acceptor.dropsMessages = true;
            }
        }
        connections.removeIf(connection -> !connection.open);
    }

    private boolean isPartitioned(FakeProcess left, FakeProcess right) {
        return partitions.contains(pairKey(left, right));
    }

    private static String pairKey(FakeProcess left, FakeProcess right) {
        return left.name().compareTo(right.name()) < 0
                ? left.name() + "|" + right.name()
                : right.name() + "|" + left.name();
    }

    private Duration randomLatency() {
        int micros = MIN_LATENCY_MICROS + random.nextInt(MAX_LATENCY_MICROS - MIN_LATENCY_MICROS);
        return Duration.ofNanos(micros * 1000L);
    }
}
