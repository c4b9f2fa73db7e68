package org.gypsumflow.command.interference;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.gypsumflow.model.BestEffortMessage.Neighbour;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RouteName;
import org.testng.annotations.Test;

public final class NeighbourTrackerTest {
    private static final RouteName RENDER = RouteName.of("render");
    private static final RouteName SEARCH = RouteName.of("search");
    private static final MemberName ENTRY = MemberName.of("entry");
    private static final int CAPACITY = 4000;

    private final NeighbourTracker tracker = NeighbourTracker.create();

    private static BestEffortTaskId task(int index) {
        return BestEffortTaskId.of(JobId.of("00000000000000aa"), index);
    }

    @Test
    public void aRunIsReportedWithTheShareOfItsTimeThatAnotherKindRanBesideIt() {
        tracker.runStarted(task(0), RENDER, 1000, 100);
        tracker.runStarted(task(1), SEARCH, 1000, 150);
        RunSurroundings surroundings = tracker.runEnded(task(0), CAPACITY, 200);
        assertEquals(surroundings, new RunSurroundings(List.of(new Neighbour(SEARCH, 0.5f)), 0.375f));
        assertEquals(tracker.runningMillicoresFor(ENTRY, 200), Map.of(SEARCH, 1000));
        assertEquals(tracker.runningMillicoresFor(ENTRY, 201), Map.of());
    }

    @Test
    public void theRunItselfIsNoNeighbourButAnotherOfItsKindIs() {
        NeighbourTracker ownKind = NeighbourTracker.create();
        ownKind.runStarted(task(0), RENDER, 1000, 0);
        ownKind.runStarted(task(1), RENDER, 1000, 50);
        assertEquals(ownKind.runEnded(task(1), CAPACITY, 100).neighbours(), List.of(new Neighbour(RENDER, 1)));
        ownKind.runStarted(task(2), SEARCH, 1000, 120);
        ownKind.runEnded(task(2), CAPACITY, 130);
        assertEquals(
                ownKind.runEnded(task(0), CAPACITY, 200).neighbours(),
                List.of(new Neighbour(RENDER, 0.25f), new Neighbour(SEARCH, 0.05f)));
    }

    @Test
    public void onlyTheNeighboursThatOverlapMostAreReported() {
        NeighbourTracker crowded = NeighbourTracker.create();
        crowded.runStarted(task(0), RENDER, 10, 0);
        for (int index = 1; index <= 40; index++) {
            crowded.runStarted(task(index), RouteName.of("kind-" + index), 10, index);
        }
        List<Neighbour> neighbours = crowded.runEnded(task(0), CAPACITY, 100).neighbours();
        assertEquals(neighbours.size(), 6);
        assertEquals(neighbours.get(0).route(), RouteName.of("kind-1"));
        assertTrue(crowded.runningMillicoresFor(ENTRY, 100).size() <= 8);
    }
}
