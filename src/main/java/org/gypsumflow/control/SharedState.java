package org.gypsumflow.control;

import org.gypsumflow.model.DispatchMessage.Closures;
import org.gypsumflow.model.DispatchMessage.ShareState;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RoutingTable;

/**
 * The newest routes and closures that a process knows, from the store or from another process. The control lane writes
 * it, any thread reads it; neither part ever goes back to an older version.
 */
public final class SharedState {
    private final EventLog events;
    private volatile ShareState known = new ShareState(RoutingTable.UNKNOWN, Closures.NONE);

    private SharedState(EventLog events) {
        this.events = events;
    }

    /**
     * Creates the state of a process that knows nothing yet.
     *
     * @param events receives numbered events
     * @return the state
     */
    public static SharedState create(EventLog events) {
        return new SharedState(events);
    }

    /**
     * Returns what is known.
     *
     * @return routes and closures
     */
    public ShareState known() {
        return known;
    }

    /**
     * Takes what is newer than what is known; called on the control lane.
     *
     * @param offered routes and closures
     * @param source who offers them, for the log
     * @return true if something was newer
     */
    public boolean offer(ShareState offered, String source) {
        boolean newerTable = offered.table().version() > known.table().version();
        boolean newerClosures = offered.closures().asOf() > known.closures().asOf();
        if (!newerTable && !newerClosures) {
            return false;
        }
        boolean changed = newerTable
                || !offered.closures().zones().equals(known.closures().zones());
        if (newerTable) {
            events.write(
                    Event.ROUTES_IN_FORCE,
                    offered.table().version(),
                    offered.table().routes().size(),
                    source);
        }
        if (newerClosures && !offered.closures().zones().equals(known.closures().zones())) {
            events.write(
                    Event.CLOSURES_IN_FORCE,
                    offered.closures().zones(),
                    offered.closures().asOf(),
                    source);
        }
        known = new ShareState(
                newerTable ? offered.table() : known.table(), newerClosures ? offered.closures() : known.closures());
        return changed;
    }
}
