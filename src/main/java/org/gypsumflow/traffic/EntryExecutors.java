package org.gypsumflow.traffic;

import java.util.List;
import org.gypsumflow.control.SerialExecutor;

/**
 * Serial executors of an entry: one each for control state and placement, several for submissions.
 *
 * @param control executor of the control state
 * @param placement executor on which task slots are assigned
 * @param submissions executors among which submissions are divided by claim stream; at least one
 */
public record EntryExecutors(SerialExecutor control, SerialExecutor placement, List<SerialExecutor> submissions) {}
