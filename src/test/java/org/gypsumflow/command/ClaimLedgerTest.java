package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.gypsumflow.command.ClaimRecord.Claimed;
import org.gypsumflow.command.ClaimRecord.Released;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.SubmissionDigest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ClaimLedgerTest {
    private static final SubmissionDigest JOB = SubmissionDigest.ofText("job");
    private ClaimLedger ledger;

    @BeforeMethod
    public void startAfresh() {
        ledger = ClaimLedger.create(Duration.ofMinutes(10));
    }

    private static Claimed claim(String holder, int nonce) {
        return new Claimed(JOB, 1, 1, Incarnation.of(holder), ClaimNonce.of(0, nonce));
    }

    private String winner() {
        return ledger.winner(JOB).map(claim -> claim.holder().value()).orElse("nobody");
    }

    @Test
    public void theFirstClaimInLogOrderWins() {
        ledger.fold(0, 0, List.of(claim("left", 1), claim("right", 2)));
        assertEquals(winner(), "left");
    }

    @Test
    public void aClaimThatWasReleasedLeavesRoomForTheNextOne() {
        ledger.fold(0, 0, List.of(claim("left", 1), claim("right", 2)));
        ledger.fold(1, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        assertEquals(winner(), "nobody");
        ledger.fold(2, 0, List.of(claim("right", 3)));
        assertEquals(winner(), "right");
    }

    @Test
    public void aClaimThatLandsAfterItsReleaseNeverWins() {
        ledger.fold(0, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        ledger.fold(1, 0, List.of(claim("left", 1)));
        assertEquals(winner(), "nobody");
    }

    @Test
    public void aRecordThatIsReadTwiceCountsOnce() {
        ledger.fold(0, 0, List.of(claim("left", 1)));
        ledger.fold(0, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        assertEquals(winner(), "left");
    }

    @Test
    public void aClaimIsForgottenAfterTheWindow() {
        ledger.fold(0, 0, List.of(claim("left", 1)));
        ledger.fold(1, Duration.ofMinutes(11).toMillis(), List.of(claim("right", 2)));
        assertTrue(ledger.winner(JOB).isEmpty() || winner().equals("right"));
    }
}
