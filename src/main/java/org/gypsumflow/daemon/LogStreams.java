package org.gypsumflow.daemon;

import java.util.List;
import org.gypsumflow.command.ClaimRecord;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.log.PlatformLog;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.log.TypedLog.UndecodableRecordListener;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.StreamName;
import org.gypsumflow.wire.OperationCodec;
import org.gypsumflow.wire.RecordCodec;

/** Opens the streams of the platform's log with the codecs of their record types. */
public final class LogStreams {
    private LogStreams() {}

    /**
     * Opens the operations stream, which holds plans, confirmations, steps and snapshots.
     *
     * @param log the platform's log
     * @param events receives an event for each record that cannot be decoded
     * @return the typed stream
     */
    public static TypedLog<OperationRecord> operations(PlatformLog log, EventLog events) {
        return TypedLog.of(log, StreamName.OPERATIONS, OperationCodec::encode, OperationCodec::decode, skipped(events));
    }

    /**
     * Opens the members stream, which holds the announcements of entries.
     *
     * @param log the platform's log
     * @param events receives an event for each record that cannot be decoded
     * @return the typed stream
     */
    public static TypedLog<MemberRecord> members(PlatformLog log, EventLog events) {
        return TypedLog.of(
                log, StreamName.MEMBERS, RecordCodec::encodeMember, RecordCodec::decodeMember, skipped(events));
    }

    /**
     * Opens a claim stream, which holds batches of claims.
     *
     * @param log the platform's log
     * @param stream name of the claim stream
     * @param events receives an event for each record that cannot be decoded
     * @return the typed stream
     */
    public static TypedLog<List<ClaimRecord>> claims(PlatformLog log, StreamName stream, EventLog events) {
        return TypedLog.of(log, stream, RecordCodec::encodeClaims, RecordCodec::decodeClaims, skipped(events));
    }

    private static UndecodableRecordListener skipped(EventLog events) {
        return (stream, offset, failure) -> events.write(
                Event.MESSAGE_UNREADABLE, "record " + offset + " of stream " + stream, failure.getMessage());
    }
}
