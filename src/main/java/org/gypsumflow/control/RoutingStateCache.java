package org.gypsumflow.control;

import java.time.Duration;
import java.util.OptionalLong;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RoutingTable;

/**
 * Cache of the newest routing table and closed zones that a process has received, from the store or from another
 * process.
 *
 * <p>Only the control thread changes the state; any thread may read and confirm it. Neither part is ever replaced by an
 * older version.
 */
public final class RoutingStateCache {
    /**
     * Time since a read was requested for which it confirms the routing state. A process that follows the records requests
     * a read at most {@link CompactedLogConsumer#MAX_READ_WAIT} and a response after the one before, and has its result as
     * long after that.
     */
    static final Duration READ_VALIDITY = Duration.ofMillis(2200);

    private final EventLog events;
    private OptionalLong readNanos = OptionalLong.empty();
    private OptionalLong confirmedByMemberNanos = OptionalLong.empty();
    private volatile ShareRoutingState current = new ShareRoutingState(RoutingTable.UNKNOWN, ClosedZones.NONE);

    private RoutingStateCache(EventLog events) {
        this.events = events;
    }

    /**
     * Creates an empty cache, with the unknown routing table and no closed zones.
     *
     * @param events receives an event when a newer routing table or set of closed zones is applied
     * @return the cache
     */
    public static RoutingStateCache create(EventLog events) {
        return new RoutingStateCache(events);
    }

    /**
     * Returns the newest routing state received so far.
     *
     * @return routing table and closed zones
     */
    public ShareRoutingState current() {
        return current;
    }

    /**
     * Records that the routing state contains all records of the operator that were stored before a read.
     *
     * @param requestedNanos monotonic time at which the read was requested, in nanoseconds
     */
    public synchronized void confirmRead(long requestedNanos) {
        readNanos = later(readNanos, requestedNanos);
    }

    /**
     * Records that another process has confirmed the routing state. Such a process sends its own as soon as that changes.
     *
     * @param nanos monotonic time of this process after which it did so, in nanoseconds
     */
    synchronized void confirmByMember(long nanos) {
        confirmedByMemberNanos = later(confirmedByMemberNanos, nanos);
    }

    /**
     * Returns whether the routing state is known to have been the newest a moment ago.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return false while no read succeeds and no other process confirms it
     */
    synchronized boolean isConfirmed(long nowNanos) {
        return isWithin(READ_VALIDITY, readNanos, nowNanos) || isConfirmedByMember(nowNanos);
    }

    /**
     * Returns whether another process has confirmed the routing state a moment ago.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return false while no process in contact confirms it
     */
    synchronized boolean isConfirmedByMember(long nowNanos) {
        return isWithin(BestEffortTimings.CONFIRMED_CONTACT_LIMIT, confirmedByMemberNanos, nowNanos);
    }

    private static OptionalLong later(OptionalLong known, long nanos) {
        return known.isPresent() && nanos - known.getAsLong() <= 0 ? known : OptionalLong.of(nanos);
    }

    private static boolean isWithin(Duration validity, OptionalLong sinceNanos, long nowNanos) {
        return sinceNanos.isPresent() && nowNanos - sinceNanos.getAsLong() <= validity.toNanos();
    }

    /**
     * Applies the parts of a routing state that are newer than the cached ones; called on the control thread.
     *
     * @param candidate received routing table and closed zones
     * @param source where the state was received from, for the event log
     * @return true if the routing table was replaced or the set of closed zones changed; false if only the offset of
     *     the closed zones advanced
     */
    public boolean update(ShareRoutingState candidate, String source) {
        boolean newerTable = candidate.table().version() > current.table().version();
        boolean newerClosedZones =
                candidate.closedZones().asOfOffset() > current.closedZones().asOfOffset();
        if (!newerTable && !newerClosedZones) {
            return false;
        }
        ShareRoutingState previous = current;
        current = new ShareRoutingState(
                newerTable ? candidate.table() : previous.table(),
                newerClosedZones ? candidate.closedZones() : previous.closedZones());
        boolean zonesChanged =
                !current.closedZones().zones().equals(previous.closedZones().zones());
        if (newerTable) {
            events.write(
                    Event.ROUTES_APPLIED,
                    candidate.table().version(),
                    candidate.table().routes().size(),
                    source);
        }
        if (zonesChanged) {
            events.write(
                    Event.CLOSED_ZONES_APPLIED,
                    candidate.closedZones().zones(),
                    candidate.closedZones().asOfOffset(),
                    source);
        }
        return newerTable || zonesChanged;
    }
}
