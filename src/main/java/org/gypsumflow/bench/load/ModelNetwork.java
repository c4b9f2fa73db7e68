package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gypsumflow.command.DispatchLimits;
import org.gypsumflow.command.JobDispatcher;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.JobPorts;
import org.gypsumflow.command.PlacementRule;
import org.gypsumflow.command.WorkerBoard;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/** Entries with the real decisions, joined to agents by messages that take their time. */
final class ModelNetwork {
    /** Time of a message between an entry and an agent: half a millisecond on the way, the rest in the processes. */
    private static final Duration MESSAGE = Duration.ofMillis(2);

    private final VirtualTime time;
    private final Map<MemberName, JobDispatcher> entries = new LinkedHashMap<>();
    private final Map<MemberName, ModelAgent> agents = new HashMap<>();
    private long messages;

    ModelNetwork(VirtualTime time) {
        this.time = time;
    }

    void addEntry(MemberName name, PlacementRule rule) {
        JobPorts ports = new JobPorts(
                (agent, orders) -> start(name, agent, orders),
                (agent, job, indexes) -> stop(name, agent, job, indexes));
        JobDispatcher dispatcher =
                JobDispatcher.create(WorkerBoard.create(), rule, ports, EventLog.none(), JobObserver.none());
        entries.put(name, dispatcher);
        time.every(DispatchLimits.REPORT, () -> dispatcher.tick(time.nowNanos()));
    }

    void addAgent(ModelAgent agent) {
        agents.put(agent.node(), agent);
    }

    List<MemberName> entries() {
        return List.copyOf(entries.keySet());
    }

    List<ModelAgent> agents() {
        return new ArrayList<>(agents.values());
    }

    long messages() {
        return messages;
    }

    void submit(MemberName entry, BestEffortJob job, Duration deadline, Consumer<BestEffortOutcome> asker) {
        entries.get(entry).submit(job, time.nowNanos(), deadline, asker);
    }

    void cancel(MemberName entry, JobId job) {
        entries.get(entry).cancel(job);
    }

    void report(MemberName agent, MemberName entry, AgentReport report) {
        messages++;
        time.after(MESSAGE, () -> {
            if (agents.containsKey(agent)) {
                entries.get(entry).report(agent, report, time.nowNanos());
            }
        });
    }

    /** Drops an agent; its entries take note once the bound on silence has passed. */
    void lose(ModelAgent agent) {
        long heardNanos = time.nowNanos();
        agents.remove(agent.node());
        time.after(DispatchLimits.SILENCE, () -> entries.values()
                .forEach(entry -> entry.agentLost(agent.node(), heardNanos + DispatchLimits.LOST_AFTER.toNanos())));
    }

    private void start(MemberName entry, MemberName agent, List<TaskAssignment> orders) {
        send(agent, target -> target.order(entry, orders));
    }

    private void stop(MemberName entry, MemberName agent, JobId job, List<Integer> indexes) {
        send(agent, target -> target.stop(entry, job, indexes));
    }

    private void send(MemberName agent, Consumer<ModelAgent> message) {
        messages++;
        time.after(MESSAGE, () -> {
            ModelAgent target = agents.get(agent);
            if (target != null) {
                message.accept(target);
            }
        });
    }
}
