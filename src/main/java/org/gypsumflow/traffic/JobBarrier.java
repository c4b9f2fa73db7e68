package org.gypsumflow.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.model.MemberName;

/**
 * Holds jobs back at an entry that does not know which jobs its peers have, because it has just started or was paused.
 * The caller of such a job may have sent it to a peer meanwhile, which still runs it.
 *
 * <p>The barrier is down when each peer has told its jobs after it was raised. One that has ended does not; none of its
 * runs is left after the time in which any lost entry's jobs end. Confined to one executor.
 */
final class JobBarrier {
    private final Set<MemberName> told = new HashSet<>();
    private Optional<Set<MemberName>> peers = Optional.empty();
    private long raisedNanos;
    private long waitsSinceNanos;
    private boolean down;

    private JobBarrier(long nowNanos) {
        this.raisedNanos = nowNanos;
    }

    /** Creates a barrier that is up, and stays up at least until the peers are known. */
    static JobBarrier create(long nowNanos) {
        return new JobBarrier(nowNanos);
    }

    /**
     * Sets the peers that the store held when it was read first, from which time the wait counts: without the store the
     * entry knows no agents either.
     */
    void peersDiscovered(Set<MemberName> discovered, long nowNanos) {
        if (peers.isEmpty()) {
            peers = Optional.of(Set.copyOf(discovered));
            waitsSinceNanos = nowNanos;
        }
    }

    /** Raises the barrier until the given peers have told their jobs anew, and those that have not done so yet. */
    void raise(Set<MemberName> reachablePeers, long nowNanos) {
        if (down) {
            peers = Optional.of(Set.copyOf(reachablePeers));
        }
        told.clear();
        raisedNanos = nowNanos;
        waitsSinceNanos = nowNanos;
        down = false;
    }

    /** Returns the number by which replies are told from those to questions before the barrier was raised. */
    long questionNumber() {
        return raisedNanos;
    }

    /** Records that a peer has told all its jobs. */
    void jobsTold(MemberName peer, long questionNumber) {
        if (questionNumber == raisedNanos) {
            told.add(peer);
        }
    }

    /** Takes the barrier down if each peer has told its jobs or the time is over; returns whether it was up. */
    boolean takeDownIfDue(long nowNanos) {
        boolean timeOver = nowNanos - waitsSinceNanos >= BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toNanos();
        if (down || peers.isEmpty() || !(timeOver || told.containsAll(peers.get()))) {
            return false;
        }
        down = true;
        return true;
    }

    /** Returns whether each peer has told its jobs, rather than the time being over. */
    boolean areAllJobsTold() {
        return told.containsAll(peers.orElseThrow());
    }

    boolean isUp() {
        return !down;
    }

    /** Describes for the log, when the barrier was taken down, which peers have not told their jobs. */
    String describe() {
        Set<MemberName> silent = new TreeSet<>(peers.orElseThrow());
        silent.removeAll(told);
        return silent.isEmpty() ? "knows the jobs of " + told.size() + " entries" : "not heard of " + silent;
    }
}
