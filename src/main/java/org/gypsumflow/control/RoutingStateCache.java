package org.gypsumflow.control;

import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RoutingTable;

/**
 * Cache of the newest routing table and closed zones that a process has received, from the store or from another
 * process.
 *
 * <p>Only the control thread writes it; any thread may read it. Neither part is ever replaced by an older version.
 */
public final class RoutingStateCache {
    private final EventLog events;
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
        boolean changed = newerTable
                || !candidate.closedZones().zones().equals(current.closedZones().zones());
        if (newerTable) {
            events.write(
                    Event.ROUTES_APPLIED,
                    candidate.table().version(),
                    candidate.table().routes().size(),
                    source);
        }
        if (newerClosedZones
                && !candidate.closedZones().zones().equals(current.closedZones().zones())) {
            events.write(
                    Event.CLOSED_ZONES_APPLIED,
                    candidate.closedZones().zones(),
                    candidate.closedZones().asOfOffset(),
                    source);
        }
        current = new ShareRoutingState(
                newerTable ? candidate.table() : current.table(),
                newerClosedZones ? candidate.closedZones() : current.closedZones());
        return changed;
    }
}
