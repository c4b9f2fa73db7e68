package org.gypsumflow.command;

import java.util.List;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/**
 * What the decisions of an entry cause.
 *
 * @param assigner orders tasks
 * @param stopper stops tasks
 */
public record AgentClient(TaskAssigner assigner, TaskStopper stopper) {
    /** Orders tasks at an agent. */
    @FunctionalInterface
    public interface TaskAssigner {
        /**
         * Orders tasks.
         *
         * @param agent where
         * @param orders the tasks
         */
        void assign(MemberName agent, List<TaskAssignment> orders);
    }

    /** Stops tasks at an agent. */
    @FunctionalInterface
    public interface TaskStopper {
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
