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
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.JobDispatcher;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.command.WorkerCapacityTracker;
import org.gypsumflow.command.interference.InterferenceModel;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/** Entries that run the production scheduling code, connected to simulated agents by messages with a fixed latency. */
final class SimulatedNetwork {
    /** Latency of a message between an entry and an agent: 0.5 ms in the network, the rest in the processes. */
    private static final Duration MESSAGE_TIME = Duration.ofMillis(2);

    private final SimulationScheduler simulation;
    private final Map<MemberName, JobDispatcher> entries = new LinkedHashMap<>();
    private final Map<MemberName, SimulatedAgent> agents = new HashMap<>();
    private long messageCount;

    SimulatedNetwork(SimulationScheduler simulation) {
        this.simulation = simulation;
    }

    void addEntry(
            MemberName name,
            AvailabilityZone zone,
            JobPlacementPolicy policy,
            DispatchFeatures features,
            InterferenceModel interferenceModel) {
        AgentClient agentClient = new AgentClient(
                (agent, assignments) -> assign(name, agent, assignments),
                (agent, job, indexes) -> stop(name, agent, job, indexes));
        JobDispatcher dispatcher = JobDispatcher.create(
                WorkerCapacityTracker.create(interferenceModel),
                policy,
                agentClient,
                features.capacitySharing()
                        ? CapacityShares.create(zone, EventLog.none(), DecisionCounter.none())
                        : CapacityShares.disabled(),
                EventLog.none(),
                JobObserver.none());
        entries.put(name, dispatcher);
        simulation.scheduleWithFixedDelay(
                BestEffortTimings.REPORT_INTERVAL, () -> dispatcher.tick(simulation.nowNanos()));
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
        return messageCount;
    }

    void submit(MemberName entry, BestEffortJob job, Duration timeLeft, Consumer<BestEffortOutcome> waiter) {
        entries.get(entry).submit(job, simulation.nowNanos(), timeLeft, waiter);
    }

    void cancel(MemberName entry, JobId job) {
        entries.get(entry).cancel(job);
    }

    void report(MemberName agent, MemberName entry, AgentReport report) {
        messageCount++;
        simulation.schedule(MESSAGE_TIME, () -> {
            if (agents.containsKey(agent)) {
                entries.get(entry).agentReported(agent, report, simulation.nowNanos());
            }
        });
    }

    /** Removes an agent; the entries are notified after the heartbeat timeout. */
    void disconnect(SimulatedAgent agent) {
        long lastMessageNanos = simulation.nowNanos();
        agents.remove(agent.memberName());
        simulation.schedule(BestEffortTimings.HEARTBEAT_TIMEOUT, () -> entries.values()
                .forEach(entry -> entry.agentDisconnected(
                        agent.memberName(),
                        lastMessageNanos + BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.toNanos())));
    }

    private void assign(MemberName entry, MemberName agent, List<TaskAssignment> assignments) {
        send(agent, destination -> destination.assign(entry, assignments));
    }

    private void stop(MemberName entry, MemberName agent, JobId job, List<Integer> indexes) {
        send(agent, destination -> destination.stop(entry, job, indexes));
    }

    private void send(MemberName agent, Consumer<SimulatedAgent> message) {
        messageCount++;
        simulation.schedule(MESSAGE_TIME, () -> {
            SimulatedAgent destination = agents.get(agent);
            if (destination != null) {
                message.accept(destination);
            }
        });
    }
}
