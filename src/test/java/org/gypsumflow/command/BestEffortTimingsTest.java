package org.gypsumflow.command;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

public final class BestEffortTimingsTest {
    /** Clocks of workers may be slow by 2 %, as stated by the platform. */
    private static final double CLOCK_DRIFT_FACTOR = 1.02;

    private static final double SLOWEST_CLOCK_RATE = 0.98;

    /** Maximum error of an agent's estimate of its worker's clock. */
    private static final Duration LEASE_ESTIMATE_ERROR = Duration.ofMillis(60);

    /** Time for a heartbeat, its echo and the delays of both processes. */
    private static final Duration MAX_ROUND_TRIP_TIME = Duration.ofMillis(100);

    private static final Duration DETECTION_TIME =
            BestEffortTimings.HEARTBEAT_TIMEOUT.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);

    private static Duration leaseByWorkerClock() {
        return Duration.ofMillis((long) Math.ceil(BestEffortTimings.LEASE_DURATION.toMillis() * CLOCK_DRIFT_FACTOR));
    }

    private static Duration bySlowClock(Duration duration) {
        return Duration.ofMillis((long) Math.ceil(duration.toMillis() / SLOWEST_CLOCK_RATE));
    }

    /** Heartbeats are sent at the first check after the idle time. */
    private static Duration heartbeatPeriod(Duration idleTime) {
        long checks = idleTime.toMillis() / BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis() + 1;
        return BestEffortTimings.CONNECTION_CHECK_INTERVAL.multipliedBy(checks);
    }

    @Test
    public void aTaskIsReassignedOnlyAfterBothHeartbeatTimeoutsAndTheStopOfTheWorker() {
        Duration stoppedAfter = DETECTION_TIME.multipliedBy(2).plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.compareTo(stoppedAfter) >= 0);
    }

    // Guards against two runs of one task: the agent counted from the messages that it received, the entry from those
    // that it received from the agent.
    @Test
    public void aTaskIsReassignedOnlyAfterTheContactEndedAndTheStopFailedAndTheLeaseEnded() {
        Duration agentTime = BestEffortTimings.CONFIRMED_CONTACT_LIMIT
                .plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL)
                .plus(BestEffortTimings.STOP_CONFIRMATION_TIMEOUT);
        Duration runsEndedAfter = bySlowClock(agentTime.plus(BestEffortTimings.LEASE_DURATION))
                .plus(LEASE_ESTIMATE_ERROR)
                .plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.compareTo(runsEndedAfter) > 0);
    }

    @Test
    public void aTaskIsReassignedOnlyAfterTheLeaseEndedOfAnAgentPausedWhenItsContactEnded() {
        Duration lastRequestAfter =
                BestEffortTimings.CONFIRMED_CONTACT_LIMIT.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        Duration runsEndedAfter = bySlowClock(lastRequestAfter.plus(BestEffortTimings.LEASE_DURATION))
                .plus(LEASE_ESTIMATE_ERROR)
                .plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.compareTo(runsEndedAfter) > 0);
    }

    @Test
    public void anAgentChecksItsContactsAtEveryReportWithinTheCheckInterval() {
        assertTrue(BestEffortTimings.REPORT_INTERVAL.compareTo(BestEffortTimings.CONNECTION_CHECK_INTERVAL) < 0);
    }

    @Test
    public void oneLostHeartbeatDoesNotEndTheContactAtEitherRate() {
        for (Duration idleTime : List.of(
                BestEffortTimings.HEARTBEAT_IDLE_TIME, BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS)) {
            Duration ageAtSecondEcho = heartbeatPeriod(idleTime).multipliedBy(2).plus(MAX_ROUND_TRIP_TIME);
            assertTrue(ageAtSecondEcho.compareTo(BestEffortTimings.CONFIRMED_CONTACT_LIMIT) <= 0, idleTime.toString());
        }
    }

    @Test
    public void anEntryThatHasNothingToEchoStillSendsAHeartbeatWithinTheTimeout() {
        Duration maxHeartbeatGap =
                BestEffortTimings.HEARTBEAT_IDLE_TIME_WITHOUT_ECHOES.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        assertTrue(maxHeartbeatGap.compareTo(BestEffortTimings.HEARTBEAT_TIMEOUT) < 0);
    }

    @Test
    public void anEntryThatEchoesEveryHeartbeatSendsNoOther() {
        assertTrue(heartbeatPeriod(BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS)
                        .compareTo(BestEffortTimings.HEARTBEAT_IDLE_TIME_WITHOUT_ECHOES)
                < 0);
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
    public void anEntryThatGoesOnAfterAPauseTellsItsJobsBeforeTheirCallersSendThemElsewhere() {
        Duration callerRetryDelay = Duration.ofMillis(1300);
        Duration jobsToldAfter =
                BestEffortTimings.ENTRY_PAUSE_THRESHOLD.plus(BestEffortTimings.REPORT_INTERVAL.multipliedBy(2));
        assertTrue(jobsToldAfter.compareTo(callerRetryDelay) < 0);
    }

    @Test
    public void tasksOfACrashedEntryAreStoppedBeforeItsCallersRetryTheirJobs() {
        Duration callerRetryDelay = Duration.ofMillis(1300);
        assertTrue(DETECTION_TIME.plus(BestEffortTimings.MAX_STOP_TIME).compareTo(callerRetryDelay) < 0);
        Duration contactDetectionTime =
                BestEffortTimings.CONFIRMED_CONTACT_LIMIT.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        assertTrue(contactDetectionTime.plus(BestEffortTimings.MAX_STOP_TIME).compareTo(callerRetryDelay) < 0);
    }

    // Guards against a second start that is counted from the lost owner's last message to the entry that starts it.
    @Test
    public void aJobOfALostEntryIsTakenOverOnlyAfterTheAgentsOfThatEntryNoticedAndItsRunsEnded() {
        Duration laterMessageToAnAgent = BestEffortTimings.HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS.plus(
                BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        Duration runsEndedAfter = bySlowClock(laterMessageToAnAgent
                        .plus(BestEffortTimings.CONFIRMED_CONTACT_LIMIT)
                        .plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL)
                        .plus(BestEffortTimings.STOP_CONFIRMATION_TIMEOUT)
                        .plus(BestEffortTimings.LEASE_DURATION))
                .plus(LEASE_ESTIMATE_ERROR)
                .plus(BestEffortTimings.MAX_STOP_TIME);
        assertTrue(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.compareTo(runsEndedAfter) >= 0);
    }

    // Guards against a second start of a job whose owner is forgotten while a run of it is left.
    @Test
    public void anOwnerIsForgottenOnlyWhenItHasAnnouncedItsJobAgainOrItsRunsHaveEnded() {
        Duration runsEndedAfter = bySlowClock(BestEffortTimings.REPEATED_ANNOUNCEMENT_INTERVAL
                .multipliedBy(2)
                .plus(BestEffortTimings.REPORT_INTERVAL.multipliedBy(2))
                .plus(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE));
        assertTrue(BestEffortTimings.JOB_OWNERSHIP_LIFETIME.compareTo(runsEndedAfter) > 0);
    }
}
