package org.gypsumflow.command.sharing;

import java.util.HashMap;
import java.util.Map;

/** Weighted max-min fair division of a capacity: nobody gets more than it asks, and what is left goes to the others. */
final class FairShares {
    /**
     * What one party asks for.
     *
     * @param asked amount asked for
     * @param weight weight against the others, above 0
     */
    record Demand(double asked, double weight) {}

    private FairShares() {}

    /**
     * Divides a capacity. A party gets at least its weight's part of the capacity, or all that it asks for.
     *
     * @param demands what each party asks for
     * @param capacity amount to divide
     * @return the amount for each party
     */
    static <K> Map<K, Double> divide(Map<K, Demand> demands, double capacity) {
        Map<K, Double> shares = new HashMap<>();
        Map<K, Demand> unsatisfied = new HashMap<>(demands);
        double left = capacity;
        boolean changed = true;
        while (changed && !unsatisfied.isEmpty()) {
            double level = left / totalWeight(unsatisfied);
            changed = false;
            for (Map.Entry<K, Demand> entry : Map.copyOf(unsatisfied).entrySet()) {
                Demand demand = entry.getValue();
                if (demand.asked() <= level * demand.weight()) {
                    shares.put(entry.getKey(), demand.asked());
                    unsatisfied.remove(entry.getKey());
                    left -= demand.asked();
                    changed = true;
                }
            }
        }
        double level = unsatisfied.isEmpty() ? 0 : left / totalWeight(unsatisfied);
        unsatisfied.forEach((key, demand) -> shares.put(key, level * demand.weight()));
        return shares;
    }

    private static double totalWeight(Map<?, Demand> demands) {
        return demands.values().stream().mapToDouble(Demand::weight).sum();
    }
}
