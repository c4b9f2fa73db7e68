package org.gypsumflow.platform;

import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.JobId;

/** Formats and parses task ids as the platform writes them: job, occurrence, step and index, separated by dots. */
final class BestEffortTaskIdFormat {
    /** A best-effort job has one occurrence and one step, both numbered 0. */
    private static final String ONLY_OCCURRENCE_AND_STEP = ".0.0.";

    private BestEffortTaskIdFormat() {}

    static String format(BestEffortTaskId task) {
        return task.job().value() + ONLY_OCCURRENCE_AND_STEP + task.index();
    }

    /**
     * Parses a task id.
     *
     * @throws org.gypsumflow.model.ValidationException if it is not the id of a task of a best-effort job
     */
    static BestEffortTaskId parse(String text) {
        int separatorStart = text.indexOf(ONLY_OCCURRENCE_AND_STEP);
        Check.isTrue(
                separatorStart > 0,
                "task",
                "\"" + text + "\" is not the id of a task of a job with one occurrence and one step");
        String index = text.substring(separatorStart + ONLY_OCCURRENCE_AND_STEP.length());
        Check.isTrue(
                index.matches("\\d{1,6}"), "task", "\"" + text + "\" does not end in a task index of 1 to 6 digits");
        return BestEffortTaskId.of(JobId.of(text.substring(0, separatorStart)), Integer.parseInt(index));
    }
}
