package org.gypsumflow.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.wire.generated.MemberOfSystem;

/** Translates the addresses of processes, as they are kept in the store, to and from protobuf. */
public final class MemberCodec {
    private MemberCodec() {}

    /**
     * Encodes an address.
     *
     * @param member the process
     * @return its record
     */
    public static byte[] encode(Member member) {
        return BestEffortCodec.encode(member).toByteArray();
    }

    /**
     * Decodes an address.
     *
     * @param record the record
     * @return the process
     * @throws ValidationException if the record is damaged
     */
    public static Member decode(byte[] record) {
        try {
            return BestEffortCodec.decode(MemberOfSystem.parseFrom(record));
        } catch (InvalidProtocolBufferException damaged) {
            throw ValidationException.of("member", "the record is damaged");
        }
    }
}
