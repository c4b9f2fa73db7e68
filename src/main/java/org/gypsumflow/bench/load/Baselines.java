package org.gypsumflow.bench.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;
import org.gypsumflow.command.PlacementRule;
import org.gypsumflow.command.PlacementRule.Choice;
import org.gypsumflow.command.PlacementRule.Wanted;
import org.gypsumflow.command.SoonestEnd;
import org.gypsumflow.command.WorkerBoard.Candidate;

/** Rules by name: the one in force and simple ones to compare it with. */
final class Baselines {
    /** Name of the rule in force. */
    static final String IN_FORCE = "soonest-end";

    private Baselines() {}

    /** Lists the rules; each is made from a seed. */
    static Map<String, LongFunction<PlacementRule>> all() {
        Map<String, LongFunction<PlacementRule>> rules = new LinkedHashMap<>();
        rules.put(IN_FORCE, seed -> SoonestEnd.rule());
        rules.put("random", Baselines::random);
        rules.put("least-loaded", seed -> Baselines::leastLoaded);
        return rules;
    }

    private static PlacementRule random(long seed) {
        Random random = new Random(seed);
        return (wanted, candidates) -> {
            List<Candidate> all = new ArrayList<>(candidates);
            List<Choice> chosen = new ArrayList<>();
            for (int task = 0; task < wanted.count() && !all.isEmpty(); task++) {
                chosen.add(new Choice(all.get(random.nextInt(all.size())).agent(), true));
            }
            return chosen;
        };
    }

    private static List<Choice> leastLoaded(Wanted wanted, Collection<Candidate> candidates) {
        List<Candidate> left = new ArrayList<>(candidates);
        List<Choice> chosen = new ArrayList<>();
        for (int task = 0; task < wanted.count() && !left.isEmpty(); task++) {
            Candidate most = left.stream()
                    .max(Comparator.comparingInt(candidate -> candidate.free().cpuMillicores()))
                    .orElseThrow();
            left.remove(most);
            left.add(new Candidate(
                    most.agent(), most.room(), most.free().minus(wanted.needs()), most.idle(), most.slowness()));
            chosen.add(new Choice(most.agent(), true));
        }
        return chosen;
    }
}
