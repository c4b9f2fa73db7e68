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

/** Puts types on the streams of the platform's log. */
public final class LogStreams {
    private LogStreams() {}

    /**
     * Opens the operations stream: plans, confirmations, steps, snapshots.
     *
     * @param log the log
     * @return the typed stream
     */
    public static TypedLog<OperationRecord> operations(PlatformLog log) {
        return TypedLog.of(log, StreamName.OPERATIONS, OperationCodec::encode, OperationCodec::decode);
    }

    /**
     * Opens the members stream: announcements of entries.
     *
     * @param log the log
     * @return the typed stream
     */
    public static TypedLog<MemberRecord> members(PlatformLog log) {
        return TypedLog.of(log, StreamName.MEMBERS, RecordCodec::encodeMember, RecordCodec::decodeMember);
    }

    /**
     * Opens a claim stream.
     *
     * @param log the log
     * @param stream which one
     * @return the typed stream
     */
    public static TypedLog<List<ClaimRecord>> claims(PlatformLog log, StreamName stream) {
        return TypedLog.of(log, stream, RecordCodec::encodeClaims, RecordCodec::decodeClaims);
    }
}
