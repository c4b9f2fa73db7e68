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
 * Issues and validates tickets: idempotency keys that only this incarnation may start, so that they need no claim.
 *
 * <p>Thread-safe.
 */
final class TicketIssuer {
    private static final String PREFIX = "ticket:";

    /**
     * Content of an idempotency key that an entry issued.
     *
     * @param holder the only entry incarnation that may start the job
     * @param number sequence number within that incarnation
     * @param issuedAtMillis time of issue, in milliseconds since the epoch
     */
    record Ticket(Incarnation holder, long number, long issuedAtMillis) {
        String toKey() {
            return PREFIX + holder + ":" + number + ":" + issuedAtMillis;
        }
    }

    private record IssuedTicket(Caller caller, long issuedAtNanos) {}

    private final Incarnation self;
    private final TimeSource time;
    private final Duration lifetime;
    private final AtomicLong lastNumber = new AtomicLong();
    private final ConcurrentHashMap<Long, IssuedTicket> issuedTickets = new ConcurrentHashMap<>();

    private TicketIssuer(Incarnation self, TimeSource time, Duration lifetime) {
        this.self = self;
        this.time = time;
        this.lifetime = lifetime;
    }

    static TicketIssuer create(Incarnation self, TimeSource time, Duration lifetime) {
        return new TicketIssuer(self, time, lifetime);
    }

    /** Returns whether a key has the prefix of tickets; it may still be malformed. */
    static boolean isTicket(String key) {
        return key.startsWith(PREFIX);
    }

    /** Parses a key for which {@link #isTicket} is true; empty if it is malformed. */
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
        issuedTickets.values().removeIf(issuedTicket -> now - issuedTicket.issuedAtNanos() > lifetime.toNanos());
        List<String> keys = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            long number = lastNumber.incrementAndGet();
            issuedTickets.put(number, new IssuedTicket(caller, now));
            keys.add(new Ticket(self, number, time.currentTimeMillis()).toKey());
        }
        return keys;
    }

    /** Returns whether a ticket was issued by this incarnation to the caller and has not expired. */
    boolean isValid(Ticket ticket, Caller caller) {
        IssuedTicket issuedTicket = issuedTickets.get(ticket.number());
        return issuedTicket != null
                && issuedTicket.caller().equals(caller)
                && time.nanoTime() - issuedTicket.issuedAtNanos() <= lifetime.toNanos();
    }
}
