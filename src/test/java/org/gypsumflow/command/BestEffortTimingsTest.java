package org.gypsumflow.command;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public final class BestEffortTimingsTest {
    /** Clocks of workers may be slow by two percent, as the platform says. */
    private static final double SLOW_CLOCK = 1.02;

    private static final Duration NOTICED =
            BestEffortTimings.HEARTBEAT_TIMEOUT.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);

    private static Duration lease() {
        return Duration.ofMillis((long) Math.ceil(BestEffortTimings.LEASE_DURATION.toMillis() * SLOW_CLOCK));
    }

    @Test
    public void aTaskGoesElsewhereOnlyAfterBothSidesNoticedTheSilenceAndTheWorkerStopped() {
        Duration stopped = NOTICED.multipliedBy(2).plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.compareTo(stopped) >= 0);
    }

    @Test
    public void aHeartbeatAmongManyConnectionsMayBeLateOnceWithoutASilence() {
        Duration longest = BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS.plus(
                BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        assertTrue(
                longest.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL).compareTo(BestEffortTimings.HEARTBEAT_TIMEOUT)
                        < 0);
    }

    @Test
    public void aTaskGoesElsewhereOnlyAfterTheLeaseOfAFrozenAgentHasEnded() {
        Duration sinceHeard = BestEffortTimings.CONNECTION_CHECK_INTERVAL.plus(
                BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS);
        Duration ended = sinceHeard.plus(lease()).plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.compareTo(ended) >= 0);
    }

    @Test
    public void aWorkerGoesOnThroughOneLostRenewalButNotLongerThanThePlatformAllows() {
        assertTrue(BestEffortTimings.LEASE_DURATION.compareTo(Duration.ofSeconds(1)) < 0);
    }

    @Test
    public void aPauseIsNoticedBeforeTheOthersTakeTheProcessToBeGone() {
        assertTrue(BestEffortTimings.PAUSE_THRESHOLD.compareTo(BestEffortTimings.HEARTBEAT_TIMEOUT) < 0);
    }

    @Test
    public void anEntryThatDiedHasItsTasksStoppedBeforeItsCallersSendTheirJobsAgain() {
        Duration callersSendAgainAfter = Duration.ofMillis(1300);
        assertTrue(NOTICED.plus(BestEffortTimings.MAX_STOP_TIME).compareTo(callersSendAgainAfter) < 0);
    }
}
