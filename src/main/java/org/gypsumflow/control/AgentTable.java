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
final class AgentTable {
    private final EventLog events;
    private final Map<WorkerName, WorkerView> workers = new HashMap<>();
    private final Map<Link, WorkerName> workerByLink = new HashMap<>();

    private AgentTable(EventLog events) {
        this.events = events;
    }

    static AgentTable create(EventLog events) {
        return new AgentTable(events);
    }

    Map<WorkerName, WorkerView> workers() {
        return workers;
    }

    /** Takes an agent in; an older connection of the same worker is closed. */
    void announced(Link link, AnnounceAgent agent) {
        WorkerView view = new WorkerView(
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
        WorkerView before = workers.put(agent.worker(), view);
        if (before != null && !before.link().equals(link)) {
            workerByLink.remove(before.link());
            before.link().close();
        }
        events.write(Event.AGENT_CONNECTED, agent.worker(), agent.incarnation());
    }

    /** Takes note of what an agent reports; tells whether placement must hear of it at once. */
    boolean beat(Link link, AgentHeartbeat heartbeat) {
        WorkerName worker = workerByLink.get(link);
        if (worker == null) {
            return false;
        }
        WorkerView before = workers.get(worker);
        Optional<ServiceName> service =
                heartbeat.service().isEmpty() ? Optional.empty() : Optional.of(ServiceName.of(heartbeat.service()));
        WorkerView after = new WorkerView(
                before.worker(),
                before.agent(),
                before.zone(),
                before.slots(),
                service,
                heartbeat.runningTasks(),
                heartbeat.credit(),
                heartbeat.version(),
                heartbeat.draining(),
                link);
        workers.put(worker, after);
        return after.placesDifferently(before);
    }

    Optional<AvailabilityZone> zoneOf(Link link) {
        return Optional.ofNullable(workerByLink.get(link)).map(workers::get).map(WorkerView::zone);
    }

    void closed(Link link) {
        WorkerName worker = workerByLink.remove(link);
        if (worker != null) {
            workers.remove(worker);
            events.write(Event.AGENT_LOST, worker);
        }
    }
}
