package org.gypsumflow.command;

import java.util.List;
import org.gypsumflow.model.DispatchMessage.Order;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.NodeName;

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
        void start(NodeName agent, List<Order> orders);
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
        void stop(NodeName agent, JobId job, List<Integer> indexes);
    }
}
