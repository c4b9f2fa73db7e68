package org.gypsumflow.model;

/**
 * Identifies one task of a best-effort job.
 *
 * @param job id of the job
 * @param index position of the task in the job, from 0
 */
public record BestEffortTaskId(JobId job, int index) {
    /**
     * Creates the id of a task.
     *
     * @param job id of the job
     * @param index position of the task in the job, from 0
     * @return the id
     */
    public static BestEffortTaskId of(JobId job, int index) {
        return new BestEffortTaskId(job, index);
    }

    // Cheaper than the generated methods, which are linked at run time.
    @Override
    public boolean equals(Object other) {
        return other instanceof BestEffortTaskId that && index == that.index && job.equals(that.job);
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
