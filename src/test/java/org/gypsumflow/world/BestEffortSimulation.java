package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.balancing.PeerChooser;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.ReceptionMonitor;
import org.gypsumflow.control.ReceptionProgress;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.traffic.BestEffortAgent;
import org.gypsumflow.traffic.BestEffortEntry;

/** Entries, agents, workers and callers of best-effort jobs, on one virtual clock. */
final class BestEffortSimulation {
    private static final int NANOS_PER_MICRO = 1000;

    /** An entry on its host; the process and the instance change when it restarts. */
    static final class EntryHost {
        final Member member;
        final MemberProcess.WallClock wallClock;
        MemberProcess process;
        private BestEffortEntry instance;
        private ConnectionManager connections;
        private SerialExecutor control;

        private EntryHost(Member member, MemberProcess.WallClock wallClock) {
            this.member = member;
            this.wallClock = wallClock;
        }
    }

    /** An agent on its host with its worker; the process and the instance change when it restarts. */
    static final class AgentHost {
        final Member member;
        final MemberProcess.WallClock wallClock;
        final FakeWorkerHost worker;
        MemberProcess process;

        private AgentHost(Member member, MemberProcess.WallClock wallClock, FakeWorkerHost worker) {
            this.member = member;
            this.wallClock = wallClock;
            this.worker = worker;
        }
    }

    /** One request of a caller with a job, and what became of it. */
    static final class Attempt {
        final BestEffortJob job;
        final String entry;
        final long sentNanos;
        final CompletableFuture<Void> disconnected = new CompletableFuture<>();
        /** Completes when the caller has the response; exceptionally when its connection broke before. */
        final CompletableFuture<BestEffortOutcome> response = new CompletableFuture<>();

        private final MemberProcess process;
        BestEffortOutcome decided;
        long decidedNanos;

        private Attempt(BestEffortJob job, EntryHost entry, long sentNanos) {
            this.job = job;
            this.entry = entry.member.name().value();
            this.process = entry.process;
            this.sentNanos = sentNanos;
        }

        boolean isRejected() {
            return decided != null && decided.verdict() == Verdict.NOT_RUN;
        }

        boolean isCompleted() {
            return decided != null && decided.verdict() == Verdict.COMPLETED;
        }

        @Override
        public String toString() {
            String result =
                    decided == null ? "no outcome" : decided + " at " + BestEffortSimulation.seconds(decidedNanos);
            return "job " + job.id() + " sent to " + entry + " at " + BestEffortSimulation.seconds(sentNanos) + ": "
                    + result;
        }
    }

    final VirtualClock clock = new VirtualClock();
    final MemberNetwork network;
    final List<FakeWorker.Run> runs = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    final Map<String, EntryHost> entries = new TreeMap<>();
    final Map<String, AgentHost> agents = new TreeMap<>();
    final List<String> traceLines = new ArrayList<>();
    final Map<String, Integer> decisions = new TreeMap<>();
    private List<Route> routes = List.of();
    /** Chooses for each new process of an entry the peers that run its jobs; empty if it hands none over. */
    private Supplier<Optional<PeerChooser>> balancing = Optional::empty;

    private final Random random;
    private final boolean traced;
    private final DispatchFeatures features;
    private int incarnationCount;

    BestEffortSimulation(long seed, boolean traced, DispatchFeatures features) {
        this.features = features;
        this.random = new Random(seed);
        this.network = new MemberNetwork(clock, random);
        this.traced = traced;
    }

    /** Lets entries that start from now on hand jobs over; each needs the routes to take one. */
    void balanceJobs(List<Route> newRoutes, Supplier<Optional<PeerChooser>> newBalancing) {
        routes = newRoutes;
        balancing = newBalancing;
    }

    static String seconds(long nanos) {
        return String.format(Locale.ROOT, "%.4f s", nanos / 1e9);
    }

    void trace(String line) {
        if (traced) {
            traceLines.add(seconds(clock.nanos()) + "  " + line);
        }
    }

    EntryHost addEntry(String name, String zone) {
        EntryHost host = new EntryHost(member(name, Member.Role.ENTRY, zone), new MemberProcess.WallClock(clock));
        entries.put(name, host);
        start(host);
        return host;
    }

    AgentHost addAgent(String name, String zone, Resources capacity) {
        FakeWorkerHost worker =
                new FakeWorkerHost(clock, random, name, AvailabilityZone.of(zone), capacity, runs, this::trace);
        AgentHost host =
                new AgentHost(member(name, Member.Role.AGENT, zone), new MemberProcess.WallClock(clock), worker);
        agents.put(name, host);
        start(host);
        clock.schedule(Duration.ofMillis(random.nextInt(500)), worker::startWorker);
        return host;
    }

    private static Member member(String name, Member.Role role, String zone) {
        return new Member(MemberName.of(name), role, AvailabilityZone.of(zone), "127.0.0.1", 1);
    }

    void start(EntryHost host) {
        trace("start of " + host.member.name());
        MemberProcess process = new MemberProcess(
                clock, random, host.wallClock, host.member.name().value());
        EventLog events = eventsOf(host.member);
        SerialExecutor control = process.newControlExecutor();
        SerialExecutor traffic = process.newTrafficExecutor();
        host.process = process;
        host.control = control;
        Optional<PeerChooser> chooser = balancing.get();
        RoutingStateCache routingState = RoutingStateCache.create(events);
        if (!routes.isEmpty()) {
            routingState.update(
                    new ShareRoutingState(new RoutingTable(1, routes, Set.of()), ClosedZones.NONE), "the test");
        }
        DecisionCounter counter = (decision, cause) -> decisions.merge(decision + " " + cause, 1, Integer::sum);
        host.instance = BestEffortEntry.create(
                traffic,
                process.timeSource(),
                EarliestFinishPlacement.policy(),
                routingState,
                events,
                JobObserver.none(),
                features.capacitySharing()
                        ? CapacityShares.create(host.member.zone(), events, counter)
                        : CapacityShares.disabled(),
                new DispatchFeatures(
                        features.overloadControl(),
                        chooser.isPresent(),
                        features.capacitySharing(),
                        features.interferenceAvoidance(),
                        features.promptCallRecovery()),
                counter);
        chooser.ifPresent(present -> host.instance.balanceJobs(host.member.zone(), present));
        ReceptionProgress receptionProgress = features.overloadControl()
                ? ReceptionMonitor.start(
                        process.newNetworkExecutor(), process.timeSource(), recordDelayOn(traffic, host.instance))
                : process.timeSource()::nanoTime;
        host.connections = ConnectionManager.create(
                host.member,
                nextIncarnation(host.member),
                control,
                process.timeSource(),
                network.connectorOf(process),
                host.instance,
                events,
                receptionProgress,
                routingState);
        network.listen(host.member.name(), process, host.connections);
        host.connections.start();
        host.instance.start();
        agents.values().forEach(agent -> announce(agent.member, host));
        Duration storeRead = Duration.ZERO;
        for (EntryHost peer : entries.values()) {
            Duration announced = announceToEachOther(host, peer);
            storeRead = announced.compareTo(storeRead) > 0 ? announced : storeRead;
        }
        discoverPeers(host, storeRead);
    }

    private static Consumer<Duration> recordDelayOn(SerialExecutor traffic, BestEffortEntry entry) {
        return delay -> traffic.execute(() -> entry.recordTimerDelay(delay));
    }

    private void discoverPeers(EntryHost host, Duration storeRead) {
        Set<MemberName> peers = entries.values().stream()
                .map(entry -> entry.member.name())
                .filter(name -> !name.equals(host.member.name()))
                .collect(Collectors.toSet());
        BestEffortEntry instance = host.instance;
        SerialExecutor control = host.control;
        clock.schedule(storeRead, () -> control.execute(() -> instance.peersDiscovered(peers)));
    }

    void start(AgentHost host) {
        trace("start of " + host.member.name());
        MemberProcess process = new MemberProcess(
                clock, random, host.wallClock, host.member.name().value());
        EventLog events = eventsOf(host.member);
        host.process = process;
        BestEffortAgent agent = BestEffortAgent.create(
                process.newTrafficExecutor(),
                process.timeSource(),
                host.worker.clientOf(process),
                RoutingStateCache.create(events),
                events,
                features,
                DecisionCounter.none());
        host.worker.setAgent(process, agent);
        ConnectionManager connections = ConnectionManager.create(
                host.member,
                nextIncarnation(host.member),
                process.newControlExecutor(),
                process.timeSource(),
                network.connectorOf(process),
                agent,
                events);
        network.listen(host.member.name(), process, connections);
        connections.start();
        agent.start();
        entries.values().forEach(entry -> announce(host.member, entry));
    }

    /** Entries connect to agents, and to those entries whose names sort after their own. */
    private Duration announceToEachOther(EntryHost left, EntryHost right) {
        int order = left.member.name().compareTo(right.member.name());
        if (order == 0) {
            return Duration.ZERO;
        }
        return order < 0 ? announce(right.member, left) : announce(left.member, right);
    }

    /** The address of a member reaches an entry through the store. */
    private Duration announce(Member member, EntryHost receiver) {
        ConnectionManager connections = receiver.connections;
        SerialExecutor control = receiver.control;
        Duration delay = Duration.ofMillis(10 + random.nextInt(300));
        clock.schedule(delay, () -> control.execute(() -> connections.maintainConnection(member)));
        return delay;
    }

    private Incarnation nextIncarnation(Member member) {
        return Incarnation.of(member.name() + "-life-" + incarnationCount++);
    }

    private EventLog eventsOf(Member member) {
        return (event, details) -> trace(member.name() + ": " + event + " " + Arrays.toString(details));
    }

    /** Kills an entry; its peers and callers see their connections close, or hear nothing any more. */
    void kill(EntryHost host, boolean silently) {
        trace("kill of " + host.member.name() + (silently ? ", silently" : ""));
        host.process.kill();
        network.processDied(host.process, silently);
        if (!silently) {
            attempts.stream().filter(attempt -> attempt.process == host.process).forEach(this::breakConnection);
        }
    }

    void kill(AgentHost host, boolean silently) {
        trace("kill of " + host.member.name() + (silently ? ", silently" : ""));
        host.process.kill();
        network.processDied(host.process, silently);
    }

    /** Lets the caller see that its connection broke. */
    void breakConnection(Attempt attempt) {
        clock.schedule(
                latency(),
                () -> attempt.response.completeExceptionally(new IllegalStateException("the connection was closed")));
    }

    /** Lets the entry see that the caller has closed its connection. */
    void disconnect(Attempt attempt, Duration delay) {
        clock.schedule(delay.plus(latency()), () -> attempt.process.run(() -> attempt.disconnected.complete(null)));
    }

    /** Sends a job to an entry that is not dead. */
    Attempt submit(EntryHost host, BestEffortJob job, Duration timeLeft) {
        Attempt attempt = new Attempt(job, host, clock.nanos());
        attempts.add(attempt);
        trace("job " + job.id() + " with " + job.taskCount() + " tasks is sent to " + attempt.entry);
        BestEffortEntry instance = host.instance;
        clock.schedule(
                latency(),
                () -> attempt.process.run(() -> instance.submit(
                                job, attempt.process.timeSource().nanoTime(), timeLeft, attempt.disconnected)
                        .thenAccept(outcome -> decided(attempt, outcome))));
        return attempt;
    }

    private void decided(Attempt attempt, BestEffortOutcome outcome) {
        attempt.decided = outcome;
        attempt.decidedNanos = clock.nanos();
        trace("outcome of " + attempt);
        clock.schedule(latency(), () -> attempt.response.complete(outcome));
    }

    /** Returns a future that completes when no caller waits at the entry any more. */
    CompletableFuture<Void> drain(EntryHost host) {
        return host.instance.drain(Duration.ZERO);
    }

    /** Sends a cancellation of a job to an entry that is not dead. */
    void cancel(EntryHost host, JobId job) {
        trace("job " + job + " is cancelled at " + host.member.name());
        BestEffortEntry instance = host.instance;
        MemberProcess process = host.process;
        clock.schedule(latency(), () -> process.run(() -> instance.cancel(job)));
    }

    private Duration latency() {
        return Duration.ofNanos((200L + random.nextInt(800)) * NANOS_PER_MICRO);
    }
}
