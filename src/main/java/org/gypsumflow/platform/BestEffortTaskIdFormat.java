package org.gypsumflow.platform;

import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.JobId;

/** The platform's names of tasks: job, occurrence, step and index, with dots between them. */
final class BestEffortTaskIdFormat {
    /** A job that is not stored has one occurrence and one step. */
    private static final String ONLY_OCCURRENCE_AND_STEP = ".0.0.";

    private BestEffortTaskIdFormat() {}

    static String format(BestEffortTaskId task) {
        return task.job().value() + ONLY_OCCURRENCE_AND_STEP + task.index();
    }

    /**
     * Reads a name.
     *
     * @throws org.gypsumflow.model.ValidationException if it is not the name of a task
     */
    static BestEffortTaskId parse(String text) {
        int middle = text.indexOf(ONLY_OCCURRENCE_AND_STEP);
        Check.isTrue(middle > 0, "task", "\"" + text + "\" does not name a task of a job of one step");
        String index = text.substring(middle + ONLY_OCCURRENCE_AND_STEP.length());
        Check.isTrue(index.matches("\\d{1,6}"), "task", "\"" + text + "\" does not end in a number");
        return BestEffortTaskId.of(JobId.of(text.substring(0, middle)), Integer.parseInt(index));
    }
}
