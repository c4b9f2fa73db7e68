package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

public final class WorkerLeaseTest {
    private static final long SLOWEST_CLOCK_PERCENT = 98;

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private static WorkerLease leaseOfAWorkerWhoseClockReadsZeroAtTimeZero() {
        WorkerLease lease = WorkerLease.none();
        lease.applyClockReading(0, 0);
        return lease;
    }

    // Guards against two runs of one task: the end of the lease was counted from the worker's last response.
    @Test
    public void aLeaseIsCountedFromTheLastRequestHoweverLongAgoTheWorkerResponded() {
        WorkerLease lease = leaseOfAWorkerWhoseClockReadsZeroAtTimeZero();
        lease.request(millis(5000));
        assertTrue(lease.mayBeHeld(millis(5900)));
        assertFalse(lease.mayBeHeld(millis(5000) + WorkerLease.MAX_RUN_TIME.toNanos() + 1));
    }

    @Test
    public void theSlowestClockReachesTheRequestedEndBeforeTheRunsCountAsEnded() {
        for (long sentMillis = 0; sentMillis <= 9000; sentMillis += 300) {
            WorkerLease lease = leaseOfAWorkerWhoseClockReadsZeroAtTimeZero();
            long untilMillis = lease.request(millis(sentMillis));
            long reachedMillis = untilMillis * 100 / SLOWEST_CLOCK_PERCENT;
            assertTrue(lease.mayBeHeld(millis(reachedMillis) + BestEffortTimings.MAX_STOP_TIME.toNanos()));
        }
    }

    @Test
    public void noLeaseMayBeHeldBeforeTheFirstRequest() {
        assertFalse(leaseOfAWorkerWhoseClockReadsZeroAtTimeZero().mayBeHeld(millis(1)));
    }

    @Test
    public void aReadingThatWasDelayedOnItsWayIsIgnored() {
        WorkerLease lease = leaseOfAWorkerWhoseClockReadsZeroAtTimeZero();
        lease.applyClockReading(1000, millis(1000));
        lease.applyClockReading(100, millis(1001));
        assertEquals(lease.request(millis(1001)), 1000 + BestEffortTimings.LEASE_DURATION.toMillis());
    }

    @Test
    public void noLeaseIsRequestedWithAnOldReadingOfTheClock() {
        WorkerLease lease = leaseOfAWorkerWhoseClockReadsZeroAtTimeZero();
        assertTrue(lease.canRequest(millis(10_000)));
        assertFalse(lease.canRequest(millis(10_001)));
    }

    @Test
    public void noLeaseIsRequestedBeforeTheClockIsRead() {
        assertFalse(WorkerLease.none().canRequest(0));
    }

    // Guards against an agent that starts nothing any more at a worker whose clock is slower than the platform allows.
    @Test
    public void aReadingBehindTheSlowestClockIsTakenOnceTheLastOneIsTooOld() {
        WorkerLease lease = leaseOfAWorkerWhoseClockReadsZeroAtTimeZero();
        lease.applyClockReading(9000, millis(10_001));
        assertTrue(lease.canRequest(millis(10_001)));
        assertEquals(lease.request(millis(10_001)), 9000 + BestEffortTimings.LEASE_DURATION.toMillis());
    }
}
