package org.gypsumflow.control;

import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.WorkerName;

/** Hears from an entry's control thread what traffic must react to. */
public interface EntryControlListener {
    /** Takes note that a new snapshot is there. */
    void snapshotChanged();

    /**
     * Takes note that an agent connected.
     *
     * @param worker its worker
     * @param agent its incarnation
     * @param link the connection
     */
    void workerConnected(WorkerName worker, Incarnation agent, Connection link);
}
