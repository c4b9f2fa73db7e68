package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.gypsumflow.command.WorkerSpeedEstimator.Sample;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.ServiceName;
import org.testng.annotations.Test;

public final class WorkerCapacityTrackerTest {
    private static final MemberName FIRST = MemberName.of("a");
    private static final MemberName SECOND = MemberName.of("b");
    private static final Resources TASK = Resources.of(1000, 10, 0);

    private static WorkerStatus status(int freeMillicores) {
        Resources free = Resources.of(freeMillicores, 100, 0);
        return new WorkerStatus(
                true, "service", "zone", free, free, free, Resources.NONE, Duration.ofMillis(200), 1, 0, 0, 0);
    }

    private static WorkerCapacityTracker.Candidate candidate(WorkerCapacityTracker tracker, long nowNanos) {
        return tracker.candidates(ServiceName.of("service"), nowNanos).stream()
                .filter(candidate -> candidate.agent().equals(FIRST))
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void aCandidateShowsWhatChangedAtTheSameTime() {
        WorkerCapacityTracker tracker = WorkerCapacityTracker.create();
        tracker.updateWorker(FIRST, status(4000));
        tracker.updateWorker(SECOND, status(4000));
        assertEquals(candidate(tracker, 0).uncommitted().cpuMillicores(), 4000);
        tracker.recordAssignment(FIRST, TASK);
        assertEquals(candidate(tracker, 0).uncommitted().cpuMillicores(), 3000);
        tracker.releaseAssignment(FIRST, TASK);
        assertEquals(candidate(tracker, 0).uncommitted().cpuMillicores(), 4000);
        tracker.updateWorker(FIRST, status(2000));
        assertEquals(candidate(tracker, 0).uncommitted().cpuMillicores(), 2000);
        double slowdown = candidate(tracker, 0).slowdown();
        tracker.recordCompletedJob(
                List.of(new Sample(FIRST, Duration.ofMillis(400)), new Sample(SECOND, Duration.ofMillis(100))),
                Duration.ofMillis(100),
                0);
        assertTrue(candidate(tracker, 0).slowdown() > slowdown);
    }

    @Test
    public void aSlowWorkerRecoversInTheCandidatesOfLaterTimes() {
        WorkerCapacityTracker tracker = WorkerCapacityTracker.create();
        tracker.updateWorker(FIRST, status(4000));
        for (int job = 0; job < 100; job++) {
            long firstRunMillis = job < 95 ? 100 : 400;
            tracker.recordCompletedJob(
                    List.of(
                            new Sample(FIRST, Duration.ofMillis(firstRunMillis)),
                            new Sample(SECOND, Duration.ofMillis(100))),
                    Duration.ofMillis(100),
                    0);
        }
        double slowdown = candidate(tracker, 0).slowdown();
        assertTrue(candidate(tracker, Duration.ofSeconds(3).toNanos()).slowdown() < slowdown);
    }
}
