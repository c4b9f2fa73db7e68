package org.gypsumflow.command;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public final class DispatchLimitsTest {
    /** Clocks of workers may be slow by two percent, as the platform says. */
    private static final double SLOW_CLOCK = 1.02;

    private static final Duration NOTICED = DispatchLimits.SILENCE.plus(DispatchLimits.HEARTBEAT);

    private static Duration lease() {
        return Duration.ofMillis((long) Math.ceil(DispatchLimits.LEASE.toMillis() * SLOW_CLOCK));
    }

    @Test
    public void aTaskGoesElsewhereOnlyAfterBothSidesNoticedTheSilenceAndTheWorkerStopped() {
        Duration stopped = NOTICED.multipliedBy(2).plus(DispatchLimits.STOP_TIME);
        assertTrue(DispatchLimits.LOST_AFTER.compareTo(stopped) >= 0);
    }

    @Test
    public void aHeartbeatAmongManyConnectionsMayBeLateOnceWithoutASilence() {
        Duration longest = DispatchLimits.HEARTBEAT_IF_QUIET_AMONG_MANY.plus(DispatchLimits.HEARTBEAT);
        assertTrue(longest.plus(DispatchLimits.HEARTBEAT).compareTo(DispatchLimits.SILENCE) < 0);
    }

    @Test
    public void aTaskGoesElsewhereOnlyAfterTheLeaseOfAFrozenAgentHasEnded() {
        Duration sinceHeard = DispatchLimits.HEARTBEAT.plus(DispatchLimits.HEARTBEAT_IF_QUIET_AMONG_MANY);
        Duration ended = sinceHeard.plus(lease()).plus(DispatchLimits.STOP_TIME);
        assertTrue(DispatchLimits.LOST_AFTER.compareTo(ended) >= 0);
    }

    @Test
    public void aWorkerGoesOnThroughOneLostRenewalButNotLongerThanThePlatformAllows() {
        assertTrue(DispatchLimits.LEASE.compareTo(Duration.ofSeconds(1)) < 0);
    }

    @Test
    public void aPauseIsNoticedBeforeTheOthersTakeTheProcessToBeGone() {
        assertTrue(DispatchLimits.PAUSE.compareTo(DispatchLimits.SILENCE) < 0);
    }

    @Test
    public void anEntryThatDiedHasItsTasksStoppedBeforeItsCallersSendTheirJobsAgain() {
        Duration callersSendAgainAfter = Duration.ofMillis(1300);
        assertTrue(NOTICED.plus(DispatchLimits.STOP_TIME).compareTo(callersSendAgainAfter) < 0);
    }
}
