package org.gypsumflow.command.recovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.gypsumflow.command.recovery.CallRecovery.Decision;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The load: a few percent of the calls to a worker get no response and are carried out seconds later; all others are
 * answered in a few milliseconds.
 */
public final class CallRecoveryTest {
    private static final Duration LISTING_DELAY = Duration.ofMillis(300);

    private CallRecovery recovery;

    @BeforeMethod
    public void createRecovery() {
        recovery = CallRecovery.create();
        for (int millis = 0; millis < 1000; millis += 10) {
            answer(recovery.sent(CallKind.START, Duration.ZERO, at(millis)), 1, 3, millis + 3);
        }
    }

    private static long at(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private boolean answer(PendingCall call, int copy, long elapsedMillis, long nowMillis) {
        boolean lost = recovery.answered(call, copy, Duration.ofMillis(elapsedMillis), at(nowMillis));
        recovery.ended(call);
        return lost;
    }

    @Test
    public void aStartWithoutAResponseIsRepeatedWithinTheSlackOfAShortTask() {
        PendingCall start = recovery.sent(CallKind.START, Duration.ZERO, at(2000));
        assertEquals(recovery.scheduleCheck(at(2000)), Optional.of(Duration.ofMillis(30)));
        assertTrue(recovery.check(at(2030)));
        assertEquals(recovery.decide(start, at(2030)), Decision.REPEAT);
    }

    @Test
    public void aCallIsNotOverdueBeforeTheUsualResponseTimesOfTheWorkerHavePassed() {
        for (int millis = 2000; millis < 4000; millis += 100) {
            answer(recovery.sent(CallKind.START, Duration.ZERO, at(millis)), 1, 60, millis + 60);
        }
        PendingCall start = recovery.sent(CallKind.START, Duration.ZERO, at(5000));
        assertEquals(recovery.decide(start, at(5060)), Decision.WAIT);
        assertEquals(recovery.decide(start, at(5200)), Decision.REPEAT);
    }

    @Test
    public void aCheckThatComesLateDecidesNothingSinceResponsesMayWaitUnread() {
        PendingCall start = recovery.sent(CallKind.START, Duration.ZERO, at(2000));
        recovery.scheduleCheck(at(2000));
        assertFalse(recovery.check(at(2500)));
        assertEquals(recovery.scheduleCheckAgain(at(2500)), Optional.of(Duration.ofMillis(10)));
        assertTrue(recovery.check(at(2900)));
        assertEquals(recovery.decide(start, at(2900)), Decision.REPEAT);
    }

    @Test
    public void aCallIsGivenUpOnlyWhenSeveralCopiesGotNoResponseFor400Milliseconds() {
        PendingCall start = recovery.sent(CallKind.START, Duration.ZERO, at(2000));
        recovery.repeated(start, at(2030));
        recovery.repeated(start, at(2090));
        recovery.repeated(start, at(2210));
        assertEquals(recovery.decide(start, at(2399)), Decision.WAIT);
        assertEquals(recovery.decide(start, at(2400)), Decision.GIVE_UP);
    }

    @Test
    public void aCallWhoseConnectionsWereClosedIsRepeatedAtOnceButNotForEver() {
        PendingCall stop = recovery.sent(CallKind.STOP, Duration.ZERO, at(2000));
        for (int copy = 2; copy <= 4; copy++) {
            assertEquals(recovery.decideAfterFailure(stop, at(2000)), Decision.REPEAT);
            recovery.repeated(stop, at(2000));
        }
        assertEquals(recovery.decideAfterFailure(stop, at(2000)), Decision.GIVE_UP);
    }

    @Test
    public void aCallWhoseEffectIsNotWantedAnyMoreIsNotRepeated() {
        PendingCall start = recovery.sent(CallKind.START, Duration.ZERO, at(2000));
        start.stopRepeating();
        assertEquals(recovery.decide(start, at(2100)), Decision.WAIT);
        assertEquals(recovery.decideAfterFailure(start, at(2100)), Decision.GIVE_UP);
    }

    @Test
    public void listingsAreShortWhileCallsAreLostSoThatTheLossOfOneHidesNoEndsForLong() {
        assertEquals(recovery.listingDelay(LISTING_DELAY, at(2000)), LISTING_DELAY);
        PendingCall listing = recovery.sent(CallKind.LISTING, LISTING_DELAY, at(2000));
        PendingCall start = recovery.sent(CallKind.START, Duration.ZERO, at(2010));
        recovery.repeated(start, at(2040));
        assertTrue(answer(start, 2, 3, 2043));
        assertEquals(recovery.listingDelay(LISTING_DELAY, at(2043)), Duration.ofMillis(50));
        assertEquals(recovery.decide(listing, at(2080)), Decision.REPEAT);
        assertEquals(recovery.listingDelay(LISTING_DELAY, at(6000)), LISTING_DELAY);
    }

    @Test
    public void aRepeatThatTheFirstResponseOvertakesIsNoLoss() {
        PendingCall start = recovery.sent(CallKind.START, Duration.ZERO, at(2000));
        recovery.repeated(start, at(2030));
        assertFalse(answer(start, 1, 32, 2032));
        assertEquals(recovery.listingDelay(LISTING_DELAY, at(2032)), LISTING_DELAY);
    }
}
