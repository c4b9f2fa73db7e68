package org.gypsumflow.control;

import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.WorkerName;

/** Callbacks from an entry's control thread to the threads that process traffic. */
public interface EntryControlListener {
    /** Called when the control thread has published a new {@link EntrySnapshot}. */
    void snapshotChanged();

    /**
     * Called when an agent has connected and announced its worker.
     *
     * @param worker worker that the agent serves
     * @param agentIncarnation incarnation of the agent
     * @param connection connection to the agent
     */
    void workerConnected(WorkerName worker, Incarnation agentIncarnation, Connection connection);
}
