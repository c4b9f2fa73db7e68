package org.gypsumflow.daemon;

import java.util.List;
import org.gypsumflow.command.ClaimRecord;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.log.PlatformLog;
import org.gypsumflow.log.TypedLog;
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
     * @return the typed stream
     */
    public static TypedLog<OperationRecord> operations(PlatformLog log) {
        return TypedLog.of(log, StreamName.OPERATIONS, OperationCodec::encode, OperationCodec::decode);
    }

    /**
     * Opens the members stream, which holds the announcements of entries.
     *
     * @param log the platform's log
     * @return the typed stream
     */
    public static TypedLog<MemberRecord> members(PlatformLog log) {
        return TypedLog.of(log, StreamName.MEMBERS, RecordCodec::encodeMember, RecordCodec::decodeMember);
    }

    /**
     * Opens a claim stream, which holds batches of claims.
     *
     * @param log the platform's log
     * @param stream name of the claim stream
     * @return the typed stream
     */
    public static TypedLog<List<ClaimRecord>> claims(PlatformLog log, StreamName stream) {
        return TypedLog.of(log, stream, RecordCodec::encodeClaims, RecordCodec::decodeClaims);
    }
}
