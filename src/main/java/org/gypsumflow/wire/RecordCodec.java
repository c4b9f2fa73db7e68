package org.gypsumflow.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.gypsumflow.command.ClaimRecord;
import org.gypsumflow.command.ClaimRecord.Claimed;
import org.gypsumflow.command.ClaimRecord.Released;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.wire.generated.ClaimBatch;
import org.gypsumflow.wire.generated.ClaimPart;
import org.gypsumflow.wire.generated.MemberPart;

/** Converts records of the claim streams and of the members stream to and from protobuf. */
public final class RecordCodec {
    private RecordCodec() {}

    /**
     * Encodes claims and releases that are appended together.
     *
     * @param claims claims and releases in order
     * @return the body of one record
     */
    public static byte[] encodeClaims(List<ClaimRecord> claims) {
        ClaimBatch.Builder batch = ClaimBatch.newBuilder();
        claims.forEach(claim -> batch.addClaims(encode(claim)));
        return batch.build().toByteArray();
    }

    /**
     * Decodes claims and releases.
     *
     * @param body body of one record of a claim stream
     * @return the claims and releases in order
     * @throws IllegalArgumentException if the body is not valid protobuf
     */
    public static List<ClaimRecord> decodeClaims(byte[] body) {
        try {
            return ClaimBatch.parseFrom(body).getClaimsList().stream()
                    .map(RecordCodec::decode)
                    .toList();
        } catch (InvalidProtocolBufferException invalid) {
            throw new IllegalArgumentException("a record of a claim stream is not valid protobuf", invalid);
        }
    }

    /**
     * Encodes the announcement of an entry.
     *
     * @param member the announcement
     * @return the body of one record
     */
    public static byte[] encodeMember(MemberRecord member) {
        return MemberPart.newBuilder()
                .setEntry(ValueCodec.encode(member.entry()))
                .setLeaving(member.draining())
                .build()
                .toByteArray();
    }

    /**
     * Decodes the announcement of an entry.
     *
     * @param body body of one record of the members stream
     * @return the announcement
     * @throws IllegalArgumentException if the body is not valid protobuf
     */
    public static MemberRecord decodeMember(byte[] body) {
        try {
            MemberPart part = MemberPart.parseFrom(body);
            return new MemberRecord(ValueCodec.decode(part.getEntry()), part.getLeaving());
        } catch (InvalidProtocolBufferException invalid) {
            throw new IllegalArgumentException("a record of the members stream is not valid protobuf", invalid);
        }
    }

    private static ClaimPart encode(ClaimRecord claimRecord) {
        ClaimPart.Builder part = ClaimPart.newBuilder()
                .setSubmission(ValueCodec.encode(claimRecord.submission()))
                .setNonceHigh(claimRecord.nonce().high())
                .setNonceLow(claimRecord.nonce().low());
        if (claimRecord instanceof Claimed claim) {
            part.setFingerprint(claim.fingerprint())
                    .setSize(claim.taskCount())
                    .setHolder(claim.holder().value());
        } else {
            part.setReleased(true);
        }
        return part.build();
    }

    private static ClaimRecord decode(ClaimPart part) {
        ClaimNonce nonce = ClaimNonce.of(part.getNonceHigh(), part.getNonceLow());
        if (part.getReleased()) {
            return new Released(ValueCodec.decode(part.getSubmission()), nonce);
        }
        return new Claimed(
                ValueCodec.decode(part.getSubmission()),
                part.getFingerprint(),
                part.getSize(),
                Incarnation.of(part.getHolder()),
                nonce);
    }
}
