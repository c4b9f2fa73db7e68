package org.gypsumflow.command;

import java.time.Duration;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.RouteName;

/** Observes the outcome of each best-effort job, for example to count it. */
@FunctionalInterface
public interface JobObserver {
    /**
     * Called once for each job, before its waiters get the outcome.
     *
     * @param route route that the job matched
     * @param outcome the outcome
     * @param age time since the entry accepted the job
     */
    void outcomeDecided(RouteName route, BestEffortOutcome outcome, Duration age);

    /**
     * Returns an observer that does nothing.
     *
     * @return the observer
     */
    static JobObserver none() {
        return (route, outcome, age) -> {};
    }
}
