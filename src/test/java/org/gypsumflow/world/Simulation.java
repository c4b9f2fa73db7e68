package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.WorkerSelectionPolicy;
import org.gypsumflow.control.AgentIdentity;
import org.gypsumflow.control.AgentSettings;
import org.gypsumflow.control.ControlSettings;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.EntryName;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.StreamName;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.traffic.AgentDependencies;
import org.gypsumflow.traffic.AtMostOnceAgent;
import org.gypsumflow.traffic.AtMostOnceEntry;
import org.gypsumflow.traffic.EntryDependencies;
import org.gypsumflow.traffic.EntryExecutors;
import org.gypsumflow.traffic.TrafficSettings;

/** Runs the production code of entries and agents against fake logs, connections and targets on a virtual clock. */
public final class Simulation {
    /** Default service of targets. */
    public static final ServiceName BOOKINGS = ServiceName.of("bookings");
    /** Caller that submits all jobs. */
    public static final Caller RUSEVA = Caller.of("ruseva");

    private static final int PORT = 7101;
    private static final int SLOTS = 8;

    /** A simulated entry; a restart replaces its process and instance. */
    static final class EntryProcess {
        final String name;
        final AvailabilityZone zone;
        FakeProcess process;
        AtMostOnceEntry instance;
        boolean logUnreachable;
        boolean draining;

        EntryProcess(String name, AvailabilityZone zone) {
            this.name = name;
            this.zone = zone;
        }
    }

    /** A simulated agent and its target; a restart replaces the process and instance and keeps the target. */
    static final class AgentProcess {
        final WorkerName worker;
        final AvailabilityZone zone;
        final ServiceName service;
        final FakeTarget target;
        FakeProcess process;
        AtMostOnceAgent instance;
        boolean draining;

        AgentProcess(WorkerName worker, AvailabilityZone zone, ServiceName service, FakeTarget target) {
            this.worker = worker;
            this.zone = zone;
            this.service = service;
            this.target = target;
        }
    }

    final VirtualClock clock = new VirtualClock();
    final Random random;
    final FakeLog log;
    final FakeNetwork network;
    final List<FakeTarget.TaskStart> taskStarts = new ArrayList<>();
    final List<Request> requests = new ArrayList<>();
    final Map<String, EntryProcess> entries = new LinkedHashMap<>();
    final Map<String, AgentProcess> agents = new LinkedHashMap<>();
    ControlSettings controlSettings = ControlSettings.defaults();
    TrafficSettings trafficSettings = TrafficSettings.defaults();
    private int incarnationCount;

    private Simulation(long seed) {
        this.random = new Random(seed);
        this.log = new FakeLog(clock, random);
        this.network = new FakeNetwork(clock, random);
    }

    static Simulation create(long seed) {
        return new Simulation(seed);
    }

    void advance(Duration duration) {
        clock.advance(duration);
    }

    EntryProcess startEntry(String name, String zone) {
        EntryProcess entry = entries.computeIfAbsent(name, key -> new EntryProcess(key, AvailabilityZone.of(zone)));
        entry.process = new FakeProcess(clock, name);
        entry.draining = false;
        Incarnation incarnation = Incarnation.of(name + "-life-" + incarnationCount++);
        EntryAddress address = EntryAddress.of(EntryName.of(name), incarnation, entry.zone, "127.0.0.1", PORT);
        FakeProcess process = entry.process;
        EntryDependencies dependencies = new EntryDependencies(
                clock.timeSource(),
                random,
                log.open("operations", () -> !entry.logUnreachable),
                log.open("members", () -> !entry.logUnreachable),
                (StreamName stream) -> log.open(stream.value(), () -> !entry.logUnreachable),
                network.connectorOf(process),
                WorkerSelectionPolicy.powerOfTwoChoices(),
                EventLog.none(),
                Tracing.none());
        EntryExecutors executors = new EntryExecutors(
                process.newExecutor(), process.newExecutor(), List.of(process.newExecutor(), process.newExecutor()));
        entry.instance = AtMostOnceEntry.create(address, executors, controlSettings, trafficSettings, dependencies);
        network.listen(incarnation, process, entry.instance);
        entry.instance.start();
        return entry;
    }

    AgentProcess startAgent(String worker, String zone) {
        return startAgent(worker, zone, BOOKINGS);
    }

    AgentProcess startAgent(String worker, String zone, ServiceName service) {
        AgentProcess agent = agents.computeIfAbsent(worker, key -> {
            AvailabilityZone availabilityZone = AvailabilityZone.of(zone);
            WorkerName name = WorkerName.of(key);
            return new AgentProcess(
                    name, availabilityZone, service, new FakeTarget(clock, name, availabilityZone, taskStarts));
        });
        agent.process = new FakeProcess(clock, worker);
        agent.draining = false;
        FakeProcess process = agent.process;
        AgentDependencies dependencies = new AgentDependencies(
                clock.timeSource(),
                log.open("members", () -> true),
                network.connectorOf(process),
                agent.target,
                EventLog.none(),
                Tracing.none());
        agent.instance = AtMostOnceAgent.create(
                new AgentIdentity(agent.worker, Incarnation.of(worker + "-life-" + incarnationCount++), agent.zone),
                process.newExecutor(),
                process.newExecutor(),
                controlSettings,
                new AgentSettings(SLOTS, SLOTS),
                trafficSettings.deduplicationWindow(),
                dependencies);
        agent.instance.control().start(List.of());
        agent.instance.control().registerTarget(agent.service);
        return agent;
    }

    /** Kills an entry; {@code noticed} says whether its peers see the connections close. */
    void kill(EntryProcess entry, boolean noticed) {
        entry.process.kill();
        network.disconnect(entry.process, noticed);
        requests.stream().filter(request -> request.entry == entry.instance).forEach(Request::markConnectionLost);
    }

    void kill(AgentProcess agent, boolean noticed) {
        agent.process.kill();
        network.disconnect(agent.process, noticed);
    }

    /** Shuts an entry down gracefully; requests still pending when it stops are marked as cut by the shutdown. */
    CompletableFuture<Void> shutDown(EntryProcess entry) {
        entry.draining = true;
        FakeProcess process = entry.process;
        AtMostOnceEntry node = entry.instance;
        return node.drain().thenRun(() -> {
            requests.stream().filter(request -> request.entry == node).forEach(Request::markCutByShutdown);
            process.kill();
            network.disconnect(process, true);
        });
    }

    CompletableFuture<Void> shutDown(AgentProcess agent) {
        agent.draining = true;
        FakeProcess process = agent.process;
        return agent.instance
                .drain()
                .thenRun(() -> clock.schedule(Duration.ofMillis(200), () -> {
                    process.kill();
                    network.disconnect(process, true);
                }));
    }

    Request submit(EntryProcess entry, String key, int tasks, int taskMillis, Duration timeout) {
        return submit(entry, key, java.util.Collections.nCopies(tasks, Integer.toString(taskMillis)), timeout);
    }

    Request submit(EntryProcess entry, String key, List<String> payloads, Duration timeout) {
        JobRequest job = JobRequest.of(SubmissionKey.of(RUSEVA, key), BOOKINGS, payloads, timeout);
        Request request = new Request(job, entry.instance, clock.nanos());
        requests.add(request);
        FakeProcess process = entry.process;
        process.run(() -> entry.instance
                .submit(job, TraceParent.NONE)
                .whenComplete((outcome, failure) -> request.complete(outcome, failure, clock.nanos())));
        return request;
    }

    Collection<FakeTarget.TaskStart> startsOf(Request request) {
        return taskStarts.stream()
                .filter(start ->
                        start.task().submission().equals(request.job.key().digest()))
                .toList();
    }
}
