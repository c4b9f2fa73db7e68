package org.gypsumflow.model;

import java.util.Collections;
import java.util.List;

/**
 * Answers a job: complete, or marked with the verdict that says what is known.
 *
 * @param verdict whether the job completed, did not run, may have run or failed
 * @param reason why the job is not complete, else empty
 * @param tasks one outcome per task in the job's order
 */
public record JobOutcome(Verdict verdict, String reason, List<TaskOutcome> tasks) {
    /** Copies the list. */
    public JobOutcome {
        tasks = List.copyOf(tasks);
    }

    /**
     * Joins the outcomes of all tasks into the job's answer.
     *
     * @param tasks one outcome per task in the job's order
     * @return the answer: completed only if every task completed, not run only if no task may have run
     */
    public static JobOutcome aggregate(List<TaskOutcome> tasks) {
        if (tasks.stream().allMatch(task -> task.verdict() == Verdict.COMPLETED)) {
            return new JobOutcome(Verdict.COMPLETED, "", tasks);
        }
        Verdict verdict = worstOf(tasks);
        String reason = tasks.stream()
                .filter(task -> task.verdict() != Verdict.COMPLETED)
                .map(TaskOutcome::reason)
                .findFirst()
                .orElse("");
        return new JobOutcome(
                verdict, reason, tasks.stream().map(JobOutcome::withoutResult).toList());
    }

    /**
     * Gives every task of a job the same outcome.
     *
     * @param size number of tasks
     * @param task outcome of each of them
     * @return the answer
     */
    public static JobOutcome uniform(int size, TaskOutcome task) {
        return aggregate(Collections.nCopies(size, task));
    }

    private static Verdict worstOf(List<TaskOutcome> tasks) {
        if (tasks.stream().allMatch(task -> task.verdict() == Verdict.NOT_RUN)) {
            return Verdict.NOT_RUN;
        }
        boolean unknown = tasks.stream().anyMatch(task -> task.verdict() == Verdict.MAY_HAVE_RUN);
        return unknown ? Verdict.MAY_HAVE_RUN : Verdict.FAILED;
    }

    private static TaskOutcome withoutResult(TaskOutcome task) {
        return new TaskOutcome(task.verdict(), "", task.reason(), task.worker());
    }
}
