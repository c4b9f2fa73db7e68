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

/** Translates records of the claim and members streams to and from bytes. */
public final class RecordCodec {
    private RecordCodec() {}

    /**
     * Encodes claims that are appended together.
     *
     * @param claims the claims, in order
     * @return the bytes of one record
     */
    public static byte[] encodeClaims(List<ClaimRecord> claims) {
        ClaimBatch.Builder batch = ClaimBatch.newBuilder();
        claims.forEach(claim -> batch.addClaims(encode(claim)));
        return batch.build().toByteArray();
    }

    /**
     * Decodes claims.
     *
     * @param bytes the bytes of one record
     * @return the claims, in order
     * @throws IllegalArgumentException if the bytes are damaged
     */
    public static List<ClaimRecord> decodeClaims(byte[] bytes) {
        try {
            return ClaimBatch.parseFrom(bytes).getClaimsList().stream()
                    .map(RecordCodec::decode)
                    .toList();
        } catch (InvalidProtocolBufferException damaged) {
            throw new IllegalArgumentException("a record of a claim stream is damaged", damaged);
        }
    }

    /**
     * Encodes an announcement.
     *
     * @param member the announcement
     * @return the bytes of one record
     */
    public static byte[] encodeMember(MemberRecord member) {
        return MemberPart.newBuilder()
                .setEntry(ValueCodec.encode(member.entry()))
                .setLeaving(member.draining())
                .build()
                .toByteArray();
    }

    /**
     * Decodes an announcement.
     *
     * @param bytes the bytes of one record
     * @return the announcement
     * @throws IllegalArgumentException if the bytes are damaged
     */
    public static MemberRecord decodeMember(byte[] bytes) {
        try {
            MemberPart part = MemberPart.parseFrom(bytes);
            return new MemberRecord(ValueCodec.decode(part.getEntry()), part.getLeaving());
        } catch (InvalidProtocolBufferException damaged) {
            throw new IllegalArgumentException("a record of the members stream is damaged", damaged);
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
