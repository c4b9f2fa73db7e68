package org.gypsumflow.command.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.gypsumflow.command.admission.AdmissionControl.Cause;
import org.gypsumflow.command.admission.AdmissionControl.Rejection;
import org.gypsumflow.command.admission.AdmissionControl.Turn;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class AdmissionControlTest {
    private static final Duration ESTIMATE = Duration.ofMillis(100);
    /** Latency allowance of 60 ms and six tenths of the estimate. */
    private static final long SLACK_MILLIS = 120;
    /** Three times the latency objective of 220 ms, less the estimate. */
    private static final long LONGEST_WAIT_MILLIS = 560;

    private static final Route ROUTE = new Route(
            RouteName.of("r"), "", "/", ServiceName.of("s"), 0, 2, 1.6, Duration.ofMillis(60), Duration.ofSeconds(2));

    private final Set<Integer> abandoned = new HashSet<>();
    private AdmissionControl<Integer> control;
    private long nowMillis;

    @BeforeMethod
    public void createControlOfAnIdleEntry() {
        abandoned.clear();
        nowMillis = 0;
        control = AdmissionControl.create(abandoned::contains, nanos());
    }

    private long nanos() {
        return Duration.ofMillis(nowMillis).toNanos();
    }

    private static BestEffortJob job(int number) {
        JobId id = JobId.of(String.format("%016x", number));
        return new BestEffortJob(id, ROUTE, 1, "", 1, Resources.of(1000, 10, 0), ESTIMATE);
    }

    private void add(int number) {
        control.add(number, job(number), nanos());
    }

    private Turn<Integer> takeTurn(int activeJobs) {
        return control.takeTurn(activeJobs, nanos());
    }

    /** Passes two intervals, in which everything is done with a delay. */
    private void passIntervalsWithDelay(long delayMillis, int activeJobs) {
        for (int step = 0; step < 5; step++) {
            nowMillis += 50;
            control.recordDelay(Duration.ofMillis(delayMillis), activeJobs, nanos());
        }
    }

    private void overload() {
        add(0);
        takeTurn(0);
        passIntervalsWithDelay(50, 100);
        assertTrue(control.isOverloaded());
    }

    // Load: a burst of 500 jobs at an entry that keeps up.
    @Test
    public void aBurstAtAnEntryThatKeepsUpIsTakenOnInTheOrderOfArrivalAndNobodyIsRejected() {
        for (int number = 0; number < 500; number++) {
            add(number);
        }
        List<Integer> admitted = new ArrayList<>();
        while (control.hasWaiting()) {
            nowMillis++;
            Turn<Integer> turn = takeTurn(admitted.size());
            assertTrue(turn.admitted().size() <= AdmissionControl.REQUESTS_PER_TURN);
            assertEquals(turn.rejected(), List.of());
            admitted.addAll(turn.admitted());
        }
        assertEquals(admitted, IntStream.range(0, 500).boxed().toList());
    }

    // Load: one delay in an interval of otherwise prompt work, such as a collection of garbage.
    @Test
    public void aBriefDelayIsNoOverload() {
        add(0);
        control.recordDelay(Duration.ofMillis(80), 10, nanos());
        passIntervalsWithDelay(1, 10);
        assertFalse(control.isOverloaded());
        assertEquals(control.limit(), Integer.MAX_VALUE);
    }

    // Load: an entry that is held up for several intervals at a time.
    @Test
    public void delaysLongerThanAnIntervalAreAnOverload() {
        add(0);
        for (int step = 0; step < 3; step++) {
            nowMillis += 350;
            control.recordDelay(Duration.ofMillis(300), 10, nanos());
        }
        assertTrue(control.isOverloaded());
        assertEquals(control.standingDelay(nanos()), Duration.ofMillis(300));
    }

    // Load: twice as many jobs as the entry can carry. Each turn takes 40 ms, in which two jobs arrive.
    @Test
    public void underExcessTheNewestAreTakenOnInTimeAndTheOldestRejected() {
        overload();
        int next = 1;
        int inTime = 0;
        int late = 0;
        List<Long> arrivals = new ArrayList<>(List.of(0L));
        for (int turnNumber = 0; turnNumber < 50; turnNumber++) {
            for (int arrival = 0; arrival < 2; arrival++) {
                arrivals.add(nowMillis);
                add(next++);
            }
            Turn<Integer> turn = takeTurn(0);
            for (int number : turn.admitted()) {
                if (nowMillis - arrivals.get(number) <= SLACK_MILLIS) {
                    inTime++;
                } else {
                    late++;
                }
            }
            nowMillis += 40;
            control.recordDelay(Duration.ofMillis(40), 100, nanos());
        }
        assertEquals(late, 0);
        assertEquals(inTime, 50 * AdmissionControl.REQUESTS_PER_TURN_OVERLOADED);
    }

    // Load: callers that have gone while their requests waited.
    @Test
    public void aRequestThatNobodyWaitsForIsDropped() {
        add(1);
        add(2);
        abandoned.add(1);
        assertEquals(takeTurn(0).admitted(), List.of(2));
    }

    // Load: an overload that ends while late requests wait.
    @Test
    public void lateRequestsAreTakenOnOnceTheDelayIsLow() {
        overload();
        add(1);
        nowMillis += LONGEST_WAIT_MILLIS + 100;
        passIntervalsWithDelay(5, 0);
        Turn<Integer> turn = takeTurn(0);
        assertEquals(turn.rejected(), List.of());
        assertEquals(turn.admitted(), List.of(1));
    }

    // Load: a steady excess that waits for its turn while what arrives is looked at promptly. Guards against callers
    // that
    // got no response: newer requests went first, and the older ones were not rejected either.
    @Test
    public void aLateRequestBehindNewerOnesIsRejectedAlthoughTheDelayIsLow() {
        overload();
        passIntervalsWithDelay(1, 0);
        add(1);
        nowMillis += LONGEST_WAIT_MILLIS + 1;
        add(2);
        Turn<Integer> turn = takeTurn(0);
        assertEquals(turn.admitted(), List.of(2));
        assertEquals(turn.rejected(), List.of(new Rejection<>(1, Cause.TOO_LATE)));
    }

    // Load: more jobs than an overloaded entry can have at a time, then fewer.
    @Test
    public void theLimitFallsBelowTheActiveJobsWhileLateAndGrowsWhileItBinds() {
        overload();
        int limit = control.limit();
        assertEquals(limit, 80);
        passIntervalsWithDelay(20, limit);
        add(1);
        assertEquals(takeTurn(limit), new Turn<>(List.of(), List.of(), true));
        passIntervalsWithDelay(20, limit);
        assertTrue(control.limit() > limit);
        passIntervalsWithDelay(1, limit);
        for (int interval = 0; interval < 6; interval++) {
            passIntervalsWithDelay(1, limit);
        }
        assertFalse(control.isOverloaded());
        assertEquals(control.limit(), Integer.MAX_VALUE);
    }

    // Load: the delay of jobs that were taken on before, while no more are taken on.
    @Test
    public void theLimitDoesNotFallWhileNothingIsTakenOn() {
        overload();
        passIntervalsWithDelay(50, 70);
        assertEquals(control.limit(), 80);
    }

    // Load: three times as many callers as the entry can serve.
    @Test
    public void rejectedCallersReturnSpreadOverTheTimeInWhichTheExcessDrains() {
        overload();
        for (int number = 1; number <= 32; number++) {
            add(number);
        }
        for (int admitted = 0; admitted < 8; admitted++) {
            takeTurn(0);
        }
        nowMillis += LONGEST_WAIT_MILLIS + 1;
        assertEquals(takeTurn(0).rejected().size(), 23);
        nowMillis += 1000;
        takeTurn(0);
        Set<Duration> returns = new HashSet<>();
        for (int number = 0; number < 50; number++) {
            Duration retryAfter = control.retryAfter(job(number).id());
            assertTrue(retryAfter.compareTo(Duration.ofSeconds(1)) >= 0);
            assertTrue(retryAfter.compareTo(Duration.ofSeconds(4)) < 0, retryAfter.toString());
            returns.add(retryAfter.truncatedTo(ChronoUnit.SECONDS));
        }
        assertEquals(returns.size(), 3);
    }
}
