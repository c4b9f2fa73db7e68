package org.gypsumflow.command;

import java.time.Duration;
import java.util.Optional;

/**
 * The lease that the runs at one incarnation of a worker hold together: how long to request it, and the latest time at
 * which they may still run.
 *
 * <p>A request may renew the lease whether or not it is answered, so the bound is counted from the last request that
 * was sent, never from the last response. The end of a lease is a time of the worker's clock, which may run slow. It is
 * therefore counted from the lowest time that the worker's clock can show, so that the bound does not depend on the age
 * of the last reading.
 */
public final class WorkerLease {
    /** Share by which the clock of a worker may run slow, as the platform states. */
    private static final double MAX_CLOCK_DRIFT = 0.02;
    /**
     * Age from which a reading of the worker's clock is not used, since leases would become too short. A worker reports
     * its clock every 1.5 seconds.
     */
    private static final Duration MAX_READING_AGE = Duration.ofSeconds(10);

    /**
     * Time after the last request at which all runs have ended: the longest lease that a worker grants by the slowest
     * clock, then the stop. The lease is longer than requested if the worker has restarted, so that its clock started
     * anew.
     */
    public static final Duration MAX_RUN_TIME = Duration.ofMillis(
                    (long) Math.ceil(BestEffortTimings.MAX_LEASE_DURATION.toMillis() / (1 - MAX_CLOCK_DRIFT)))
            .plus(BestEffortTimings.MAX_STOP_TIME);

    private static final double NANOS_PER_MILLI = 1e6;

    private boolean clockKnown;
    private long readingMillis;
    private long readAtNanos;
    private boolean requested;
    private long lastRequestNanos;

    private WorkerLease() {}

    /**
     * Creates the lease of a worker whose clock has not been read and that has no runs.
     *
     * @return the lease
     */
    public static WorkerLease none() {
        return new WorkerLease();
    }

    /**
     * Returns the lease at the next incarnation of the worker, which may have received the last requests already.
     *
     * @return the lease, without a reading of the clock
     */
    public WorkerLease atNextIncarnation() {
        WorkerLease next = new WorkerLease();
        next.requested = requested;
        next.lastRequestNanos = lastRequestNanos;
        return next;
    }

    /**
     * Applies a reading of the worker's clock that has just arrived; one that was delayed on its way is ignored while the
     * present one is recent enough.
     *
     * @param workerMillis time of the worker's clock, in milliseconds, when it sent the reading
     * @param nowNanos current monotonic time
     */
    public void applyClockReading(long workerMillis, long nowNanos) {
        if (canRequest(nowNanos) && workerMillis < lowestClockMillis(nowNanos)) {
            return;
        }
        clockKnown = true;
        readingMillis = workerMillis;
        readAtNanos = nowNanos;
    }

    /**
     * Returns whether the worker's clock has been read.
     *
     * @return true after the first reading
     */
    public boolean isClockKnown() {
        return clockKnown;
    }

    /**
     * Returns whether a lease can be requested.
     *
     * @param nowNanos current monotonic time
     * @return true if there is a reading of the worker's clock that is recent enough
     */
    public boolean canRequest(long nowNanos) {
        return clockKnown && nowNanos - readAtNanos <= MAX_READING_AGE.toNanos();
    }

    /**
     * Records that a request for a lease of {@link BestEffortTimings#LEASE_DURATION} from a given time is sent.
     *
     * @param fromNanos monotonic time from which the lease counts, not after the current time
     * @return end of the lease to request, in milliseconds of the worker's clock
     */
    public long request(long fromNanos) {
        if (!requested || fromNanos - lastRequestNanos > 0) {
            requested = true;
            lastRequestNanos = fromNanos;
        }
        return lowestClockMillis(fromNanos) + BestEffortTimings.LEASE_DURATION.toMillis();
    }

    /**
     * Returns whether runs at the worker may still hold the lease, the time that the worker needs to stop them included.
     *
     * @param nowNanos current monotonic time
     * @return false if every request so far has expired by the worker's clock, or none was sent
     */
    public boolean mayBeHeld(long nowNanos) {
        return requested && nowNanos - lastRequestNanos <= MAX_RUN_TIME.toNanos();
    }

    /**
     * Returns the time since the last request that may have renewed the lease.
     *
     * @param nowNanos current monotonic time
     * @return the time, or empty if no lease was requested
     */
    public Optional<Duration> sinceLastRequest(long nowNanos) {
        return requested ? Optional.of(Duration.ofNanos(nowNanos - lastRequestNanos)) : Optional.empty();
    }

    private long lowestClockMillis(long nowNanos) {
        return readingMillis + (long) ((nowNanos - readAtNanos) * (1 - MAX_CLOCK_DRIFT) / NANOS_PER_MILLI);
    }
}
