package org.gypsumflow.command.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.RouteName;

/**
 * Decides which of the jobs that wait at an entry it takes on, and in which order.
 *
 * <p>While the entry keeps up, it takes on each job, the oldest first. It is overloaded while what it does comes late by
 * more than a share of the latency allowance of its jobs for a whole interval. It then takes on the newest jobs first,
 * since those can still be in time, and at most as many at a time as a limit that follows the delay. A job that waits
 * until its result would have no value is rejected; one that is merely late is not, since a late result is better than none.
 *
 * <p>Confined to one thread.
 *
 * @param <R> type of the requests that carry the jobs
 */
public final class AdmissionControl<R> {
    /** Number of requests taken on in a turn; messages that have arrived are handled between two turns. */
    public static final int REQUESTS_PER_TURN = 8;
    /** The same while overloaded, when a turn of many would hold up the messages for longer than they may wait. */
    public static final int REQUESTS_PER_TURN_OVERLOADED = 1;
    /** Number of requests that may wait; more than an entry takes on within the latency objective of its jobs. */
    public static final int MAX_WAITING = 2000;

    /** Share of the latency allowance that the entry may use up; the rest is for the way to the worker and back. */
    private static final double TARGET_SHARE = 0.5;
    /** Smallest target, which is well above the delay of a timer on a busy host. */
    private static final Duration MIN_TARGET = Duration.ofMillis(20);
    /** Time without a delay above half the target after which an overload has ended. */
    private static final Duration CALM_TIME = Duration.ofMillis(500);
    /** Smallest limit, so that the entry goes on to measure what it can carry. */
    private static final int MIN_LIMIT = REQUESTS_PER_TURN;

    private static final double LIMIT_DECREASE = 0.8;
    /** Part of the limit by which it grows in an interval in which it was reached and the delay was below the target. */
    private static final int LIMIT_INCREASE_DIVISOR = 8;
    /** The same if the delay was below half of the target: processor time is left while requests wait. */
    private static final int FAST_LIMIT_INCREASE_DIVISOR = 2;
    /** Largest time over which rejected callers are asked to spread their return. */
    private static final Duration MAX_DRAIN_TIME = Duration.ofSeconds(9);

    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    /** Time over which admissions and rejections are counted to tell how fast the excess drains. */
    private static final Duration RATE_PERIOD = Duration.ofSeconds(1);

    /** Why a request is rejected. */
    public enum Cause {
        /** It has waited until the result of its job would have no value. */
        TOO_LATE("too_late"),
        /** Too many requests wait, and this one has the least time left. */
        QUEUE_FULL("queue_full");

        private final String label;

        Cause(String label) {
            this.label = label;
        }

        /**
         * Returns the name of the cause in metrics.
         *
         * @return the name, in lower case with underscores
         */
        public String label() {
            return label;
        }
    }

    /**
     * A rejected request.
     *
     * @param request the request
     * @param cause why it is rejected
     * @param <R> type of the request
     */
    public record Rejection<R>(R request, Cause cause) {}

    /**
     * What to do with the requests that wait.
     *
     * @param admitted requests to take on, in this order
     * @param rejected requests to reject
     * @param limitReached true if others wait because of the limit on jobs
     * @param <R> type of the requests
     */
    public record Turn<R>(List<R> admitted, List<Rejection<R>> rejected, boolean limitReached) {}

    /**
     * An overload that began or ended.
     *
     * @param began true if it began
     * @param delay present standing delay
     * @param limit present limit on jobs
     * @param duration how long it lasted if it ended, otherwise zero
     * @param rejected number of requests rejected during it
     */
    public record Change(boolean began, Duration delay, int limit, Duration duration, long rejected) {}

    private record Waiting<R>(R request, long arrivedNanos, long usefulUntilNanos) {}

    private final Predicate<R> abandoned;
    private final ProcessingDelay delay;
    private final Deque<Waiting<R>> waiting = new ArrayDeque<>();
    private final Map<RouteName, Duration> longestWaitByRoute = new HashMap<>();
    private Duration target = Duration.ofSeconds(1);
    private boolean targetKnown;
    private boolean overloaded;
    private boolean limitReached;
    private boolean admittedInInterval;
    private int limit = Integer.MAX_VALUE;
    private long overloadedSinceNanos;
    private long lastLateNanos;
    private long intervalStartNanos;
    private long rejectedInOverload;
    private long periodStartNanos;
    private int admittedInPeriod;
    private int rejectedInPeriod;
    private Duration drainTime = Duration.ZERO;

    private AdmissionControl(Predicate<R> abandoned, long nowNanos) {
        this.abandoned = abandoned;
        this.delay = ProcessingDelay.create(nowNanos);
        this.intervalStartNanos = nowNanos;
        this.periodStartNanos = nowNanos;
    }

    /**
     * Creates the control of an entry that is not overloaded.
     *
     * @param abandoned tells whether nobody waits for the outcome of a request any more
     * @param nowNanos current monotonic time
     * @param <R> type of the requests
     * @return the control
     */
    public static <R> AdmissionControl<R> create(Predicate<R> abandoned, long nowNanos) {
        return new AdmissionControl<>(abandoned, nowNanos);
    }

    /**
     * Adds a request that waits from now on.
     *
     * @param request the request
     * @param job its job
     * @param arrivedNanos monotonic time of its arrival
     */
    public void add(R request, BestEffortJob job, long arrivedNanos) {
        Duration longestWait = longestWait(job);
        longestWaitByRoute.merge(job.route().name(), longestWait, AdmissionControl::slowlyDecreasing);
        learnTarget(job.route().latencyAllowance());
        waiting.addLast(new Waiting<>(request, arrivedNanos, arrivedNanos + longestWait.toNanos()));
    }

    /**
     * Records how late this process acts on what has arrived, and adapts the limit once an interval.
     *
     * @param late time from an arrival, or from the time at which a timer was due, until this process acted on it
     * @param activeJobs number of jobs taken on and without an outcome
     * @param nowNanos current monotonic time
     * @return the overload that began or ended, if one did
     */
    public Optional<Change> recordDelay(Duration late, int activeJobs, long nowNanos) {
        delay.record(late, nowNanos);
        if (nowNanos - intervalStartNanos < ProcessingDelay.INTERVAL.toNanos()) {
            return Optional.empty();
        }
        intervalStartNanos = nowNanos;
        Duration standing = delay.standing(nowNanos);
        boolean above = standing.compareTo(target) > 0;
        if (!isLow(standing)) {
            lastLateNanos = nowNanos;
        }
        adaptLimit(standing, activeJobs);
        if (above && !overloaded) {
            overloaded = true;
            overloadedSinceNanos = nowNanos;
            rejectedInOverload = 0;
            return Optional.of(new Change(true, standing, limit, Duration.ZERO, 0));
        }
        if (overloaded && nowNanos - lastLateNanos > CALM_TIME.toNanos()) {
            overloaded = false;
            limit = Integer.MAX_VALUE;
            Duration duration = Duration.ofNanos(nowNanos - overloadedSinceNanos);
            return Optional.of(new Change(false, standing, limit, duration, rejectedInOverload));
        }
        return Optional.empty();
    }

    private void adaptLimit(Duration standing, int activeJobs) {
        if (standing.compareTo(target) > 0) {
            // Without new jobs the delay is that of the earlier ones, and a lower limit would change nothing.
            if (admittedInInterval) {
                limit = Math.max(MIN_LIMIT, (int) (Math.min(limit, activeJobs) * LIMIT_DECREASE));
            }
        } else if (limitReached) {
            limit += 1 + limit / (isLow(standing) ? FAST_LIMIT_INCREASE_DIVISOR : LIMIT_INCREASE_DIVISOR);
        }
        limitReached = false;
        admittedInInterval = false;
    }

    private boolean isLow(Duration standing) {
        return standing.multipliedBy(2).compareTo(target) <= 0;
    }

    /**
     * Takes the next requests from those that wait.
     *
     * @param activeJobs number of jobs taken on and without an outcome
     * @param nowNanos current monotonic time
     * @return requests to take on and to reject; those that nobody waits for are dropped
     */
    public Turn<R> takeTurn(int activeJobs, long nowNanos) {
        waiting.removeIf(request -> abandoned.test(request.request()));
        int most = overloaded ? REQUESTS_PER_TURN_OVERLOADED : REQUESTS_PER_TURN;
        // While the delay is low, processor time is left, and nothing is gained by a wait.
        boolean limited = overloaded && !isLow(delay.standing(nowNanos));
        int room = limited ? limit - activeJobs : Integer.MAX_VALUE;
        List<Rejection<R>> rejected = new ArrayList<>();
        if (limited) {
            rejectThoseTooLate(rejected, nowNanos);
        }
        List<R> admitted = new ArrayList<>();
        while (!waiting.isEmpty() && admitted.size() < Math.min(most, room)) {
            admitted.add((overloaded ? waiting.removeLast() : waiting.removeFirst()).request());
        }
        if (overloaded) {
            // Newer requests are taken first, so that those left behind would wait until their callers give up.
            rejectThoseTooLate(rejected, nowNanos);
        }
        rejectBeyond(MAX_WAITING, rejected);
        if (!waiting.isEmpty() && nowNanos - waiting.peekFirst().arrivedNanos() > target.toNanos()) {
            lastLateNanos = nowNanos;
        }
        boolean reached = !waiting.isEmpty() && admitted.size() >= room;
        limitReached |= reached;
        admittedInInterval |= !admitted.isEmpty();
        countForDrainTime(admitted.size(), rejected.size(), nowNanos);
        return new Turn<>(admitted, rejected, reached);
    }

    /**
     * Returns how long a request of each route may have waited, so that some of the route's jobs could still be of
     * value. A request that has waited longer need not be parsed.
     *
     * @return longest wait by route; empty while the entry keeps up
     */
    public Map<RouteName, Duration> longestWaits() {
        return overloaded ? Map.copyOf(longestWaitByRoute) : Map.of();
    }

    /**
     * Counts a request that was rejected before it was added.
     *
     * @param nowNanos current monotonic time
     */
    public void rejectedUnparsed(long nowNanos) {
        countForDrainTime(0, 1, nowNanos);
    }

    /**
     * Returns how long a rejected caller should wait: the time in which the entry drains what it has to turn away, over
     * which the callers are spread.
     *
     * @param job job of the caller, by whose id its place is drawn
     * @return time until it may send the job again
     */
    public Duration retryAfter(JobId job) {
        double place = Math.floorMod(job.hashCode() * 0x9E3779B9, 1024) / 1024.0;
        return MIN_RETRY_AFTER.plusNanos((long) (drainTime.toNanos() * place));
    }

    /**
     * Returns the measured standing delay.
     *
     * @param nowNanos current monotonic time
     * @return smallest delay of the last interval
     */
    public Duration standingDelay(long nowNanos) {
        return delay.standing(nowNanos);
    }

    /**
     * Returns whether the entry has more to do than its processor can carry.
     *
     * @return true from the first interval with a delay above the target until the delay has been low for a while
     */
    public boolean isOverloaded() {
        return overloaded;
    }

    /**
     * Returns the present limit on jobs.
     *
     * @return number of jobs; {@link Integer#MAX_VALUE} while the entry keeps up
     */
    public int limit() {
        return limit;
    }

    /**
     * Returns whether requests wait.
     *
     * @return true if at least one waits
     */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /**
     * Removes requests that wait.
     *
     * @param which tells which ones
     * @return the removed requests
     */
    public List<R> remove(Predicate<R> which) {
        List<R> removed = waiting.stream().map(Waiting::request).filter(which).toList();
        waiting.removeIf(request -> which.test(request.request()));
        return removed;
    }

    /**
     * Returns whether a request waits.
     *
     * @param which tells which ones are meant
     * @return true if at least one of them waits
     */
    public boolean isWaiting(Predicate<R> which) {
        return waiting.stream().map(Waiting::request).anyMatch(which);
    }

    private void rejectThoseTooLate(List<Rejection<R>> rejected, long nowNanos) {
        long standingNanos = delay.standing(nowNanos).toNanos();
        for (Iterator<Waiting<R>> remaining = waiting.iterator(); remaining.hasNext(); ) {
            Waiting<R> request = remaining.next();
            if (nowNanos + standingNanos - request.usefulUntilNanos() > 0) {
                remaining.remove();
                rejected.add(new Rejection<>(request.request(), Cause.TOO_LATE));
            }
        }
    }

    private void rejectBeyond(int most, List<Rejection<R>> rejected) {
        while (waiting.size() > most) {
            rejected.add(new Rejection<>(waiting.removeFirst().request(), Cause.QUEUE_FULL));
        }
    }

    private void countForDrainTime(int admitted, int rejected, long nowNanos) {
        admittedInPeriod += admitted;
        rejectedInPeriod += rejected;
        rejectedInOverload += rejected;
        if (nowNanos - periodStartNanos >= RATE_PERIOD.toNanos()) {
            double periods = (double) rejectedInPeriod / Math.max(1, admittedInPeriod);
            Duration drain = Duration.ofNanos((long) (periods * RATE_PERIOD.toNanos()));
            drainTime = drain.compareTo(MAX_DRAIN_TIME) < 0 ? drain : MAX_DRAIN_TIME;
            periodStartNanos = nowNanos;
            admittedInPeriod = 0;
            rejectedInPeriod = 0;
        }
    }

    /** The route with the least allowance decides, since all jobs share the processor. */
    private void learnTarget(Duration allowance) {
        Duration share = Duration.ofNanos((long) (allowance.toNanos() * TARGET_SHARE));
        Duration bounded = share.compareTo(MIN_TARGET) > 0 ? share : MIN_TARGET;
        if (!targetKnown || bounded.compareTo(target) < 0) {
            targetKnown = true;
            target = bounded;
        }
    }

    /** Returns how long a job may wait, so that a worker as fast as estimated still completes it before its hard deadline. */
    private static Duration longestWait(BestEffortJob job) {
        double objectiveNanos = job.estimate().toNanos() * job.route().latencyFactor()
                + job.route().latencyAllowance().toNanos();
        long hardDeadlineNanos = (long) (objectiveNanos * BestEffortTimings.HARD_DEADLINE_FACTOR);
        return Duration.ofNanos(Math.max(0, hardDeadlineNanos - job.estimate().toNanos()));
    }

    /** Follows the longest wait among the recent jobs of a route. */
    private static Duration slowlyDecreasing(Duration previous, Duration latest) {
        Duration decreased = previous.minus(previous.dividedBy(100));
        return latest.compareTo(decreased) > 0 ? latest : decreased;
    }
}
