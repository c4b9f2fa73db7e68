package org.gypsumflow.command.sharing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class CapacitySharesTest {
    private static final BestEffortJob HIGH = job("high", 0, 8, 73);
    private static final BestEffortJob LOW = job("low", 1, 2, 292);

    private final List<Event> events = new ArrayList<>();
    private final Set<String> labels = new TreeSet<>();
    private CapacityShares shares;
    private long nowNanos;

    @BeforeMethod
    public void startWithoutDemand() {
        events.clear();
        labels.clear();
        nowNanos = 0;
        shares = CapacityShares.create(
                AvailabilityZone.of("zone"),
                (event, details) -> events.add(event),
                (decision, cause) -> labels.add(cause));
    }

    private static BestEffortJob job(String route, int priority, int taskCount, long estimateMillis) {
        return new BestEffortJob(
                JobId.of("00000000000000aa"),
                new Route(
                        RouteName.of(route),
                        "",
                        "/",
                        ServiceName.of("service"),
                        priority,
                        2,
                        1.6,
                        Duration.ofMillis(60),
                        Duration.ofSeconds(2)),
                1,
                "text",
                taskCount,
                Resources.of(1300, 64, 0),
                Duration.ofMillis(estimateMillis));
    }

    private void advance(Duration time) {
        nowNanos += time.toNanos();
        shares.tick(nowNanos);
    }

    /** Lets one job arrive every 10 ms, of which every so many get capacity; 0 if none does. */
    private void load(BestEffortJob job, Duration time, int grantedOneIn) {
        for (int arrival = 1; arrival <= time.toMillis() / 10; arrival++) {
            advance(Duration.ofMillis(10));
            arrive(job, grantedOneIn > 0 && arrival % grantedOneIn == 0);
        }
    }

    private void arrive(BestEffortJob job, boolean granted) {
        shares.asked(job, nowNanos);
        if (granted) {
            shares.granted(job, nowNanos);
        } else {
            shares.delayed(job, nowNanos);
        }
    }

    /** Both kinds ask for the same amount; all capacity goes to the low one, which is half of what both ask for. */
    private void starveTheHighKind(Duration time) {
        for (int arrival = 1; arrival <= time.toMillis() / 10; arrival++) {
            advance(Duration.ofMillis(10));
            arrive(LOW, true);
            arrive(HIGH, false);
        }
    }

    @Test
    public void oneKindAloneNeverYieldsHoweverShortCapacityIs() {
        load(LOW, Duration.ofSeconds(3), 2);
        assertFalse(shares.isOverShare(LOW, nowNanos));
        assertEquals(shares.reservedShare(LOW, nowNanos), 0.0);
    }

    @Test
    public void nobodyYieldsWhileCapacitySufficesForAll() {
        load(LOW, Duration.ofSeconds(3), 1);
        arrive(HIGH, true);
        assertFalse(shares.isOverShare(LOW, nowNanos));
        assertTrue(events.isEmpty());
    }

    @Test
    public void aBurstingKindYieldsToTheOneThatGetsLessThanItsPart() {
        starveTheHighKind(Duration.ofSeconds(2));
        assertTrue(shares.isOverShare(LOW, nowNanos));
        assertFalse(shares.isOverShare(HIGH, nowNanos));
        assertTrue(shares.weightedGrant(HIGH, nowNanos) < shares.weightedGrant(LOW, nowNanos));
    }

    @Test
    public void whatWasLentIsTakenBackWithinAFractionOfASecondAfterItsOwnerAsks() {
        load(LOW, Duration.ofSeconds(3), 1);
        starveTheHighKind(Duration.ofMillis(400));
        assertTrue(shares.isOverShare(LOW, nowNanos));
    }

    @Test
    public void aKindLeavesAtMostHalfOfAWorkerToOthersAndNothingSoonAfterTheyStopAsking() {
        starveTheHighKind(Duration.ofSeconds(5));
        assertTrue(shares.reservedShare(LOW, nowNanos) > 0);
        assertTrue(shares.reservedShare(LOW, nowNanos) <= CapacityShares.MAX_RESERVED_SHARE);
        load(LOW, Duration.ofSeconds(2), 1);
        assertEquals(shares.reservedShare(LOW, nowNanos), 0.0);
    }

    @Test
    public void aRejectedCallerIsToldToWaitForLongerTheLessItsShareGets() {
        load(LOW, Duration.ofSeconds(3), 4);
        Duration afterAQuarter = shares.retryAfter(LOW, nowNanos);
        load(LOW, Duration.ofSeconds(3), 0);
        assertEquals(afterAQuarter, Duration.ofSeconds(3));
        assertEquals(shares.retryAfter(LOW, nowNanos), CapacityShares.MAX_RETRY_AFTER);
    }

    @Test
    public void aRejectedCallerComesBackSoonWhenCapacityIsNotShort() {
        load(LOW, Duration.ofSeconds(1), 1);
        assertEquals(shares.retryAfter(LOW, nowNanos), CapacityShares.MIN_RETRY_AFTER);
    }

    @Test
    public void eachShortageIsLoggedOnceWhenItBeginsAndOnceWhenItHasEnded() {
        load(LOW, Duration.ofSeconds(3), 2);
        load(LOW, Duration.ofSeconds(5), 1);
        assertEquals(events, List.of(Event.CAPACITY_SHORT, Event.CAPACITY_SUFFICIENT));
    }

    @Test
    public void theNumberOfLabelsIsBoundedHoweverManyRoutesThereAre() {
        for (int route = 0; route < 100; route++) {
            shares.asked(job("route-" + route, 0, 1, 10), nowNanos);
        }
        assertEquals(labels.size(), 17);
    }

    @Test
    public void sharesThatNobodyAsksForAreForgotten() {
        load(LOW, Duration.ofSeconds(1), 1);
        assertEquals(shares.statuses(nowNanos).size(), 1);
        advance(Duration.ofMinutes(1));
        assertTrue(shares.statuses(nowNanos).isEmpty());
    }
}
