package org.gypsumflow.wire;

import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.EntryName;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class RecordCodecTest {
    private static final byte START_OF_A_GROUP = 0x0B;

    @DataProvider
    public Object[][] bodiesThatAreNotRecords() {
        byte[] nested = new byte[100_000];
        Arrays.fill(nested, START_OF_A_GROUP);
        byte[] numberTooLarge = new byte[12];
        Arrays.fill(numberTooLarge, (byte) 0xFF);
        return new Object[][] {
            {nested}, {numberTooLarge}, {"{\"node\":\"text\"}".getBytes(StandardCharsets.UTF_8)},
        };
    }

    // Guards against an error other than a rejection: another writer left an odd record in a stream.
    @Test(dataProvider = "bodiesThatAreNotRecords")
    public void aBodyThatIsNotARecordOfTheMembersStreamIsRejected(byte[] body) {
        assertThrows(IllegalArgumentException.class, () -> RecordCodec.decodeMember(body));
    }

    @Test(dataProvider = "bodiesThatAreNotRecords")
    public void aBodyThatIsNotARecordOfAClaimStreamIsRejected(byte[] body) {
        assertThrows(IllegalArgumentException.class, () -> RecordCodec.decodeClaims(body));
    }

    @Test(dataProvider = "bodiesThatAreNotRecords")
    public void aBodyThatIsNotARecordOfTheOperationsStreamIsRejected(byte[] body) {
        assertThrows(IllegalArgumentException.class, () -> OperationCodec.decode(body));
    }

    // Guards against a process that ends at the attempt to connect: the port of an announcement was out of range.
    @Test
    public void anAnnouncementWithAPortOutOfRangeIsRejected() {
        byte[] body = RecordCodec.encodeMember(new MemberRecord(
                EntryAddress.of(
                        EntryName.of("entry"), Incarnation.random(), AvailabilityZone.of("sofia"), "127.0.0.1", 70_000),
                false));
        assertThrows(ValidationException.class, () -> RecordCodec.decodeMember(body));
    }
}
