package org.gypsumflow.command;

import static org.gypsumflow.model.BestEffortMessage.RunSurroundings.UNKNOWN;
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

    private WorkerSpeedEstimator estimator;
    private Random random;
    private long nowNanos;

    @BeforeMethod
    public void startWithoutRuns() {
        estimator = WorkerSpeedEstimator.create();
        random = new Random(1);
        nowNanos = 0;
    }

    private static Duration millis(double value) {
        return Duration.ofNanos((long) (value * 1e6));
    }

    /** Records a job of one task on each worker: 0.5 times the work on the fast one, 1.2 on the slow one, +-10 %. */
    private void recordJob(double workMillis, double estimateMillis, double slowdown) {
        nowNanos += millis(50).toNanos();
        List<Sample> runs = List.of(
                new Sample(FAST, millis(workMillis * 0.5 * (0.9 + 0.2 * random.nextDouble())), UNKNOWN),
                new Sample(SLOW, millis(workMillis * 1.2 * slowdown * (0.9 + 0.2 * random.nextDouble())), UNKNOWN));
        estimator.recordCompletedJob(runs, millis(estimateMillis), nowNanos);
    }

    @Test
    public void aWorkerThatOnlyGetsJobsWithLowEstimatesDoesNotLookSlower() {
        for (int count = 0; count < 300; count++) {
            recordJob(100, 60 + 80 * random.nextDouble(), 1);
            estimator.recordCompletedJob(List.of(new Sample(SLOW, millis(120), UNKNOWN)), millis(65), nowNanos);
        }
        double ratio = estimator.slowdown(SLOW, 1, nowNanos) / estimator.slowdown(FAST, 1, nowNanos);
        assertEquals(ratio, 2.4, 0.25);
    }

    @Test
    public void slowdownIsTheRunDurationAsAMultipleOfTheEstimate() {
        for (int count = 0; count < 300; count++) {
            recordJob(100, 60 + 80 * random.nextDouble(), 1);
        }
        assertEquals(estimator.slowdown(FAST, 1, nowNanos), 0.5, 0.1);
        assertEquals(estimator.slowdown(SLOW, 1, nowNanos), 1.2, 0.2);
    }

    @Test
    public void aWorkerThatBecomesSlowIsDetectedWithinAFewJobs() {
        for (int count = 0; count < 300; count++) {
            recordJob(100, 100, 1);
        }
        double slowdownBefore = estimator.slowdown(SLOW, 1, nowNanos);
        for (int count = 0; count < 12; count++) {
            recordJob(100, 100, 6);
        }
        assertTrue(estimator.slowdown(SLOW, 1, nowNanos) > 2 * slowdownBefore);
    }

    @Test
    public void aWorkerThatWasTemporarilySlowRecoversItsUsualSlowdown() {
        for (int count = 0; count < 300; count++) {
            recordJob(100, 100, 1);
        }
        for (int count = 0; count < 12; count++) {
            recordJob(100, 100, 6);
        }
        nowNanos += Duration.ofSeconds(6).toNanos();
        assertEquals(estimator.slowdown(SLOW, 1, nowNanos), 1.2, 0.5);
    }

    @Test
    public void theReportedSlowdownIsUsedWhileTheEntryHasNoRunsOfTheWorker() {
        assertEquals(estimator.slowdown(SLOW, 1.7, nowNanos), 1.7);
    }
}
