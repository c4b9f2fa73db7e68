package org.gypsumflow.command;

import java.util.List;
import java.util.random.RandomGenerator;
import org.gypsumflow.model.WorkerName;

/** Selects the worker that runs a task of a claimed job, among the workers that have a slot for this entry. */
@FunctionalInterface
public interface WorkerSelectionPolicy {
    /**
     * A worker on which this entry may start another task.
     *
     * @param worker name of the worker
     * @param inFlight number of tasks that this entry has in flight on the worker
     * @param credit maximum number of tasks that this entry may have in flight on the worker
     */
    record Candidate(WorkerName worker, int inFlight, int credit) {}

    /**
     * Selects one candidate.
     *
     * @param candidates workers on which another task may start, at least one
     * @param random source of randomness
     * @return one of the candidates
     */
    Candidate choose(List<Candidate> candidates, RandomGenerator random);

    /**
     * Returns a policy that selects every candidate with the same probability.
     *
     * @return the policy
     */
    static WorkerSelectionPolicy uniformRandom() {
        return (candidates, random) -> candidates.get(random.nextInt(candidates.size()));
    }

    /**
     * Returns a policy that selects the better of two candidates drawn at random.
     *
     * <p>The better candidate is the one that has the smaller share of its credit in use.
     *
     * @return the policy
     */
    static WorkerSelectionPolicy powerOfTwoChoices() {
        return (candidates, random) -> {
            Candidate first = candidates.get(random.nextInt(candidates.size()));
            Candidate second = candidates.get(random.nextInt(candidates.size()));
            boolean firstUsesSmallerShare =
                    (long) first.inFlight() * second.credit() <= (long) second.inFlight() * first.credit();
            return firstUsesSmallerShare ? first : second;
        };
    }
}
