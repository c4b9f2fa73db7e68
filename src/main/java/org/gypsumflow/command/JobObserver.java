package org.gypsumflow.command;

import java.time.Duration;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.RouteName;

/** Hears of the answer to each job. */
@FunctionalInterface
public interface JobObserver {
    /**
     * Takes note of an answer.
     *
     * @param route route that the job came by
     * @param answer the answer
     * @param age time since the job came
     */
    void outcomeDecided(RouteName route, BestEffortOutcome answer, Duration age);

    /**
     * Creates an observer that ignores everything.
     *
     * @return the observer
     */
    static JobObserver none() {
        return (route, answer, age) -> {};
    }
}
