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

/** The agents connected to an entry; used on the control lane only. */
final class AgentConnections {
    private final EventLog events;
    private final Map<WorkerName, ConnectedWorker> workers = new HashMap<>();
    private final Map<Connection, WorkerName> workerByLink = new HashMap<>();

    private AgentConnections(EventLog events) {
        this.events = events;
    }

    static AgentConnections create(EventLog events) {
        return new AgentConnections(events);
    }

    Map<WorkerName, ConnectedWorker> workers() {
        return workers;
    }

    /** Takes an agent in; an older connection of the same worker is closed. */
    void register(Connection link, AnnounceAgent agent) {
        ConnectedWorker view = new ConnectedWorker(
                agent.worker(),
                agent.incarnation(),
                agent.zone(),
                agent.slots(),
                Optional.empty(),
                0,
                0,
                ConfigurationVersion.NONE,
                false,
                link);
        workerByLink.put(link, agent.worker());
        ConnectedWorker before = workers.put(agent.worker(), view);
        if (before != null && !before.connection().equals(link)) {
            workerByLink.remove(before.connection());
            before.connection().close();
        }
        events.write(Event.AGENT_CONNECTED, agent.worker(), agent.incarnation());
    }

    /** Takes note of what an agent reports; tells whether placement must hear of it at once. */
    boolean applyHeartbeat(Connection link, AgentHeartbeat heartbeat) {
        WorkerName worker = workerByLink.get(link);
        if (worker == null) {
            return false;
        }
        ConnectedWorker before = workers.get(worker);
        Optional<ServiceName> service =
                heartbeat.service().isEmpty() ? Optional.empty() : Optional.of(ServiceName.of(heartbeat.service()));
        ConnectedWorker after = new ConnectedWorker(
                before.worker(),
                before.agentIncarnation(),
                before.zone(),
                before.slots(),
                service,
                heartbeat.runningTasks(),
                heartbeat.credit(),
                heartbeat.version(),
                heartbeat.draining(),
                link);
        workers.put(worker, after);
        return after.differsForPlacement(before);
    }

    Optional<AvailabilityZone> zoneOf(Connection link) {
        return Optional.ofNullable(workerByLink.get(link)).map(workers::get).map(ConnectedWorker::zone);
    }

    void remove(Connection link) {
        WorkerName worker = workerByLink.remove(link);
        if (worker != null) {
            workers.remove(worker);
            events.write(Event.AGENT_LOST, worker);
        }
    }
}
