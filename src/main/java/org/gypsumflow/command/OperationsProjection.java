package org.gypsumflow.command;

import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.command.OperationRecord.StateSnapshot;

/**
 * Builds the operations state from the operations stream, even if the log has deleted records before they were read.
 *
 * <p>After such a gap, records are buffered and not applied until a snapshot covers the gap, so that no accepted change
 * is lost unnoticed. Not thread-safe.
 */
public final class OperationsProjection {
    private record BufferedRecord(long offset, OperationRecord operation) {}

    private final List<BufferedRecord> buffered = new ArrayList<>();
    private OperationsState state = OperationsState.EMPTY;
    private long nextOffset;
    private long snapshotLoggedAtMillis;
    private boolean hasGap;

    private OperationsProjection() {}

    /**
     * Creates a projection to which no record has been applied.
     *
     * @return a projection in the initial state
     */
    public static OperationsProjection create() {
        return new OperationsProjection();
    }

    /**
     * Returns the offset from which the stream must be read next.
     *
     * @return offset of the first record not yet applied or buffered
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the state that results from the applied records.
     *
     * @return the state; out of date while {@link #hasGap} returns true
     */
    public OperationsState state() {
        return state;
    }

    /**
     * Returns whether the log has deleted records before they were read, and no snapshot has covered them yet.
     *
     * @return true if the state must not be relied on
     */
    public boolean hasGap() {
        return hasGap;
    }

    /**
     * Skips records that the log has deleted; records that were not read leave a gap until a snapshot covers it.
     *
     * @param firstOffset oldest offset that the log retains
     */
    public void skipTruncated(long firstOffset) {
        if (firstOffset <= nextOffset) {
            return;
        }
        hasGap = true;
        buffered.clear();
        nextOffset = firstOffset;
    }

    /**
     * Skips records that cannot be decoded; every reader skips them, so they leave no gap.
     *
     * @param offset offset of the next record to read; ignored if it is before {@link #nextOffset}
     */
    public void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Returns when the log stored the last snapshot that was read.
     *
     * @return time by the log's clock, in milliseconds since the epoch; 0 if no snapshot was read
     */
    public long snapshotLoggedAtMillis() {
        return snapshotLoggedAtMillis;
    }

    /**
     * Applies the next record of the stream, or buffers it during a gap.
     *
     * @param offset offset of the record in the stream; the record is ignored if it is before {@link #nextOffset}
     * @param loggedAtMillis when the log stored the record, in milliseconds of the log's clock
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
        if (!hasGap) {
            state = state.apply(offset, operation);
            return;
        }
        buffered.add(new BufferedRecord(offset, operation));
        if (operation instanceof StateSnapshot snapshot
                && snapshot.state().nextOffset() >= buffered.get(0).offset()) {
            closeGap(snapshot);
        }
    }

    private void closeGap(StateSnapshot snapshot) {
        state = state.installSnapshot(snapshot);
        buffered.forEach(bufferedRecord -> state = state.apply(bufferedRecord.offset(), bufferedRecord.operation()));
        buffered.clear();
        hasGap = false;
    }
}
