package org.gypsumflow.command;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.gypsumflow.command.WorkerBoard.Candidate;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;

/** Chooses workers for tasks of one job. */
@FunctionalInterface
public interface PlacementRule {
    /**
     * Tasks that look for workers.
     *
     * @param count number of tasks
     * @param needs what each needs
     * @param estimate rough running time of one
     * @param stretch objective as a multiple of the running time
     * @param allowance what the objective allows beyond that, less the time that has passed; may be negative
     * @param slack time by which a task should have started to end in time, from now; may be negative
     * @param latest time until an answer is worth nothing, from now
     * @param begun true if parts of the job have started, so that a late end is better than none
     */
    record Wanted(
            int count,
            Resources needs,
            Duration estimate,
            double stretch,
            Duration allowance,
            Duration slack,
            Duration latest,
            boolean begun) {}

    /**
     * A worker for a task.
     *
     * @param agent agent beside the worker
     * @param mayWait true if the worker is known to be full and the task should wait there; false if it should come back
     *     at once should others have been quicker
     */
    record Choice(MemberName agent, boolean mayWait) {}

    /**
     * Chooses a worker for each task.
     *
     * @param wanted the tasks
     * @param candidates workers that may take them
     * @return a choice for each task, in order; empty if the job had better not start
     */
    List<Choice> choose(Wanted wanted, Collection<Candidate> candidates);
}
