package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.balancing.JobBalancer;
import org.gypsumflow.command.balancing.LoadMeter;
import org.gypsumflow.command.balancing.PeerLoad;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.EntryLoad;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;

/**
 * Tells the peers the load of this entry while it or one of them runs jobs, and takes theirs. A load echoes that of its
 * receiver, which shows how long a message takes there and back.
 *
 * <p>Only peers that have said that they exchange loads get one: an older program closes the connection on which a
 * message of an unknown type arrives. Confined to one executor.
 */
final class EntryLoads {
    private static final Duration INTERVAL = Duration.ofMillis(200);
    /** The same among many entries, to limit the messages per second; several fit into the freshness limit. */
    private static final Duration INTERVAL_AMONG_MANY = Duration.ofMillis(400);

    private static final long NANOS_PER_MICRO = 1000;

    private static final class Peer {
        private final boolean inOwnZone;
        private boolean exchangesLoads;
        private OptionalInt newestMicros = OptionalInt.empty();
        private long receivedNanos;
        private boolean runsJobs;
        private Optional<Duration> shortestRoundTrip = Optional.empty();

        private Peer(boolean inOwnZone) {
            this.inOwnZone = inOwnZone;
        }
    }

    private final TimeSource time;
    private final PeerPaths paths;
    private final JobBalancer balancer;
    private final LoadMeter loadMeter;
    private final AvailabilityZone ownZone;
    private final Map<MemberName, Peer> peers = new HashMap<>();
    private OptionalLong expectedTickNanos = OptionalLong.empty();
    private long lastSentNanos;
    private boolean hasRunJobs;
    private volatile double busyShare;

    EntryLoads(TimeSource time, PeerPaths paths, JobBalancer balancer, LoadMeter loadMeter, AvailabilityZone ownZone) {
        this.time = time;
        this.paths = paths;
        this.balancer = balancer;
        this.loadMeter = loadMeter;
        this.ownZone = ownZone;
        this.lastSentNanos = time.nanoTime();
    }

    /** Adds a peer on a direct connection. */
    void peerConnected(Member member) {
        peers.put(member.name(), new Peer(member.zone().equals(ownZone)));
        balancer.forget(member.name());
    }

    /** Forgets a peer whose direct connection was lost. */
    void peerDisconnected(MemberName peer) {
        peers.remove(peer);
        balancer.forget(peer);
    }

    /** Records whether a peer exchanges loads. */
    void capabilityTold(MemberName name, boolean exchangesLoads) {
        Peer peer = peers.get(name);
        if (peer != null) {
            peer.exchangesLoads = exchangesLoads;
        }
    }

    /** Takes the load of a peer. */
    void received(MemberName name, EntryLoad load) {
        Peer peer = peers.get(name);
        if (peer == null) {
            return;
        }
        peer.newestMicros = OptionalInt.of(load.sentAtMicros());
        peer.receivedNanos = time.nanoTime();
        peer.runsJobs = load.activeJobs() > 0;
        if (load.echoedMicros().isPresent()) {
            Duration roundTrip = Duration.ofNanos(
                            (nowMicros() - load.echoedMicros().getAsInt()) * NANOS_PER_MICRO)
                    .minus(load.echoHeldFor());
            if (!roundTrip.isNegative()
                    && peer.shortestRoundTrip
                            .filter(shortest -> shortest.compareTo(roundTrip) <= 0)
                            .isEmpty()) {
                peer.shortestRoundTrip = Optional.of(roundTrip);
            }
        }
        // Without an echo the way to the peer is not known, and it gets no jobs.
        peer.shortestRoundTrip.ifPresent(roundTrip -> balancer.loadReceived(
                name, new PeerLoad(load.delay(), load.busyShare(), roundTrip, peer.inOwnZone), time.nanoTime()));
    }

    /**
     * Measures the own load, and sends it if it is due.
     *
     * @param activeJobs number of jobs that this entry runs
     * @param acceptsJobs false if no peer may hand a job over to this entry now, which then stops telling its load
     */
    void tick(int activeJobs, boolean acceptsJobs) {
        long nowNanos = time.nanoTime();
        if (expectedTickNanos.isPresent()) {
            loadMeter.recordDelay(Duration.ofNanos(nowNanos - expectedTickNanos.getAsLong()));
        }
        expectedTickNanos = OptionalLong.of(nowNanos + BestEffortTimings.REPORT_INTERVAL.toNanos());
        loadMeter.completeInterval(nowNanos);
        busyShare = loadMeter.busyShare();
        Duration delay = loadMeter.delay();
        balancer.ownLoadMeasured(delay, busyShare);
        boolean matters =
                activeJobs > 0 || hasRunJobs || peers.values().stream().anyMatch(peer -> peer.runsJobs);
        if (acceptsJobs && matters && nowNanos - lastSentNanos >= interval().toNanos()) {
            lastSentNanos = nowNanos;
            hasRunJobs = activeJobs > 0;
            peers.forEach((name, peer) -> {
                if (peer.exchangesLoads) {
                    EntryLoad load = new EntryLoad(
                            delay,
                            activeJobs,
                            busyShare,
                            nowMicros(),
                            peer.newestMicros,
                            Duration.ofNanos(peer.newestMicros.isPresent() ? nowNanos - peer.receivedNanos : 0));
                    paths.connectionTo(name).ifPresent(connection -> connection.send(load));
                }
            });
        }
    }

    /** Returns the share of the recent time that the traffic thread was busy; callable on any thread. */
    double busyShare() {
        return busyShare;
    }

    private Duration interval() {
        // Ticks are a little late; without the allowance every second one would miss its time.
        Duration interval = peers.size() < BestEffortTimings.ENTRIES_AT_FULL_RATE ? INTERVAL : INTERVAL_AMONG_MANY;
        return interval.minus(BestEffortTimings.REPORT_INTERVAL.dividedBy(2));
    }

    /** Wraps around; only differences of at most half an hour are used. */
    private int nowMicros() {
        return (int) (time.nanoTime() / NANOS_PER_MICRO);
    }
}
