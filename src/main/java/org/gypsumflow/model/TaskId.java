package org.gypsumflow.model;

/**
 * Identifies one task of a claimed job.
 *
 * @param submission digest of the job's submission
 * @param index position of the task in the job, from 0
 */
public record TaskId(SubmissionDigest submission, int index) {
    /**
     * Creates the id of a task.
     *
     * @param submission digest of the job's submission
     * @param index position of the task in the job, from 0
     * @return the id
     */
    public static TaskId of(SubmissionDigest submission, int index) {
        return new TaskId(submission, index);
    }

    @Override
    public String toString() {
        return submission + "-" + index;
    }
}
