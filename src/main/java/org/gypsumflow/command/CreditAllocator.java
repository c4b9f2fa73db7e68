package org.gypsumflow.command;

import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.model.Incarnation;

/** Allocates an agent's slots, as flow-control credit, to the entries that send it tasks. */
public final class CreditAllocator {
    private CreditAllocator() {}

    /**
     * Allocates slots by demand, but to no entry more than the slots that the other entries do not use.
     *
     * @param slots number of the agent's slots
     * @param waiting number of tasks that wait at each entry, for all entries that share the slots
     * @param running number of tasks that run on the agent for each entry; 0 for an entry that is missing
     * @return number of tasks that each entry may have in flight at the agent; may be 0
     */
    public static Map<Incarnation, Integer> allocate(
            int slots, Map<Incarnation, Integer> waiting, Map<Incarnation, Integer> running) {
        int totalRunning = running.values().stream().mapToInt(Integer::intValue).sum();
        Map<Incarnation, Integer> shares = allocate(slots, waiting);
        shares.replaceAll((entry, share) -> {
            int ownRunning = running.getOrDefault(entry, 0);
            return Math.max(0, Math.min(share, slots - (totalRunning - ownRunning)));
        });
        return shares;
    }

    /**
     * Allocates slots in proportion to the number of waiting tasks, at least one to each entry.
     *
     * @param slots number of the agent's slots; with more entries than slots the credit exceeds it
     * @param waiting number of tasks that wait at each entry, for all entries that share the slots
     * @return number of tasks that each entry may have in flight at the agent, at least 1
     */
    public static Map<Incarnation, Integer> allocate(int slots, Map<Incarnation, Integer> waiting) {
        Map<Incarnation, Integer> shares = new TreeMap<>();
        long totalWeight = waiting.values().stream()
                .mapToLong(waitingTasks -> 1L + waitingTasks)
                .sum();
        int spare = Math.max(0, slots - waiting.size());
        int allocated = 0;
        for (Map.Entry<Incarnation, Integer> entry : new TreeMap<>(waiting).entrySet()) {
            int extra = (int) (spare * (1L + entry.getValue()) / totalWeight);
            shares.put(entry.getKey(), 1 + extra);
            allocated += extra;
        }
        for (Map.Entry<Incarnation, Integer> share : shares.entrySet()) {
            if (allocated < spare) {
                share.setValue(share.getValue() + 1);
                allocated++;
            }
        }
        return shares;
    }
}
