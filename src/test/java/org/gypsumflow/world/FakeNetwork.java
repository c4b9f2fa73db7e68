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

/** Connections between processes: in order while they live, silent or broken when told so. */
final class FakeNetwork {
    private static final int MOST_LATENCY_MICROS = 1500;
    private static final int LEAST_LATENCY_MICROS = 300;

    private record Listening(FakeProcess process, ConnectionListener listener) {}

    /** One connection; each end is a link. */
    private final class NetworkPath {
        private final End dialed;
        private final End accepted;
        private boolean open = true;
        private Duration slowed;

        private NetworkPath(FakeProcess from, ConnectionListener fromListener, Listening to) {
            this.dialed = new End(this, from, fromListener);
            this.accepted = new End(this, to.process(), to.listener());
        }

        private End other(End end) {
            return end.equals(dialed) ? accepted : dialed;
        }

        private boolean joins(FakeProcess left, FakeProcess right) {
            return (dialed.process == left && accepted.process == right)
                    || (dialed.process == right && accepted.process == left);
        }
    }

    private final class End implements Connection {
        private final NetworkPath connection;
        private final FakeProcess process;
        private final ConnectionListener listener;
        private final int number = endCounter++;
        private boolean silent;
        private boolean sawClose;
        private long lastArrivalNanos;

        private End(NetworkPath connection, FakeProcess process, ConnectionListener listener) {
            this.connection = connection;
            this.process = process;
            this.listener = listener;
        }

        @Override
        public void send(Message message) {
            if (!connection.open || silent || isCut(process, connection.other(this).process)) {
                return;
            }
            End peer = connection.other(this);
            arrive(() -> {
                if (!peer.sawClose) {
                    peer.process.run(() -> peer.listener.messageReceived(peer, message));
                }
            });
        }

        /** What was sent before the connection closed still arrives, and in order. */
        private void arrive(Runnable arrival) {
            Duration delay = connection.slowed == null ? latency() : connection.slowed;
            lastArrivalNanos = Math.max(lastArrivalNanos, clock.nanos() + delay.toNanos());
            clock.after(Duration.ofNanos(lastArrivalNanos - clock.nanos()), arrival);
        }

        private void seeClose() {
            if (!sawClose) {
                sawClose = true;
                listener.connectionClosed(this);
            }
        }

        @Override
        public void close() {
            if (!connection.open) {
                return;
            }
            connection.open = false;
            process.run(this::seeClose);
            End peer = connection.other(this);
            if (!silent) {
                arrive(() -> peer.process.run(peer::seeClose));
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
    private final Map<Incarnation, Listening> listening = new HashMap<>();
    private final List<NetworkPath> connections = new ArrayList<>();
    private final Set<String> cuts = new HashSet<>();
    private int endCounter;

    FakeNetwork(VirtualClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void listen(Incarnation address, FakeProcess process, ConnectionListener listener) {
        listening.put(address, new Listening(process, listener));
    }

    EntryConnector dialerOf(FakeProcess process) {
        return (address, listener) -> {
            CompletableFuture<Connection> dialed = new CompletableFuture<>();
            Listening target = listening.get(address.incarnation());
            clock.after(
                    latency().multipliedBy(2),
                    () -> process.run(() -> {
                        if (target == null || target.process().isDead() || isCut(process, target.process())) {
                            dialed.completeExceptionally(new IllegalStateException("connection refused"));
                            return;
                        }
                        NetworkPath connection = new NetworkPath(process, listener, target);
                        connections.add(connection);
                        dialed.complete(connection.dialed);
                    }));
            return dialed;
        };
    }

    /** Drops everything between two processes until healed; connections stay open and silent. */
    void cut(FakeProcess left, FakeProcess right) {
        cuts.add(pair(left, right));
    }

    void heal(FakeProcess left, FakeProcess right) {
        cuts.remove(pair(left, right));
    }

    /** Makes the present connections between two processes silent for good, in one or both directions. */
    void silence(FakeProcess left, FakeProcess right, boolean bothDirections) {
        for (NetworkPath connection : connections) {
            if (connection.open && connection.joins(left, right)) {
                connection.dialed.silent = true;
                connection.accepted.silent |= bothDirections;
            }
        }
    }

    /** Lets what is sent on the present connections between two processes arrive late. */
    void slow(FakeProcess left, FakeProcess right, Duration delay) {
        for (NetworkPath connection : connections) {
            if (connection.open && connection.joins(left, right)) {
                connection.slowed = delay;
            }
        }
    }

    /** Ends the connections of a dead process; {@code noticed} says whether the others hear of it. */
    void dropAll(FakeProcess process, boolean noticed) {
        for (NetworkPath connection : List.copyOf(connections)) {
            boolean concerned = connection.dialed.process == process || connection.accepted.process == process;
            if (!concerned) {
                continue;
            }
            if (noticed) {
                connection.dialed.close();
            } else {
                connection.dialed.silent = true;
                connection.accepted.silent = true;
            }
        }
        connections.removeIf(connection -> !connection.open);
    }

    private boolean isCut(FakeProcess left, FakeProcess right) {
        return cuts.contains(pair(left, right));
    }

    private static String pair(FakeProcess left, FakeProcess right) {
        return left.name().compareTo(right.name()) < 0
                ? left.name() + "|" + right.name()
                : right.name() + "|" + left.name();
    }

    private Duration latency() {
        int micros = LEAST_LATENCY_MICROS + random.nextInt(MOST_LATENCY_MICROS - LEAST_LATENCY_MICROS);
        return Duration.ofNanos(micros * 1000L);
    }
}
