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

/** Rules by name: the one in force and simple ones to compare it with. */
final class BaselinePolicies {
    /** Name of the rule in force. */
    static final String PRODUCTION_POLICY = "soonest-end";

    private BaselinePolicies() {}

    /** Lists the rules; each is made from a seed. */
    static Map<String, LongFunction<JobPlacementPolicy>> all() {
        Map<String, LongFunction<JobPlacementPolicy>> rules = new LinkedHashMap<>();
        rules.put(PRODUCTION_POLICY, seed -> EarliestFinishPlacement.policy());
        rules.put("random", BaselinePolicies::random);
        rules.put("least-loaded", seed -> BaselinePolicies::leastLoaded);
        return rules;
    }

    private static JobPlacementPolicy random(long seed) {
        Random random = new Random(seed);
        return (wanted, candidates) -> {
            List<Candidate> all = new ArrayList<>(candidates);
            List<Placement> chosen = new ArrayList<>();
            for (int task = 0; task < wanted.taskCount() && !all.isEmpty(); task++) {
                chosen.add(new Placement(all.get(random.nextInt(all.size())).agent(), true));
            }
            return chosen;
        };
    }

    private static List<Placement> leastLoaded(PlacementRequest wanted, Collection<Candidate> candidates) {
        List<Candidate> left = new ArrayList<>(candidates);
        List<Placement> chosen = new ArrayList<>();
        for (int task = 0; task < wanted.taskCount() && !left.isEmpty(); task++) {
            Candidate most = left.stream()
                    .max(Comparator.comparingInt(
                            candidate -> candidate.uncommitted().cpuMillicores()))
                    .orElseThrow();
            left.remove(most);
            left.add(new Candidate(
                    most.agent(),
                    most.reportedStatus(),
                    most.uncommitted().minus(wanted.resourcesPerTask()),
                    most.idle(),
                    most.slowdown()));
            chosen.add(new Placement(most.agent(), true));
        }
        return chosen;
    }
}
