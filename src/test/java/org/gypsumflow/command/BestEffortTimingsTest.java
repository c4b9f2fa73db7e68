package org.gypsumflow.command;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public final class BestEffortTimingsTest {
    /** Clocks of workers may be slow by 2 %, as stated by the platform. */
    private static final double CLOCK_DRIFT_FACTOR = 1.02;

    private static final Duration DETECTION_TIME =
            BestEffortTimings.HEARTBEAT_TIMEOUT.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);

    /** Maximum time from the decision to stop a run until the worker has the stop or its last renewal. */
    private static final Duration STOP_OR_RENEWAL_IN_FLIGHT = Duration.ofMillis(200);

    /** Maximum time between the end of a lease and its end by the agent's reckoning. */
    private static final Duration LEASE_CHECK_TIME = Duration.ofMillis(60);

    private static Duration leaseByWorkerClock() {
        return Duration.ofMillis((long) Math.ceil(BestEffortTimings.LEASE_DURATION.toMillis() * CLOCK_DRIFT_FACTOR));
    }

    @Test
    public void aTaskIsReassignedOnlyAfterBothHeartbeatTimeoutsAndTheStopOfTheWorker() {
        Duration stoppedAfter = DETECTION_TIME.multipliedBy(2).plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.compareTo(stoppedAfter) >= 0);
    }

    @Test
    public void oneLateHeartbeatAmongManyConnectionsCausesNoTimeout() {
        Duration maxHeartbeatGap = BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS.plus(
                BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        assertTrue(maxHeartbeatGap
                        .plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL)
                        .compareTo(BestEffortTimings.HEARTBEAT_TIMEOUT)
                < 0);
    }

    @Test
    public void aTaskIsReassignedOnlyAfterTheLeaseOfAPausedAgentExpired() {
        Duration maxTimeSinceMessage = BestEffortTimings.CONNECTION_CHECK_INTERVAL.plus(
                BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS);
        Duration leaseEndedAfter =
                maxTimeSinceMessage.plus(leaseByWorkerClock()).plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.compareTo(leaseEndedAfter) >= 0);
    }

    @Test
    public void theLeaseIsShorterThanThePlatformAllows() {
        assertTrue(BestEffortTimings.LEASE_DURATION.compareTo(Duration.ofSeconds(1)) < 0);
    }

    @Test
    public void aPauseIsDetectedBeforeOtherMembersConsiderTheProcessLost() {
        assertTrue(BestEffortTimings.PAUSE_THRESHOLD.compareTo(BestEffortTimings.HEARTBEAT_TIMEOUT) < 0);
    }

    @Test
    public void tasksOfACrashedEntryAreStoppedBeforeItsCallersRetryTheirJobs() {
        Duration callerRetryDelay = Duration.ofMillis(1300);
        assertTrue(DETECTION_TIME.plus(BestEffortTimings.MAX_STOP_TIME).compareTo(callerRetryDelay) < 0);
    }

    // Guards against a second start that is counted from the lost owner's last message to the entry that starts it.
    @Test
    public void aJobOfALostEntryIsTakenOverOnlyAfterTheAgentsOfThatEntryNoticedAndItsRunsEnded() {
        Duration laterMessageToAnAgent = BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS.plus(
                BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        Duration runsEndedAfter = laterMessageToAnAgent
                .plus(DETECTION_TIME)
                .plus(STOP_OR_RENEWAL_IN_FLIGHT)
                .plus(Duration.ofMillis((long) Math.ceil(BestEffortTimings.LEASE_DURATION.toMillis() / 0.98)))
                .plus(LEASE_CHECK_TIME)
                .plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.compareTo(runsEndedAfter) >= 0);
    }
}
