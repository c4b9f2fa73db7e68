package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gypsumflow.command.AgentClient;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.JobDispatcher;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.command.WorkerCapacityTracker;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/** Entries with the real decisions, joined to agents by messages that take their time. */
final class SimulatedNetwork {
    /** Time of a message between an entry and an agent: half a millisecond on the way, the rest in the processes. */
    private static final Duration MESSAGE = Duration.ofMillis(2);

    private final SimulationScheduler time;
    private final Map<MemberName, JobDispatcher> entries = new LinkedHashMap<>();
    private final Map<MemberName, SimulatedAgent> agents = new HashMap<>();
    private long messages;

    SimulatedNetwork(SimulationScheduler time) {
        this.time = time;
    }

    void addEntry(MemberName name, JobPlacementPolicy rule) {
        AgentClient ports = new AgentClient(
                (agent, orders) -> start(name, agent, orders),
                (agent, job, indexes) -> stop(name, agent, job, indexes));
        JobDispatcher dispatcher =
                JobDispatcher.create(WorkerCapacityTracker.create(), rule, ports, EventLog.none(), JobObserver.none());
        entries.put(name, dispatcher);
        time.scheduleWithFixedDelay(BestEffortTimings.REPORT_INTERVAL, () -> dispatcher.tick(time.nowNanos()));
    }

    void addAgent(SimulatedAgent agent) {
        agents.put(agent.memberName(), agent);
    }

    List<MemberName> entryNames() {
        return List.copyOf(entries.keySet());
    }

    List<SimulatedAgent> agents() {
        return new ArrayList<>(agents.values());
    }

    long messageCount() {
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
        time.schedule(MESSAGE, () -> {
            if (agents.containsKey(agent)) {
                entries.get(entry).agentReported(agent, report, time.nowNanos());
            }
        });
    }

    /** Drops an agent; its entries take note once the bound on silence has passed. */
    void disconnect(SimulatedAgent agent) {
        long heardNanos = time.nowNanos();
        agents.remove(agent.memberName());
        time.schedule(BestEffortTimings.HEARTBEAT_TIMEOUT, () -> entries.values()
                .forEach(entry -> entry.agentDisconnected(
                        agent.memberName(), heardNanos + BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.toNanos())));
    }

    private void start(MemberName entry, MemberName agent, List<TaskAssignment> orders) {
        send(agent, target -> target.assign(entry, orders));
    }

    private void stop(MemberName entry, MemberName agent, JobId job, List<Integer> indexes) {
        send(agent, target -> target.stop(entry, job, indexes));
    }

    private void send(MemberName agent, Consumer<SimulatedAgent> message) {
        messages++;
        time.schedule(MESSAGE, () -> {
            SimulatedAgent target = agents.get(agent);
            if (target != null) {
                message.accept(target);
            }
        });
    }
}
