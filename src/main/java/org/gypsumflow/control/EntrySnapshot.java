package org.gypsumflow.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gypsumflow.command.OperationsState;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * Everything that traffic threads and queries may know of an entry's control state, as one immutable value.
 *
 * @param self this entry
 * @param operations plans and outcomes as read from the log
 * @param configuration newest configuration known, from the log or from another process
 * @param configurationVersion its version
 * @param entriesInService entries believed to be in service, this one among them
 * @param peerConnections connections to other entries by incarnation
 * @param workers workers with an open connection
 * @param configurationAgeMillis age of the last proof that the configuration is the newest, negative if there is none
 * @param ready true once the operations stream was read to its head and while this entry is not leaving
 * @param draining true once this entry is leaving
 * @param usableFromNanos monotonic time before which new work must not be trusted, since the process was paused
 * @param usableUntilNanos monotonic time after which this snapshot is too old, since the process is or was paused
 */
public record EntrySnapshot(
        EntryAddress self,
        OperationsState operations,
        Configuration configuration,
        ConfigurationVersion configurationVersion,
        List<EntryAddress> entriesInService,
        Map<Incarnation, Connection> peerConnections,
        Map<WorkerName, ConnectedWorker> workers,
        long configurationAgeMillis,
        boolean ready,
        boolean draining,
        long usableFromNanos,
        long usableUntilNanos) {
    /** Copies the collections. */
    public EntrySnapshot {
        entriesInService = List.copyOf(entriesInService);
        peerConnections = Map.copyOf(peerConnections);
        workers = Map.copyOf(workers);
    }

    /**
     * Tells whether the process has been running without a pause, so that what it reads now is not stale.
     *
     * @param nowNanos monotonic time
     * @return true if new work may be taken
     */
    public boolean isUsable(long nowNanos) {
        return nowNanos - usableFromNanos >= 0 && usableUntilNanos - nowNanos >= 0;
    }

    /**
     * Tells whether an entry is in service and connected.
     *
     * @param incarnation the entry
     * @return its connection, or empty
     */
    public Optional<Connection> peerConnection(Incarnation incarnation) {
        return Optional.ofNullable(peerConnections.get(incarnation));
    }

    /**
     * Lists the workers that may start tasks of a service now.
     *
     * @param service the service
     * @return the workers
     */
    public Collection<ConnectedWorker> eligibleWorkers(ServiceName service) {
        return workers.values().stream()
                .filter(view -> !view.draining()
                        && view.service().filter(service::equals).isPresent()
                        && configuration.allows(view.worker(), view.zone(), service))
                .toList();
    }
}
