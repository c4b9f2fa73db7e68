package org.gypsumflow.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Incarnation;

/**
 * Computes which entries are in service from the records of the members stream.
 *
 * <p>The age of an announcement is measured by the log's clock, so no entry expires while the log is unavailable. Not
 * thread-safe.
 */
public final class Membership {
    private record Announced(EntryAddress entry, long announcedAtMillis) {}

    private final long expiryMillis;
    private final Map<Incarnation, Announced> announcedEntries = new HashMap<>();
    private long nextOffset;
    private long latestLoggedAtMillis;

    private Membership(Duration expiry) {
        this.expiryMillis = expiry.toMillis();
    }

    /**
     * Creates a membership without entries.
     *
     * @param expiry how long after its last announcement an entry is still in service, by the log's clock
     * @return an empty membership
     */
    public static Membership create(Duration expiry) {
        return new Membership(expiry);
    }

    /**
     * Returns the offset from which the stream must be read next.
     *
     * @return offset of the first record not yet applied
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Applies one record; an offset that was applied before is ignored.
     *
     * <p>The record replaces the earlier announcement of an entry with the same name, whatever its incarnation. A
     * draining entry is removed.
     *
     * @param offset offset of the record in the stream
     * @param loggedAtMillis when the log stored the record, in milliseconds of the log's clock
     * @param announcement the record
     */
    public void apply(long offset, long loggedAtMillis, MemberRecord announcement) {
        if (offset < nextOffset) {
            return;
        }
        nextOffset = offset + 1;
        latestLoggedAtMillis = Math.max(latestLoggedAtMillis, loggedAtMillis);
        EntryAddress entry = announcement.entry();
        announcedEntries.values().removeIf(announced -> announced.entry().name().equals(entry.name()));
        if (!announcement.draining()) {
            announcedEntries.put(entry.incarnation(), new Announced(entry, loggedAtMillis));
        }
        announcedEntries
                .values()
                .removeIf(announced -> announced.announcedAtMillis() + expiryMillis < latestLoggedAtMillis);
    }

    /**
     * Skips records that cannot be decoded.
     *
     * @param offset offset of the next record to read; ignored if it is before {@link #nextOffset}
     */
    public void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Adds an entry that a peer reported to be in service; an announcement in the log replaces it.
     *
     * @param entry address of the entry; ignored if an entry with the same name is known
     */
    public void addFromPeer(EntryAddress entry) {
        boolean nameIsKnown = announcedEntries.values().stream()
                .anyMatch(announced -> announced.entry().name().equals(entry.name()));
        if (!nameIsKnown) {
            announcedEntries.put(entry.incarnation(), new Announced(entry, latestLoggedAtMillis));
        }
    }

    /**
     * Lists the entries that are in service.
     *
     * @return their addresses, by name
     */
    public List<EntryAddress> entriesInService() {
        return announcedEntries.values().stream()
                .map(Announced::entry)
                .sorted((left, right) -> left.name().compareTo(right.name()))
                .toList();
    }

    /**
     * Returns whether the unreachable entries are a majority.
     *
     * <p>Such a majority may keep working without this entry while the log is unavailable.
     *
     * @param reachable number of reachable entries, including this one
     * @return true if more than half of the entries in service are unreachable
     */
    public boolean isPartitioned(int reachable) {
        int total = Math.max(announcedEntries.size(), 1);
        return total - Math.min(reachable, total) >= total / 2 + 1;
    }
}
