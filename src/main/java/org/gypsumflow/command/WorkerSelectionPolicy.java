package org.gypsumflow.command;

import java.util.List;
import java.util.random.RandomGenerator;
import org.gypsumflow.model.WorkerName;

/** Chooses a worker among those that have a slot for this entry. */
@FunctionalInterface
public interface WorkerSelectionPolicy {
    /**
     * A worker with room.
     *
     * @param worker the worker
     * @param inFlight tasks that this entry has in flight there
     * @param credit tasks that this entry may have in flight there
     */
    record Candidate(WorkerName worker, int inFlight, int credit) {}

    /**
     * Chooses one candidate.
     *
     * @param candidates workers with room, at least one
     * @param random source of randomness
     * @return one of the candidates
     */
    Candidate choose(List<Candidate> candidates, RandomGenerator random);

    /**
     * Chooses any candidate with the same probability.
     *
     * @return the policy
     */
    static WorkerSelectionPolicy uniformRandom() {
        return (candidates, random) -> candidates.get(random.nextInt(candidates.size()));
    }

    /**
     * Chooses the one with the smaller share of its credit in use, of two drawn at random.
     *
     * @return the policy
     */
    static WorkerSelectionPolicy powerOfTwoChoices() {
        return (candidates, random) -> {
            Candidate first = candidates.get(random.nextInt(candidates.size()));
            Candidate second = candidates.get(random.nextInt(candidates.size()));
            boolean firstIsFreer =
                    (long) first.inFlight() * second.credit() <= (long) second.inFlight() * first.credit();
            return firstIsFreer ? first : second;
        };
    }
}
