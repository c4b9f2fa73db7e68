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

/** The real decision code of entries and agents with fakes at the interfaces, on a virtual clock. */
public final class World {
    /** Service of every target unless a test says otherwise. */
    public static final ServiceName BOOKINGS = ServiceName.of("bookings");
    /** Caller of every job unless a test says otherwise. */
    public static final Caller RUSEVA = Caller.of("ruseva");

    private static final int PORT = 7101;
    private static final int SLOTS = 8;

    /** An entry that runs in this world. */
    static final class EntryProcess {
        final String name;
        final AvailabilityZone zone;
        FakeProcess process;
        AtMostOnceEntry node;
        boolean cutFromLog;
        boolean leaving;

        EntryProcess(String name, AvailabilityZone zone) {
            this.name = name;
            this.zone = zone;
        }
    }

    /** An agent that runs in this world, and the target beside it. */
    static final class AgentProcess {
        final WorkerName worker;
        final AvailabilityZone zone;
        final ServiceName service;
        final FakeTarget target;
        FakeProcess process;
        AtMostOnceAgent node;
        boolean leaving;

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
    final List<FakeTarget.Start> journal = new ArrayList<>();
    final List<Request> requests = new ArrayList<>();
    final Map<String, EntryProcess> entries = new LinkedHashMap<>();
    final Map<String, AgentProcess> agents = new LinkedHashMap<>();
    ControlSettings control = ControlSettings.defaults();
    TrafficSettings traffic = TrafficSettings.defaults();
    private int lives;

    private World(long seed) {
        this.random = new Random(seed);
        this.log = new FakeLog(clock, random);
        this.network = new FakeNetwork(clock, random);
    }

    static World create(long seed) {
        return new World(seed);
    }

    void run(Duration span) {
        clock.run(span);
    }

    EntryProcess startEntry(String name, String zone) {
        EntryProcess entry = entries.computeIfAbsent(name, key -> new EntryProcess(key, AvailabilityZone.of(zone)));
        entry.process = new FakeProcess(clock, name);
        entry.leaving = false;
        Incarnation incarnation = Incarnation.of(name + "-life-" + lives++);
        EntryAddress address = EntryAddress.of(EntryName.of(name), incarnation, entry.zone, "127.0.0.1", PORT);
        FakeProcess process = entry.process;
        EntryDependencies ports = new EntryDependencies(
                clock.time(),
                random,
                log.open("operations", () -> !entry.cutFromLog),
                log.open("members", () -> !entry.cutFromLog),
                (StreamName stream) -> log.open(stream.value(), () -> !entry.cutFromLog),
                network.dialerOf(process),
                WorkerSelectionPolicy.powerOfTwoChoices(),
                EventLog.none(),
                Tracing.none());
        EntryExecutors lanes =
                new EntryExecutors(process.lane(), process.lane(), List.of(process.lane(), process.lane()));
        entry.node = AtMostOnceEntry.create(address, lanes, control, traffic, ports);
        network.listen(incarnation, process, entry.node);
        entry.node.start();
        return entry;
    }

    AgentProcess startAgent(String worker, String zone) {
        return startAgent(worker, zone, BOOKINGS);
    }

    AgentProcess startAgent(String worker, String zone, ServiceName service) {
        AgentProcess agent = agents.computeIfAbsent(worker, key -> {
            AvailabilityZone inZone = AvailabilityZone.of(zone);
            WorkerName name = WorkerName.of(key);
            return new AgentProcess(name, inZone, service, new FakeTarget(clock, name, inZone, journal));
        });
        agent.process = new FakeProcess(clock, worker);
        agent.leaving = false;
        FakeProcess process = agent.process;
        AgentDependencies ports = new AgentDependencies(
                clock.time(),
                log.open("members", () -> true),
                network.dialerOf(process),
                agent.target,
                EventLog.none(),
                Tracing.none());
        agent.node = AtMostOnceAgent.create(
                new AgentIdentity(agent.worker, Incarnation.of(worker + "-life-" + lives++), agent.zone),
                process.lane(),
                process.lane(),
                control,
                new AgentSettings(SLOTS, SLOTS),
                traffic.deduplicationWindow(),
                ports);
        agent.node.control().start(List.of());
        agent.node.control().registerTarget(agent.service);
        return agent;
    }

    /** Kills a process; {@code noticed} says whether the others see its connections end. */
    void kill(EntryProcess entry, boolean noticed) {
        entry.process.kill();
        network.dropAll(entry.process, noticed);
        requests.stream().filter(request -> request.entry == entry.node).forEach(Request::connectionLost);
    }

    void kill(AgentProcess agent, boolean noticed) {
        agent.process.kill();
        network.dropAll(agent.process, noticed);
    }

    /** Shuts an entry down the graceful way; what is still open when it stops counts as cut. */
    CompletableFuture<Void> leave(EntryProcess entry) {
        entry.leaving = true;
        FakeProcess process = entry.process;
        AtMostOnceEntry node = entry.node;
        return node.drain().thenRun(() -> {
            requests.stream().filter(request -> request.entry == node).forEach(Request::cut);
            process.kill();
            network.dropAll(process, true);
        });
    }

    CompletableFuture<Void> leave(AgentProcess agent) {
        agent.leaving = true;
        FakeProcess process = agent.process;
        return agent.node
                .drain()
                .thenRun(() -> clock.after(Duration.ofMillis(200), () -> {
                    process.kill();
                    network.dropAll(process, true);
                }));
    }

    Request submit(EntryProcess entry, String key, int tasks, int taskMillis, Duration timeout) {
        return submit(entry, key, java.util.Collections.nCopies(tasks, Integer.toString(taskMillis)), timeout);
    }

    Request submit(EntryProcess entry, String key, List<String> payloads, Duration timeout) {
        JobRequest job = JobRequest.of(SubmissionKey.of(RUSEVA, key), BOOKINGS, payloads, timeout);
        Request request = new Request(job, entry.node, clock.nanos());
        requests.add(request);
        FakeProcess process = entry.process;
        process.run(() -> entry.node
                .submit(job, TraceParent.NONE)
                .whenComplete((outcome, failure) -> request.answered(outcome, failure, clock.nanos())));
        return request;
    }

    Collection<FakeTarget.Start> startsOf(Request request) {
        return journal.stream()
                .filter(start ->
                        start.task().submission().equals(request.job.key().digest()))
                .toList();
    }
}
