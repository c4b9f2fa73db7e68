package org.gypsumflow.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.CommandMessage.AgentHeartbeat;
import org.gypsumflow.model.CommandMessage.AnnounceAgent;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/** Agents connected to an entry, and the state of their workers; used on the control thread only. */
final class AgentConnections {
    private final EventLog events;
    private final Map<WorkerName, ConnectedWorker> workers = new HashMap<>();
    private final Map<Connection, WorkerName> workerByConnection = new HashMap<>();

    private AgentConnections(EventLog events) {
        this.events = events;
    }

    static AgentConnections create(EventLog events) {
        return new AgentConnections(events);
    }

    Map<WorkerName, ConnectedWorker> workers() {
        return workers;
    }

    /** Adds the worker of an agent that has announced itself, and closes an older connection for the same worker. */
    void register(Connection connection, AnnounceAgent agent) {
        ConnectedWorker worker = new ConnectedWorker(
                agent.worker(),
                agent.incarnation(),
                agent.zone(),
                agent.slots(),
                Optional.empty(),
                0,
                0,
                ConfigurationVersion.NONE,
                false,
                connection);
        workerByConnection.put(connection, agent.worker());
        ConnectedWorker previous = workers.put(agent.worker(), worker);
        if (previous != null && !previous.connection().equals(connection)) {
            workerByConnection.remove(previous.connection());
            previous.connection().close();
        }
        events.write(Event.AGENT_CONNECTED, agent.worker(), agent.incarnation());
    }

    /**
     * Updates the worker that a heartbeat reports on.
     *
     * @return true if the change affects placement and has to be published immediately; false also if the agent has not
     *     announced itself on this connection
     */
    boolean applyHeartbeat(Connection connection, AgentHeartbeat heartbeat) {
        WorkerName worker = workerByConnection.get(connection);
        if (worker == null) {
            return false;
        }
        ConnectedWorker previous = workers.get(worker);
        Optional<ServiceName> service =
                heartbeat.service().isEmpty() ? Optional.empty() : Optional.of(ServiceName.of(heartbeat.service()));
        ConnectedWorker updated = new ConnectedWorker(
                previous.worker(),
                previous.agentIncarnation(),
                previous.zone(),
                previous.slots(),
                service,
                heartbeat.runningTasks(),
                heartbeat.credit(),
                heartbeat.version(),
                heartbeat.draining(),
                connection);
        workers.put(worker, updated);
        return updated.differsForPlacement(previous);
    }

    /** Returns the zone of the worker whose agent is connected here, or empty if no agent has announced itself. */
    Optional<AvailabilityZone> zoneOf(Connection connection) {
        return Optional.ofNullable(workerByConnection.get(connection))
                .map(workers::get)
                .map(ConnectedWorker::zone);
    }

    void remove(Connection connection) {
        WorkerName worker = workerByConnection.remove(connection);
        if (worker != null) {
            workers.remove(worker);
            events.write(Event.AGENT_LOST, worker);
        }
    }
}
