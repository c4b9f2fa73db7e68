package org.gypsumflow.control;

import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RoutingTable;

/**
 * The newest routes and closures that a process knows, from the store or from another process. The control lane writes
 * it, any thread reads it; neither part ever goes back to an older version.
 */
public final class RoutingStateCache {
    private final EventLog events;
    private volatile ShareRoutingState known = new ShareRoutingState(RoutingTable.UNKNOWN, ClosedZones.NONE);

    private RoutingStateCache(EventLog events) {
        this.events = events;
    }

    /**
     * Creates the state of a process that knows nothing yet.
     *
     * @param events receives numbered events
     * @return the state
     */
    public static RoutingStateCache create(EventLog events) {
        return new RoutingStateCache(events);
    }

    /**
     * Returns what is known.
     *
     * @return routes and closures
     */
    public ShareRoutingState current() {
        return known;
    }

    /**
     * Takes what is newer than what is known; called on the control lane.
     *
     * @param offered routes and closures
     * @param source who offers them, for the log
     * @return true if something was newer
     */
    public boolean update(ShareRoutingState offered, String source) {
        boolean newerTable = offered.table().version() > known.table().version();
        boolean newerClosures =
                offered.closedZones().asOfOffset() > known.closedZones().asOfOffset();
        if (!newerTable && !newerClosures) {
            return false;
        }
        boolean changed = newerTable
                || !offered.closedZones().zones().equals(known.closedZones().zones());
        if (newerTable) {
            events.write(
                    Event.ROUTES_APPLIED,
                    offered.table().version(),
                    offered.table().routes().size(),
                    source);
        }
        if (newerClosures
                && !offered.closedZones().zones().equals(known.closedZones().zones())) {
            events.write(
                    Event.CLOSED_ZONES_APPLIED,
                    offered.closedZones().zones(),
                    offered.closedZones().asOfOffset(),
                    source);
        }
        known = new ShareRoutingState(
                newerTable ? offered.table() : known.table(),
                newerClosures ? offered.closedZones() : known.closedZones());
        return changed;
    }
}
