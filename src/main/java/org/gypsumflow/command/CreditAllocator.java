package org.gypsumflow.command;

import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.model.Incarnation;

/** Divides an agent's slots among the entries that send it work. */
public final class CreditAllocator {
    private CreditAllocator() {}

    /**
     * Divides slots and leaves each entry no more than the others have not in use.
     *
     * @param slots number of slots
     * @param waiting number of tasks that wait at each entry
     * @param running number of tasks that run for each entry
     * @return number of tasks that each entry may have in flight
     */
    public static Map<Incarnation, Integer> allocate(
            int slots, Map<Incarnation, Integer> waiting, Map<Incarnation, Integer> running) {
        int inUse = running.values().stream().mapToInt(Integer::intValue).sum();
        Map<Incarnation, Integer> shares = allocate(slots, waiting);
        shares.replaceAll((entry, share) -> {
            int own = running.getOrDefault(entry, 0);
            return Math.max(0, Math.min(share, slots - (inUse - own)));
        });
        return shares;
    }

    /**
     * Divides slots in proportion to the work that waits, at least one for each entry.
     *
     * @param slots number of slots
     * @param waiting number of tasks that wait at each entry
     * @return number of tasks that each entry may have in flight
     */
    public static Map<Incarnation, Integer> allocate(int slots, Map<Incarnation, Integer> waiting) {
        Map<Incarnation, Integer> shares = new TreeMap<>();
        long total = waiting.values().stream().mapToLong(each -> 1L + each).sum();
        int spare = Math.max(0, slots - waiting.size());
        int given = 0;
        for (Map.Entry<Incarnation, Integer> entry : new TreeMap<>(waiting).entrySet()) {
            int extra = (int) (spare * (1L + entry.getValue()) / total);
            shares.put(entry.getKey(), 1 + extra);
            given += extra;
        }
        for (Map.Entry<Incarnation, Integer> share : shares.entrySet()) {
            if (given < spare) {
                share.setValue(share.getValue() + 1);
                given++;
            }
        }
        return shares;
    }
}
