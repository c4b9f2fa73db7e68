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
 * Immutable snapshot of an entry's control state, published by the control thread for traffic and queries.
 *
 * @param self this entry
 * @param operations plans and their status, as read from the operations stream
 * @param configuration newest known configuration, from the log or from another process
 * @param configurationVersion version of that configuration
 * @param entriesInService entries that accept work: the connected peers that are not draining, and this one unless it
 *     is draining
 * @param peerConnections connections to the peers, by their incarnation
 * @param workers workers whose agents are connected, by name
 * @param configurationAgeMillis milliseconds since the configuration was last confirmed as the newest; negative if it
 *     never was
 * @param ready true after the operations stream has been read to its head, while this entry is not draining
 * @param draining true once this entry is draining
 * @param usableFromNanos monotonic time before which new work must not be accepted, since the process was paused
 * @param usableUntilNanos monotonic time after which this snapshot is stale, since the control thread is or was paused
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
    /** Makes immutable copies of the collections. */
    public EntrySnapshot {
        entriesInService = List.copyOf(entriesInService);
        peerConnections = Map.copyOf(peerConnections);
        workers = Map.copyOf(workers);
    }

    /**
     * Returns whether the process has run without a pause, so that this snapshot and the requests read now are not
     * stale.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return true if new work may be accepted
     */
    public boolean isUsable(long nowNanos) {
        return nowNanos - usableFromNanos >= 0 && usableUntilNanos - nowNanos >= 0;
    }

    /**
     * Returns the connection to a peer.
     *
     * @param incarnation incarnation of the peer
     * @return the connection, or empty if the peer is not connected
     */
    public Optional<Connection> peerConnection(Incarnation incarnation) {
        return Optional.ofNullable(peerConnections.get(incarnation));
    }

    /**
     * Returns the workers that may start tasks of a service under the current configuration.
     *
     * @param service service that the tasks need
     * @return workers that are not draining and host the service, in no particular order; may be empty
     */
    public Collection<ConnectedWorker> eligibleWorkers(ServiceName service) {
        return workers.values().stream()
                .filter(worker -> !worker.draining()
                        && worker.service().filter(service::equals).isPresent()
                        && configuration.allows(worker.worker(), worker.zone(), service))
                .toList();
    }
}
