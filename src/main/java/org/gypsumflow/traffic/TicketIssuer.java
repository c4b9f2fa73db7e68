package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.Incarnation;

/**
 * Makes idempotency keys that only this incarnation may ever start, so that they need no claim in the log.
 *
 * <p>Safe for use by several threads.
 */
final class TicketIssuer {
    private static final String PREFIX = "ticket:";

    /**
     * A key made by an entry.
     *
     * @param holder entry incarnation that alone may start it
     * @param number counter of that incarnation
     * @param issuedAtMillis when it was made, in milliseconds since the epoch
     */
    record Ticket(Incarnation holder, long number, long issuedAtMillis) {
        String toKey() {
            return PREFIX + holder + ":" + number + ":" + issuedAtMillis;
        }
    }

    private record Minted(Caller caller, long madeAtNanos) {}

    private final Incarnation self;
    private final TimeSource time;
    private final Duration life;
    private final AtomicLong counter = new AtomicLong();
    private final ConcurrentHashMap<Long, Minted> minted = new ConcurrentHashMap<>();

    private TicketIssuer(Incarnation self, TimeSource time, Duration life) {
        this.self = self;
        this.time = time;
        this.life = life;
    }

    static TicketIssuer create(Incarnation self, TimeSource time, Duration life) {
        return new TicketIssuer(self, time, life);
    }

    /** Tells whether a key claims to be a ticket. */
    static boolean isTicket(String key) {
        return key.startsWith(PREFIX);
    }

    /** Reads a key that {@link #isTicket}. */
    static Optional<Ticket> parse(String key) {
        String[] parts = key.substring(PREFIX.length()).split(":", -1);
        if (parts.length != 3) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new Ticket(Incarnation.of(parts[0]), Long.parseLong(parts[1]), Long.parseLong(parts[2])));
        } catch (RuntimeException malformed) {
            return Optional.empty();
        }
    }

    List<String> issue(Caller caller, int count) {
        long now = time.nanoTime();
        minted.values().removeIf(each -> now - each.madeAtNanos() > life.toNanos());
        List<String> keys = new ArrayList<>();
        for (int made = 0; made < count; made++) {
            long number = counter.incrementAndGet();
            minted.put(number, new Minted(caller, now));
            keys.add(new Ticket(self, number, time.currentTimeMillis()).toKey());
        }
        return keys;
    }

    /** Tells whether a ticket of this incarnation may still be started. */
    boolean isValid(Ticket ticket, Caller caller) {
        Minted known = minted.get(ticket.number());
        return known != null
                && known.caller().equals(caller)
                && time.nanoTime() - known.madeAtNanos() <= life.toNanos();
    }
}
