package org.gypsumflow.command;

import java.util.List;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/**
 * Sends the decisions of an entry to agents.
 *
 * @param assigner assigns tasks
 * @param stopper stops tasks
 */
public record AgentClient(TaskAssigner assigner, TaskStopper stopper) {
    /** Assigns tasks to an agent. */
    @FunctionalInterface
    public interface TaskAssigner {
        /**
         * Assigns tasks; does nothing if the agent is not connected.
         *
         * @param agent agent to run the tasks
         * @param assignments the tasks, at least one
         */
        void assign(MemberName agent, List<TaskAssignment> assignments);
    }

    /** Stops tasks at an agent. */
    @FunctionalInterface
    public interface TaskStopper {
        /**
         * Stops tasks of one job; does nothing if the agent is not connected.
         *
         * @param agent agent that the tasks were assigned to
         * @param job id of the job
         * @param indexes indexes of the tasks within the job
         */
        void stop(MemberName agent, JobId job, List<Integer> indexes);
    }
}
