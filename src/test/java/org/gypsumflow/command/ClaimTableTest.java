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
    private ClaimTable table;

    @BeforeMethod
    public void createTable() {
        table = ClaimTable.create(Duration.ofMinutes(10));
    }

    private static Claimed claim(String holder, int nonce) {
        return new Claimed(JOB, 1, 1, Incarnation.of(holder), ClaimNonce.of(0, nonce));
    }

    private String winner() {
        return table.winningClaim(JOB).map(claim -> claim.holder().value()).orElse("none");
    }

    @Test
    public void theFirstClaimInLogOrderWins() {
        table.apply(0, 0, List.of(claim("left", 1), claim("right", 2)));
        assertEquals(winner(), "left");
    }

    @Test
    public void theNextClaimWinsAfterTheWinningClaimWasReleased() {
        table.apply(0, 0, List.of(claim("left", 1), claim("right", 2)));
        table.apply(1, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        assertEquals(winner(), "none");
        table.apply(2, 0, List.of(claim("right", 3)));
        assertEquals(winner(), "right");
    }

    @Test
    public void aClaimThatIsLoggedAfterItsReleaseNeverWins() {
        table.apply(0, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        table.apply(1, 0, List.of(claim("left", 1)));
        assertEquals(winner(), "none");
    }

    @Test
    public void anOffsetThatIsAppliedTwiceHasAnEffectOnlyOnce() {
        table.apply(0, 0, List.of(claim("left", 1)));
        table.apply(0, 0, List.of(new Released(JOB, ClaimNonce.of(0, 1))));
        assertEquals(winner(), "left");
    }

    @Test
    public void aClaimIsEvictedAfterTheRetentionTime() {
        table.apply(0, 0, List.of(claim("left", 1)));
        table.apply(1, Duration.ofMinutes(11).toMillis(), List.of(claim("right", 2)));
        assertTrue(table.winningClaim(JOB).isEmpty() || winner().equals("right"));
    }
}
