package org.gypsumflow.bench.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.command.JobPlacementPolicy.Placement;
import org.gypsumflow.command.JobPlacementPolicy.PlacementRequest;
import org.gypsumflow.command.WorkerCapacityTracker.Candidate;

/** Placement policies by name: the one used in production and simple baselines to compare it with. */
final class BaselinePolicies {
    /** Name of the policy used in production. */
    static final String PRODUCTION_POLICY = "soonest-end";

    private BaselinePolicies() {}

    /** Returns factories of the policies by name; each takes the seed of its random numbers. */
    static Map<String, LongFunction<JobPlacementPolicy>> all() {
        Map<String, LongFunction<JobPlacementPolicy>> policies = new LinkedHashMap<>();
        policies.put(PRODUCTION_POLICY, seed -> EarliestFinishPlacement.policy());
        policies.put("random", BaselinePolicies::random);
        policies.put("least-loaded", seed -> BaselinePolicies::leastLoaded);
        return policies;
    }

    private static JobPlacementPolicy random(long seed) {
        Random random = new Random(seed);
        return (request, candidates) -> {
            List<Candidate> remaining = new ArrayList<>(candidates);
            List<Placement> placements = new ArrayList<>();
            for (int task = 0; task < request.taskCount() && !remaining.isEmpty(); task++) {
                placements.add(new Placement(
                        remaining.get(random.nextInt(remaining.size())).agent(), true));
            }
            return placements;
        };
    }

    private static List<Placement> leastLoaded(PlacementRequest request, Collection<Candidate> candidates) {
        List<Candidate> updated = new ArrayList<>(candidates);
        List<Placement> placements = new ArrayList<>();
        for (int task = 0; task < request.taskCount() && !updated.isEmpty(); task++) {
            Candidate leastLoaded = updated.stream()
                    .max(Comparator.comparingInt(
                            candidate -> candidate.uncommitted().cpuMillicores()))
                    .orElseThrow();
            updated.remove(leastLoaded);
            updated.add(new Candidate(
                    leastLoaded.agent(),
                    leastLoaded.reportedStatus(),
                    leastLoaded.uncommitted().minus(request.resourcesPerTask()),
                    leastLoaded.idle(),
                    leastLoaded.slowdown(),
                    leastLoaded.interference()));
            placements.add(new Placement(leastLoaded.agent(), true));
        }
        return placements;
    }
}
