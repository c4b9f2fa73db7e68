package org.gypsumflow.command.balancing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.gypsumflow.command.balancing.DelegationTarget.Cause;
import org.gypsumflow.model.MemberName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class JobBalancerTest {
    private static final MemberName PEER = MemberName.of("peer");
    private static final MemberName OTHER_PEER = MemberName.of("other-peer");
    private static final Duration SHORT_WAY = Duration.ofMillis(1);
    private static final int DRAWS = 500;

    private JobBalancer balancer;
    private Random random;

    @BeforeMethod
    public void createABalancer() {
        balancer = JobBalancer.create();
        random = new Random(1);
    }

    private void measure(double busyShare, Duration delay, int times) {
        for (int index = 0; index < times; index++) {
            balancer.ownLoadMeasured(delay, busyShare);
        }
    }

    private void tell(MemberName peer, double busyShare, Duration roundTrip, boolean inOwnZone, long nowNanos) {
        balancer.loadReceived(peer, new PeerLoad(Duration.ZERO, busyShare, roundTrip, inOwnZone), nowNanos);
    }

    /** Returns the targets of many jobs; each time before, the peers tell an unchanged load. */
    private List<DelegationTarget> draw(Runnable loads, long nowNanos) {
        List<DelegationTarget> targets = new ArrayList<>();
        for (int index = 0; index < DRAWS; index++) {
            loads.run();
            balancer.choosePeer(nowNanos, random).ifPresent(targets::add);
        }
        return targets;
    }

    // Guards against an entry that gets jobs because it is too busy to measure its load in time.
    @Test
    public void anEntryWhoseTimersAreLateDoesNotLookIdle() {
        LoadMeter meter = LoadMeter.create(0);
        long nowNanos = 0;
        for (int interval = 0; interval < 5; interval++) {
            nowNanos += Duration.ofMillis(400).toNanos();
            meter.recordDelay(Duration.ofMillis(300));
            meter.completeInterval(nowNanos);
        }
        assertTrue(meter.delay().compareTo(Duration.ofMillis(200)) > 0, "delay " + meter.delay());
    }

    // Load: an entry as busy as its peers, which none of them would relieve.
    @Test
    public void anEntryThatIsNotBusyKeepsItsJobs() {
        measure(0.6, Duration.ofMillis(1), 50);
        assertEquals(draw(() -> tell(PEER, 0.1, SHORT_WAY, true, 0), 0), List.of());
    }

    // Load: the first seconds of an entry with a cold virtual machine, whose requests wait while its thread is not
    // busy.
    @Test
    public void anEntryWhoseRequestsWaitHandsMostJobsOverWithinASecond() {
        measure(0.4, Duration.ofMillis(30), 10);
        List<DelegationTarget> targets = draw(() -> tell(PEER, 0.1, SHORT_WAY, true, 0), 0);
        assertTrue(targets.size() > DRAWS * 0.8, targets.size() + " jobs");
        assertEquals(targets.get(0), new DelegationTarget(PEER, Cause.DELAY));
    }

    // Load: an entry that begins to saturate.
    @Test
    public void theShareThatIsHandedOverGrowsInStepsAndShrinksMoreSlowly() {
        measure(1.0, Duration.ZERO, 2);
        double grown = balancer.share();
        assertTrue(grown > 0.3 && grown < 0.5, "share " + grown);
        measure(0.3, Duration.ZERO, 2);
        assertTrue(balancer.share() > 0.25, "share " + balancer.share());
        measure(0.65, Duration.ZERO, 20);
        assertTrue(balancer.share() > 0.25, "share " + balancer.share());
        measure(0.3, Duration.ZERO, 20);
        assertEquals(balancer.share(), 0.0);
    }

    // Load: all entries are saturated, and a job that is handed over would come back to nobody's advantage.
    @Test
    public void aPeerThatIsBusyItselfGetsNoJobs() {
        measure(1.0, Duration.ofMillis(30), 10);
        assertEquals(draw(() -> tell(PEER, 0.7, SHORT_WAY, true, 0), 0), List.of());
        assertEquals(
                draw(
                        () -> balancer.loadReceived(PEER, new PeerLoad(Duration.ofMillis(10), 0.1, SHORT_WAY, true), 0),
                        0),
                List.of());
    }

    // Load: entries that are all as busy, whose measurements vary.
    @Test
    public void aPeerThatIsHardlyLessBusyGetsNoJobs() {
        measure(0.8, Duration.ofMillis(4), 10);
        Duration delay = Duration.ofMillis(4);
        assertEquals(
                draw(() -> balancer.loadReceived(PEER, new PeerLoad(delay, 0.6, SHORT_WAY, true), 0), 0), List.of());
    }

    // Load: a moderately busy entry, and an idle one in a distant region.
    @Test
    public void aPeerThatIsFurtherAwayThanTheGainGetsNoJobs() {
        measure(0.85, Duration.ofMillis(4), 10);
        assertEquals(draw(() -> tell(PEER, 0.1, Duration.ofMillis(40), false, 0), 0), List.of());
        assertTrue(draw(() -> tell(PEER, 0.1, SHORT_WAY, false, 0), 0).size() > 0);
    }

    // Load: a burst within the time between two loads of a peer.
    @Test
    public void aPeerGetsFewJobsUntilItTellsItsLoadAgain() {
        measure(1.0, Duration.ofMillis(30), 10);
        tell(PEER, 0.3, SHORT_WAY, true, 0);
        int jobs = draw(() -> {}, 0).size();
        assertTrue(jobs > 0 && jobs <= 8, jobs + " jobs");
    }

    // Load: a peer that was stopped or cut off tells its load no more.
    @Test
    public void aPeerWhoseLoadIsOldOrForgottenGetsNoJobs() {
        measure(1.0, Duration.ofMillis(30), 10);
        tell(PEER, 0.1, SHORT_WAY, true, 0);
        long laterNanos = JobBalancer.FRESHNESS_LIMIT.toNanos() + 1;
        assertEquals(draw(() -> {}, laterNanos), List.of());
        assertEquals(balancer.freshPeers(laterNanos), List.of());
        tell(PEER, 0.1, SHORT_WAY, true, laterNanos);
        balancer.forget(PEER);
        assertEquals(draw(() -> {}, laterNanos), List.of());
    }

    // Load: two peers that are equally idle, one of them in the zone of the entry.
    @Test
    public void ofEquallyIdlePeersTheOneInTheOwnZoneGetsMostJobs() {
        measure(1.0, Duration.ofMillis(30), 10);
        List<DelegationTarget> targets = draw(
                () -> {
                    tell(PEER, 0.3, SHORT_WAY, true, 0);
                    tell(OTHER_PEER, 0.3, SHORT_WAY, false, 0);
                },
                0);
        long inOwnZone =
                targets.stream().filter(target -> target.peer().equals(PEER)).count();
        assertTrue(inOwnZone > 0.7 * targets.size() && inOwnZone < targets.size(), inOwnZone + "/" + targets.size());
    }

    /** An entry that works jobs off at a fixed speed, on a scale of 100 ms, in which it tells its load to the others. */
    private static final class ModelEntry {
        private final MemberName name;
        private final double jobsPerStep;
        private final JobBalancer balancer = JobBalancer.create();
        private double arrived;
        private double backlog;
        private double busyShare;
        private Duration delay = Duration.ZERO;

        private ModelEntry(String name, double jobsPerStep) {
            this.name = MemberName.of(name);
            this.jobsPerStep = jobsPerStep;
        }

        private void step() {
            double work = backlog + arrived;
            double done = Math.min(jobsPerStep, work);
            arrived = 0;
            backlog = work - done;
            busyShare += 0.5 * (done / jobsPerStep - busyShare);
            delay = Duration.ofMillis((long) (100 * backlog / jobsPerStep));
            balancer.ownLoadMeasured(delay, busyShare);
        }
    }

    // Load: the platform's balancer sends every entry as many jobs, and two of eight can carry a third of the others'
    // work.
    @Test
    public void slowEntriesAreRelievedAndNoEntryOscillatesIfAllGetAsManyJobs() {
        List<ModelEntry> entries = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            entries.add(new ModelEntry("entry-" + index, index < 2 ? 6 : 18));
        }
        double costOfDelegation = 0.4;
        List<Double> sharesOfSlowEntry = new ArrayList<>();
        double longestBacklog = 0;
        for (int step = 0; step < 300; step++) {
            long nowNanos = step * 100_000_000L;
            for (ModelEntry entry : entries) {
                for (int job = 0; job < 8; job++) {
                    Optional<DelegationTarget> target = entry.balancer.choosePeer(nowNanos, random);
                    entry.arrived += target.isPresent() ? costOfDelegation : 1;
                    entries.stream()
                            .filter(peer -> target.isPresent()
                                    && peer.name.equals(target.get().peer()))
                            .forEach(peer -> peer.arrived += 1);
                }
            }
            entries.forEach(ModelEntry::step);
            if (step % 2 == 0) {
                entries.forEach(receiver -> entries.stream()
                        .filter(sender -> sender != receiver)
                        .forEach(sender -> receiver.balancer.loadReceived(
                                sender.name, new PeerLoad(sender.delay, sender.busyShare, SHORT_WAY, true), nowNanos)));
            }
            if (step >= 50) {
                sharesOfSlowEntry.add(entries.get(0).balancer.share());
                longestBacklog = Math.max(longestBacklog, entries.get(0).backlog);
            }
            assertEquals(entries.get(7).balancer.share(), 0.0, "a fast entry hands jobs over");
        }
        assertTrue(longestBacklog < 6, "backlog of " + longestBacklog + " jobs, more than 100 ms of work");
        double least = sharesOfSlowEntry.stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElseThrow();
        double most = sharesOfSlowEntry.stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElseThrow();
        assertTrue(least > 0.4 && most - least < 0.35, "share from " + least + " to " + most);
    }
}
