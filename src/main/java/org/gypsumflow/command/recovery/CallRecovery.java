package org.gypsumflow.command.recovery;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a call to the worker counts as unanswered and is sent again.
 *
 * <p>The load it answers: for some seconds a few percent of the calls get no response and are carried out seconds later,
 * while all others are answered within milliseconds. Every call to a worker may be sent again: the worker starts a run
 * at most once under one number, and stopping or listing twice does no harm. A copy that is sent too early therefore
 * costs one call, and a worker counts as unresponsive only when several copies of a call got no response.
 *
 * <p>Time in which this process did not run does not count as silence of the worker: responses may wait unread.
 *
 * <p>Not thread-safe; the caller confines it to one thread.
 */
public final class CallRecovery {
    /** What to do about a call without a response. */
    public enum Decision {
        /** The response may still come. */
        WAIT,
        /** Send another copy. */
        REPEAT,
        /** The worker does not respond. */
        GIVE_UP
    }

    /** Time after which a call is given up, besides the time that the worker may wait before it responds. */
    public static final Duration GIVE_UP_AFTER = Duration.ofMillis(400);
    /** Number of copies after which a call is not sent again; with 5 % unanswered, one in 160,000 calls needs more. */
    private static final int MAX_COPIES = 4;
    /** Shortest time to wait for a response: a process with a share of a core is delayed by this much at times. */
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(30);
    /** Longest time to wait for the first response, so that a second copy gets its chance before the call is given up. */
    private static final Duration MAX_TIMEOUT = Duration.ofMillis(200);
    /** A check that comes later than this shows that this process was delayed, and decides nothing. */
    private static final Duration MAX_CHECK_DELAY = Duration.ofMillis(10);
    /** Time for reading what arrived while this process was delayed. */
    private static final Duration CHECK_AGAIN_AFTER = Duration.ofMillis(10);
    /** Time since the last unanswered call for which more of them are expected. */
    private static final Duration LOSS_MEMORY = Duration.ofSeconds(3);
    /**
     * Longest time that the worker may delay a listing while calls are lost: the loss of a listing hides the ends of runs
     * for this time and the timeout.
     */
    private static final Duration LISTING_DELAY_UNDER_LOSS = Duration.ofMillis(50);

    private final ResponseTimes responseTimes = ResponseTimes.between(MIN_TIMEOUT, MAX_TIMEOUT);
    private final Set<PendingCall> pending = new LinkedHashSet<>();
    private long checkDueNanos;
    private boolean checkScheduled;
    private boolean checkedAgain;
    private boolean lossSeen;
    private long lastLossNanos;

    private CallRecovery() {}

    /**
     * Creates a recovery without pending calls and without measured response times.
     *
     * @return the recovery
     */
    public static CallRecovery create() {
        return new CallRecovery();
    }

    /**
     * Records that a call is sent.
     *
     * @param kind what the call does
     * @param maxWait how long the worker may wait before it responds
     * @param nowNanos current monotonic time
     * @return the call, pending until {@link #ended}
     */
    public PendingCall sent(CallKind kind, Duration maxWait, long nowNanos) {
        PendingCall call = new PendingCall(kind, maxWait, nowNanos);
        pending.add(call);
        return call;
    }

    /**
     * Records that another copy of a call is sent.
     *
     * @param call the call
     * @param nowNanos current monotonic time
     */
    public void repeated(PendingCall call, long nowNanos) {
        call.repeated(nowNanos);
    }

    /**
     * Records the response to a copy of a call, pending or not.
     *
     * @param call the call
     * @param copy number of the copy, from 1
     * @param elapsed time from sending the copy to reading its response
     * @param nowNanos current monotonic time
     * @return true if the call was pending and an earlier copy is still without a response, so that it counts as lost
     */
    public boolean answered(PendingCall call, int copy, Duration elapsed, long nowNanos) {
        if (copy > 1 || call.maxWait().isZero()) {
            responseTimes.record(elapsed);
        }
        boolean overtook = copy > 1 && pending.contains(call);
        if (overtook) {
            lossSeen = true;
            lastLossNanos = nowNanos;
        }
        return overtook;
    }

    /**
     * Records that a call has a result and needs no more attention.
     *
     * @param call the call
     */
    public void ended(PendingCall call) {
        pending.remove(call);
    }

    /**
     * Returns the time until the next check, and expects the caller to check then.
     *
     * @param nowNanos current monotonic time
     * @return the time, or empty if no call is pending or a check is to come already
     */
    public Optional<Duration> scheduleCheck(long nowNanos) {
        if (checkScheduled || pending.isEmpty()) {
            return Optional.empty();
        }
        long dueNanos = pending.stream()
                .mapToLong(call -> dueNanos(call, nowNanos))
                .min()
                .orElseThrow();
        return Optional.of(scheduleCheckAt(Math.max(dueNanos, nowNanos + MIN_TIMEOUT.toNanos() / 2), nowNanos));
    }

    /**
     * Returns whether pending calls are to be decided on now; not if the check comes late, since responses may wait
     * unread.
     *
     * @param nowNanos current monotonic time
     * @return true if {@link #decide} is to be called for each pending call
     */
    public boolean check(long nowNanos) {
        checkScheduled = false;
        boolean late = nowNanos - checkDueNanos > MAX_CHECK_DELAY.toNanos();
        // A process that is always late must repeat its calls as well.
        checkedAgain = late && !checkedAgain;
        return !checkedAgain;
    }

    /**
     * Returns the time until the check that follows one that came late.
     *
     * @param nowNanos current monotonic time
     * @return the time, or empty if the last check was not late
     */
    public Optional<Duration> scheduleCheckAgain(long nowNanos) {
        return checkedAgain
                ? Optional.of(scheduleCheckAt(nowNanos + CHECK_AGAIN_AFTER.toNanos(), nowNanos))
                : Optional.empty();
    }

    /**
     * Decides on a pending call.
     *
     * @param call the call
     * @param nowNanos current monotonic time
     * @return what to do
     */
    public Decision decide(PendingCall call, long nowNanos) {
        if (!call.isRepeatable() || nowNanos - dueNanos(call, nowNanos) < 0) {
            return Decision.WAIT;
        }
        if (isGivenUp(call, nowNanos)) {
            return Decision.GIVE_UP;
        }
        return call.copies() < MAX_COPIES ? Decision.REPEAT : Decision.WAIT;
    }

    /**
     * Decides on a pending call none of whose copies can get a response any more, because their connections failed.
     *
     * @param call the call
     * @param nowNanos current monotonic time
     * @return whether to repeat the call at once or to give it up
     */
    public Decision decideAfterFailure(PendingCall call, long nowNanos) {
        boolean repeat = call.isRepeatable() && call.copies() < MAX_COPIES && !isGivenUp(call, nowNanos);
        return repeat ? Decision.REPEAT : Decision.GIVE_UP;
    }

    /**
     * Returns how long the worker may delay its next listing.
     *
     * @param wanted the time while no calls are lost
     * @param nowNanos current monotonic time
     * @return that time, or a shorter one
     */
    public Duration listingDelay(Duration wanted, long nowNanos) {
        return isUnderLoss(nowNanos) && wanted.compareTo(LISTING_DELAY_UNDER_LOSS) > 0
                ? LISTING_DELAY_UNDER_LOSS
                : wanted;
    }

    private Duration scheduleCheckAt(long dueNanos, long nowNanos) {
        checkScheduled = true;
        checkDueNanos = dueNanos;
        return Duration.ofNanos(dueNanos - nowNanos);
    }

    private boolean isUnderLoss(long nowNanos) {
        return lossSeen && nowNanos - lastLossNanos < LOSS_MEMORY.toNanos();
    }

    /** A call is not given up before a second copy had its time: the process may have been paused after the first. */
    private static boolean isGivenUp(PendingCall call, long nowNanos) {
        return call.copies() > 1 && call.age(nowNanos).compareTo(GIVE_UP_AFTER.plus(call.maxWait())) >= 0;
    }

    /**
     * Returns the time at which the last copy of a call is overdue, or the call is given up. Each copy gets twice the time
     * of the one before.
     */
    private long dueNanos(PendingCall call, long nowNanos) {
        long timeoutNanos = responseTimes.timeout().toNanos();
        if (call.copies() == 1) {
            return call.sentNanos() + listingDelay(call.maxWait(), nowNanos).toNanos() + timeoutNanos;
        }
        long repeatNanos = call.lastSentNanos() + (timeoutNanos << (call.copies() - 1));
        long giveUpNanos = Math.max(
                call.sentNanos() + GIVE_UP_AFTER.plus(call.maxWait()).toNanos(), call.lastSentNanos() + timeoutNanos);
        return Math.min(repeatNanos, giveUpNanos);
    }
}
