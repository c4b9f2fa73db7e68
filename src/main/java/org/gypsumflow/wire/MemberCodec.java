package org.gypsumflow.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.wire.generated.MemberOfSystem;

/** Converts members, as they are kept in the store, to and from protobuf. */
public final class MemberCodec {
    private MemberCodec() {}

    /**
     * Encodes a member.
     *
     * @param member a process of the system with its address
     * @return the value of its record in the store
     */
    public static byte[] encode(Member member) {
        return BestEffortCodec.encode(member).toByteArray();
    }

    /**
     * Decodes a member.
     *
     * @param record value of a record in the store
     * @return the member
     * @throws ValidationException if the record is not a member in protobuf, or a field is out of bounds
     */
    public static Member decode(byte[] record) {
        try {
            return BestEffortCodec.decode(MemberOfSystem.parseFrom(record));
        } catch (InvalidProtocolBufferException invalid) {
            throw ValidationException.of("member", "the record is not valid protobuf");
        }
    }
}
