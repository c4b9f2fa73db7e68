package org.gypsumflow.command;

import java.util.List;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/**
 * What the decisions of an entry cause.
 *
 * @param starter orders tasks
 * @param stopper stops tasks
 */
public record JobPorts(Starter starter, Stopper stopper) {
    /** Orders tasks at an agent. */
    @FunctionalInterface
    public interface Starter {
        /**
         * Orders tasks.
         *
         * @param agent where
         * @param orders the tasks
         */
        void start(MemberName agent, List<TaskAssignment> orders);
    }

    /** Stops tasks at an agent. */
    @FunctionalInterface
    public interface Stopper {
        /**
         * Stops tasks of one job.
         *
         * @param agent where
         * @param job the job
         * @param indexes which tasks
         */
        void stop(MemberName agent, JobId job, List<Integer> indexes);
    }
}
