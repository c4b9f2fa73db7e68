package org.gypsumflow.command;

import static org.gypsumflow.model.BestEffortMessage.RunSurroundings.UNKNOWN;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.gypsumflow.command.WorkerSpeedEstimator.Sample;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.ServiceName;
import org.testng.annotations.Test;

public final class WorkerCapacityTrackerTest {
    private static final MemberName FIRST = MemberName.of("a");
    private static final MemberName SECOND = MemberName.of("b");
    private static final Resources TASK = Resources.of(1000, 10, 0);
    private static final RouteName ROUTE = RouteName.of("route");
    private static final BestEffortJob JOB = new BestEffortJob(
            JobId.of("00000000000000b1"),
            new Route(ROUTE, "host", "/", ServiceName.of("service"), 0, 1, 1, Duration.ZERO, Duration.ZERO),
            1,
            "text",
            1,
            TASK,
            Duration.ofMillis(100));

    private static WorkerStatus status(int freeMillicores) {
        Resources free = Resources.of(freeMillicores, 100, 0);
        return new WorkerStatus(
                true, "service", "zone", free, free, free, Resources.NONE, Duration.ofMillis(200), 1, 0, 0, 0);
    }

    private static WorkerCapacityTracker.Candidate candidate(WorkerCapacityTracker tracker, long nowNanos) {
        return tracker.candidates(JOB, nowNanos).stream()
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
        tracker.recordAssignment(FIRST, ROUTE, TASK);
        assertEquals(candidate(tracker, 0).uncommitted().cpuMillicores(), 3000);
        tracker.releaseAssignment(FIRST, ROUTE, TASK);
        assertEquals(candidate(tracker, 0).uncommitted().cpuMillicores(), 4000);
        tracker.updateWorker(FIRST, status(2000));
        assertEquals(candidate(tracker, 0).uncommitted().cpuMillicores(), 2000);
        double slowdown = candidate(tracker, 0).slowdown();
        tracker.recordCompletedJob(
                ROUTE,
                List.of(
                        new Sample(FIRST, Duration.ofMillis(400), UNKNOWN),
                        new Sample(SECOND, Duration.ofMillis(100), UNKNOWN)),
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
                    ROUTE,
                    List.of(
                            new Sample(FIRST, Duration.ofMillis(firstRunMillis), UNKNOWN),
                            new Sample(SECOND, Duration.ofMillis(100), UNKNOWN)),
                    Duration.ofMillis(100),
                    0);
        }
        double slowdown = candidate(tracker, 0).slowdown();
        assertTrue(candidate(tracker, Duration.ofSeconds(3).toNanos()).slowdown() < slowdown);
    }
}
