package org.gypsumflow.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Incarnation;

/**
 * Folds the members stream into the entries that count as in service.
 *
 * <p>Age is counted on the log's clock, so nobody expires while the log is out. Not safe for use by several threads.
 */
public final class Membership {
    private record Known(EntryAddress entry, long announcedAtMillis) {}

    private final long expiryMillis;
    private final Map<Incarnation, Known> known = new HashMap<>();
    private long nextOffset;
    private long newestMillis;

    private Membership(Duration expiry) {
        this.expiryMillis = expiry.toMillis();
    }

    /**
     * Creates a membership without entries.
     *
     * @param expiry how long after its last announcement an entry still counts
     * @return the membership
     */
    public static Membership create(Duration expiry) {
        return new Membership(expiry);
    }

    /**
     * Returns the offset to read from.
     *
     * @return the offset of the first record not yet folded
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Folds one record.
     *
     * @param offset offset of the record
     * @param loggedAtMillis the log's clock when it took the record
     * @param member the record
     */
    public void apply(long offset, long loggedAtMillis, MemberRecord member) {
        if (offset < nextOffset) {
            return;
        }
        nextOffset = offset + 1;
        newestMillis = Math.max(newestMillis, loggedAtMillis);
        EntryAddress entry = member.entry();
        known.values().removeIf(each -> each.entry().name().equals(entry.name()));
        if (!member.draining()) {
            known.put(entry.incarnation(), new Known(entry, loggedAtMillis));
        }
        known.values().removeIf(each -> each.announcedAtMillis() + expiryMillis < newestMillis);
    }

    /**
     * Adds an entry that another entry told of; an announcement in the log overrides it.
     *
     * @param entry the entry
     */
    public void addFromPeer(EntryAddress entry) {
        boolean nameIsKnown =
                known.values().stream().anyMatch(each -> each.entry().name().equals(entry.name()));
        if (!nameIsKnown) {
            known.put(entry.incarnation(), new Known(entry, newestMillis));
        }
    }

    /**
     * Lists the entries in service.
     *
     * @return their addresses
     */
    public List<EntryAddress> entriesInService() {
        return known.values().stream()
                .map(Known::entry)
                .sorted((left, right) -> left.name().compareTo(right.name()))
                .toList();
    }

    /**
     * Tells whether so many entries are out of reach that they could go on without this one while the log is out.
     *
     * @param reachable number of entries in reach, this one among them
     * @return true if the unreachable ones may be a majority
     */
    public boolean isPartitioned(int reachable) {
        int total = Math.max(known.size(), 1);
        return total - Math.min(reachable, total) >= total / 2 + 1;
    }
}
