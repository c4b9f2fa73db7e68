package org.gypsumflow.command.balancing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.gypsumflow.command.balancing.DelegationTarget.Cause;
import org.gypsumflow.model.MemberName;

/**
 * Decides which jobs of an entry run at a peer. The platform's balancer fills entries whatever their size: a small one
 * may have more work than its processor carries while others have time to spare.
 *
 * <p>The share of jobs that it hands over follows the own load slowly in both directions, so that it settles where the
 * entry keeps what it can carry. Each such job goes to the better of two peers drawn at random, if that peer is expected
 * to act on it sooner even after the way there and back. Confined to one thread.
 */
public final class JobBalancer {
    /** A load that was told longer ago is not known any more. */
    public static final Duration FRESHNESS_LIMIT = Duration.ofSeconds(1);

    /** Delay from which callers with an allowance of some 50 ms notice it. */
    private static final Duration HIGH_DELAY = Duration.ofMillis(8);
    /** Delay up to which the share may shrink. */
    private static final Duration LOW_DELAY = Duration.ofMillis(4);
    /** Delay above {@link #HIGH_DELAY} at which the share grows at its full rate. */
    private static final Duration DELAY_RANGE = Duration.ofMillis(20);

    private static final double HIGH_BUSY_SHARE = 0.7;
    private static final double LOW_BUSY_SHARE = 0.6;
    /** A peer that is busier than this gets no jobs: it would have to hand over some itself. */
    private static final double MAX_PEER_BUSY_SHARE = 0.65;

    private static final double MAX_GROWTH = 0.2;
    private static final double DECAY = 0.05;
    /** The rest shows whether the load goes on. */
    private static final double MAX_SHARE = 0.9;

    /** Mean processor time of a job at an entry, from which the wait at a busy one is estimated. */
    private static final Duration HANDLING_TIME = Duration.ofMillis(2);
    /** Measured delays vary; entries that are equally busy must not hand jobs over to each other. */
    private static final double MIN_RATIO_OF_DELAYS = 1.5;
    /** Least gain beyond the way there and back, for the work of handing a job over. */
    private static final Duration MIN_GAIN = Duration.ofMillis(1);
    /** What bytes between zones cost, as a delay: decides between peers that are otherwise equal. */
    private static final Duration OTHER_ZONE_PENALTY = Duration.ofMillis(1);
    /** Number of jobs that an idle peer gets until it tells its load again. */
    private static final int MAX_JOBS_PER_LOAD = 8;

    private static final class Peer {
        private PeerLoad load;
        private long toldNanos;
        private int jobsSince;
    }

    private final Map<MemberName, Peer> peers = new TreeMap<>();
    private Duration ownDelay = Duration.ZERO;
    private double ownBusyShare;
    private double share;

    private JobBalancer() {}

    /**
     * Creates a balancer that knows no peers.
     *
     * @return the balancer
     */
    public static JobBalancer create() {
        return new JobBalancer();
    }

    /**
     * Updates the own load, and with it the share of jobs to hand over; called at a fixed interval.
     *
     * @param delay time that requests wait in this process until it acts on them
     * @param busyShare share of the recent time that this process was busy, from 0.0 to 1.0
     */
    public void ownLoadMeasured(Duration delay, double busyShare) {
        ownDelay = delay;
        ownBusyShare = busyShare;
        double excess = Math.max(
                (busyShare - HIGH_BUSY_SHARE) / (1 - HIGH_BUSY_SHARE),
                (double) delay.minus(HIGH_DELAY).toNanos() / DELAY_RANGE.toNanos());
        if (excess > 0) {
            share = Math.min(MAX_SHARE, share + MAX_GROWTH * Math.min(1.0, excess));
        } else if (busyShare < LOW_BUSY_SHARE && delay.compareTo(LOW_DELAY) < 0) {
            share = Math.max(0, share - DECAY);
        }
    }

    /**
     * Records the load that a peer has told.
     *
     * @param peer the peer
     * @param load its load
     * @param nowNanos current monotonic time
     */
    public void loadReceived(MemberName peer, PeerLoad load, long nowNanos) {
        Peer state = peers.computeIfAbsent(peer, absent -> new Peer());
        state.load = load;
        state.toldNanos = nowNanos;
        state.jobsSince = 0;
    }

    /**
     * Forgets the load of a peer that was lost or does not take a job, until it tells it again.
     *
     * @param peer the peer
     */
    public void forget(MemberName peer) {
        peers.remove(peer);
    }

    /**
     * Returns the peers that have told their load recently.
     *
     * @param nowNanos current monotonic time
     * @return their names, in order
     */
    public List<MemberName> freshPeers(long nowNanos) {
        return peers.entrySet().stream()
                .filter(peer -> isFresh(peer.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Chooses the peer that runs a job, and counts the job as handed over to it.
     *
     * @param nowNanos current monotonic time
     * @param random decides which share of the jobs is handed over, and draws two peers
     * @return the peer, or empty if this entry runs the job
     */
    public Optional<DelegationTarget> choosePeer(long nowNanos, RandomGenerator random) {
        if (share == 0 || random.nextDouble() >= share) {
            return Optional.empty();
        }
        List<MemberName> candidates = peers.entrySet().stream()
                .filter(peer -> takesJobs(peer.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        MemberName first = candidates.get(random.nextInt(candidates.size()));
        MemberName second = candidates.get(random.nextInt(candidates.size()));
        MemberName better = cost(second).compareTo(cost(first)) < 0 ? second : first;
        Duration ownCost = expectedDelay(ownDelay, ownBusyShare).minus(MIN_GAIN);
        if (MIN_RATIO_OF_DELAYS * cost(better).toNanos() >= ownCost.toNanos()) {
            return Optional.empty();
        }
        peers.get(better).jobsSince++;
        return Optional.of(new DelegationTarget(better, ownDelay.compareTo(HIGH_DELAY) > 0 ? Cause.DELAY : Cause.BUSY));
    }

    /**
     * Returns the share of jobs that this entry hands over as long as peers take them.
     *
     * @return the share, from 0.0 to 1.0
     */
    public double share() {
        return share;
    }

    private static boolean isFresh(Peer peer, long nowNanos) {
        return nowNanos - peer.toldNanos <= FRESHNESS_LIMIT.toNanos();
    }

    private static boolean takesJobs(Peer peer, long nowNanos) {
        double spareShare = (MAX_PEER_BUSY_SHARE - peer.load.busyShare()) / MAX_PEER_BUSY_SHARE;
        return isFresh(peer, nowNanos)
                && spareShare > 0
                && peer.load.delay().compareTo(LOW_DELAY) <= 0
                && peer.jobsSince < Math.ceil(MAX_JOBS_PER_LOAD * spareShare);
    }

    private Duration cost(MemberName name) {
        PeerLoad load = peers.get(name).load;
        return expectedDelay(load.delay(), load.busyShare())
                .plus(load.roundTrip())
                .plus(load.inOwnZone() ? Duration.ZERO : OTHER_ZONE_PENALTY);
    }

    /** Adds to the measured delay the mean wait for a server that is as busy. */
    private static Duration expectedDelay(Duration delay, double busyShare) {
        double waitingFactor = busyShare / Math.max(0.05, 1 - busyShare);
        return delay.plusNanos((long) (HANDLING_TIME.toNanos() * waitingFactor));
    }
}
