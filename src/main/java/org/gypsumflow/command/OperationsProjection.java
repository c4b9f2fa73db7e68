package org.gypsumflow.command;

import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.command.OperationRecord.StateSnapshot;

/**
 * Follows the operations stream, also when its oldest records have expired.
 *
 * <p>After a gap nothing is folded until a snapshot covers it, so that an accepted change is never lost unnoticed. Not
 * safe for use by several threads.
 */
public final class OperationsProjection {
    private record Held(long offset, OperationRecord operation) {}

    private final List<Held> held = new ArrayList<>();
    private OperationsState state = OperationsState.EMPTY;
    private long nextOffset;
    private long snapshotLoggedAtMillis;
    private boolean gap;

    private OperationsProjection() {}

    /**
     * Creates a follower that has read nothing.
     *
     * @return the follower
     */
    public static OperationsProjection create() {
        return new OperationsProjection();
    }

    /**
     * Returns the offset to read from.
     *
     * @return the offset of the first record not yet seen
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns what the records seen so far say.
     *
     * @return the state
     */
    public OperationsState state() {
        return state;
    }

    /**
     * Tells whether records are missing that no snapshot has covered.
     *
     * @return true if the state must not be trusted
     */
    public boolean hasGap() {
        return gap;
    }

    /**
     * Notes the oldest offset that the log still keeps.
     *
     * @param firstOffset the offset
     */
    public void skipTruncated(long firstOffset) {
        if (firstOffset <= nextOffset) {
            return;
        }
        gap = true;
        held.clear();
        nextOffset = firstOffset;
    }

    /**
     * Returns when the state was last repeated in the stream.
     *
     * @return the log's clock, in milliseconds since the epoch; 0 if no snapshot was seen
     */
    public long snapshotLoggedAtMillis() {
        return snapshotLoggedAtMillis;
    }

    /**
     * Takes the next record of the stream.
     *
     * @param offset its offset
     * @param loggedAtMillis the log's clock when it took the record
     * @param operation the record
     */
    public void apply(long offset, long loggedAtMillis, OperationRecord operation) {
        if (offset < nextOffset) {
            return;
        }
        nextOffset = offset + 1;
        if (operation instanceof StateSnapshot) {
            snapshotLoggedAtMillis = loggedAtMillis;
        }
        if (!gap) {
            state = state.apply(offset, operation);
            return;
        }
        held.add(new Held(offset, operation));
        if (operation instanceof StateSnapshot snapshot
                && snapshot.state().nextOffset() >= held.get(0).offset()) {
            closeGap(snapshot);
        }
    }

    private void closeGap(StateSnapshot snapshot) {
        state = state.installSnapshot(snapshot);
        held.forEach(each -> state = state.apply(each.offset(), each.operation()));
        held.clear();
        gap = false;
    }
}
