package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.gypsumflow.command.WorkerSpeedEstimator.Sample;
import org.gypsumflow.model.MemberName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class WorkerSpeedEstimatorTest {
    private static final MemberName FAST = MemberName.of("fast");
    private static final MemberName SLOW = MemberName.of("slow");

    private WorkerSpeedEstimator speeds;
    private Random random;
    private long now;

    @BeforeMethod
    public void startWithNothingLearnt() {
        speeds = WorkerSpeedEstimator.create();
        random = new Random(1);
        now = 0;
    }

    private static Duration millis(double value) {
        return Duration.ofNanos((long) (value * 1e6));
    }

    /** A job of one task on each worker, half as long on the fast one as estimated and 1.2 times as long on the slow one. */
    private void job(double work, double estimate, double slowdown) {
        now += millis(50).toNanos();
        List<Sample> runs = List.of(
                new Sample(FAST, millis(work * 0.5 * (0.9 + 0.2 * random.nextDouble()))),
                new Sample(SLOW, millis(work * 1.2 * slowdown * (0.9 + 0.2 * random.nextDouble()))));
        speeds.recordCompletedJob(runs, millis(estimate), now);
    }

    @Test
    public void aWorkerThatOnlyGetsJobsWithLowEstimatesDoesNotLookSlowerForIt() {
        for (int count = 0; count < 300; count++) {
            job(100, 60 + 80 * random.nextDouble(), 1);
            speeds.recordCompletedJob(List.of(new Sample(SLOW, millis(120))), millis(65), now);
        }
        double ratio = speeds.slowdown(SLOW, 1, now) / speeds.slowdown(FAST, 1, now);
        assertEquals(ratio, 2.4, 0.25);
    }

    @Test
    public void slownessIsTheTimeTakenAgainstTheEstimate() {
        for (int count = 0; count < 300; count++) {
            job(100, 60 + 80 * random.nextDouble(), 1);
        }
        assertEquals(speeds.slowdown(FAST, 1, now), 0.5, 0.1);
        assertEquals(speeds.slowdown(SLOW, 1, now), 1.2, 0.2);
    }

    @Test
    public void aWorkerThatTurnsSlowIsKnownAfterAFewJobs() {
        for (int count = 0; count < 300; count++) {
            job(100, 100, 1);
        }
        double before = speeds.slowdown(SLOW, 1, now);
        for (int count = 0; count < 12; count++) {
            job(100, 100, 6);
        }
        assertTrue(speeds.slowdown(SLOW, 1, now) > 2 * before);
    }

    @Test
    public void aWorkerThatWasSlowForAWhileIsTriedAgain() {
        for (int count = 0; count < 300; count++) {
            job(100, 100, 1);
        }
        for (int count = 0; count < 12; count++) {
            job(100, 100, 6);
        }
        now += Duration.ofSeconds(6).toNanos();
        assertEquals(speeds.slowdown(SLOW, 1, now), 1.2, 0.5);
    }

    @Test
    public void whatTheAgentReportsCountsWhileNothingElseIsKnown() {
        assertEquals(speeds.slowdown(SLOW, 1.7, now), 1.7);
    }
}
