package org.gypsumflow.traffic;

import java.util.List;
import org.gypsumflow.control.SerialExecutor;

/**
 * The threads of an entry.
 *
 * @param control lane of the control state
 * @param placement lane on which slots are given out
 * @param submissions lanes among which submissions are divided, at least one
 */
public record EntryExecutors(SerialExecutor control, SerialExecutor placement, List<SerialExecutor> submissions) {}
