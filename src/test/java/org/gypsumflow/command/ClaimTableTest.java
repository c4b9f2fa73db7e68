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

public final class ClaimTableTest {
    private static final SubmissionDigest JOB = SubmissionDigest.ofText("job");
    private ClaimTable ledger;

    @BeforeMethod
    public void createTable() {
        ledger = ClaimTable.create(Duration.ofMinutes(10));
    }

    private static Claimed claim(String holder, int nonce) {
        return new Claimed(JOB, 1, 1, Incarnation.of(holder), ClaimNonce.of(0, nonce));
    }

    private String winner() {
        return ledger.winningClaim(JOB).map(claim -> claim.holder().value()).orElse("nobody");
    }

    @Test
    public void theFirstClaimInLogOrderWins() {
        ledger.apply(0, 0, List.of(claim("left", 1), claim("right", 2)));
        assertEquals(winner(), "left");
    }

    @Test
    public void aClaimThatWasReleasedLeavesRoomForTheNextOne() {
        ledger.apply(0, 0, List.of(claim("left", 1), claim("right", 2)));
        ledger.apply(1, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        assertEquals(winner(), "nobody");
        ledger.apply(2, 0, List.of(claim("right", 3)));
        assertEquals(winner(), "right");
    }

    @Test
    public void aClaimThatLandsAfterItsReleaseNeverWins() {
        ledger.apply(0, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        ledger.apply(1, 0, List.of(claim("left", 1)));
        assertEquals(winner(), "nobody");
    }

    @Test
    public void aRecordThatIsReadTwiceCountsOnce() {
        ledger.apply(0, 0, List.of(claim("left", 1)));
        ledger.apply(0, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        assertEquals(winner(), "left");
    }

    @Test
    public void aClaimIsForgottenAfterTheWindow() {
        ledger.apply(0, 0, List.of(claim("left", 1)));
        ledger.apply(1, Duration.ofMinutes(11).toMillis(), List.of(claim("right", 2)));
        assertTrue(ledger.winningClaim(JOB).isEmpty() || winner().equals("right"));
    }
}
