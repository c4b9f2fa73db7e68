package org.gypsumflow.model;

import java.util.Collections;
import java.util.List;

/**
 * The outcome of a claimed job, aggregated from the outcomes of its tasks.
 *
 * @param verdict whether the job completed, did not run, may have run or failed
 * @param reason why the job did not complete, empty if it did
 * @param tasks outcomes of the tasks, in the job's order; they hold results only if the job completed
 */
public record JobOutcome(Verdict verdict, String reason, List<TaskOutcome> tasks) {
    /** Makes an unmodifiable copy of the list. */
    public JobOutcome {
        tasks = List.copyOf(tasks);
    }

    /**
     * Aggregates the outcomes of all tasks of a job.
     *
     * @param tasks outcomes of the tasks, in the job's order
     * @return the outcome of the job: completed only if every task completed, not run only if every task did not run;
     *     its reason is that of the first task that did not complete
     */
    public static JobOutcome aggregate(List<TaskOutcome> tasks) {
        if (tasks.stream().allMatch(task -> task.verdict() == Verdict.COMPLETED)) {
            return new JobOutcome(Verdict.COMPLETED, "", tasks);
        }
        Verdict verdict = aggregateVerdict(tasks);
        String reason = tasks.stream()
                .filter(task -> task.verdict() != Verdict.COMPLETED)
                .map(TaskOutcome::reason)
                .findFirst()
                .orElse("");
        return new JobOutcome(
                verdict, reason, tasks.stream().map(JobOutcome::withoutResult).toList());
    }

    /**
     * Creates the outcome of a job whose tasks all have the same outcome.
     *
     * @param taskCount number of tasks
     * @param task outcome of each task
     * @return the outcome of the job
     */
    public static JobOutcome uniform(int taskCount, TaskOutcome task) {
        return aggregate(Collections.nCopies(taskCount, task));
    }

    private static Verdict aggregateVerdict(List<TaskOutcome> tasks) {
        if (tasks.stream().allMatch(task -> task.verdict() == Verdict.NOT_RUN)) {
            return Verdict.NOT_RUN;
        }
        boolean anyMayHaveRun = tasks.stream().anyMatch(task -> task.verdict() == Verdict.MAY_HAVE_RUN);
        return anyMayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.FAILED;
    }

    private static TaskOutcome withoutResult(TaskOutcome task) {
        return new TaskOutcome(task.verdict(), "", task.reason(), task.worker());
    }
}
