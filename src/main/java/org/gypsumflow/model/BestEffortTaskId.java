package org.gypsumflow.model;

/**
 * Names one task of a job of one step.
 *
 * @param job job of the task
 * @param index place of the task in its step, counted from 0
 */
public record BestEffortTaskId(JobId job, int index) {
    /**
     * Creates the name.
     *
     * @param job job of the task
     * @param index place of the task in its step, counted from 0
     * @return the name
     */
    public static BestEffortTaskId of(JobId job, int index) {
        return new BestEffortTaskId(job, index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
