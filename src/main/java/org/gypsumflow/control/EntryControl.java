package org.gypsumflow.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.gypsumflow.command.Freshness;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.Membership;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.command.OperationsFollower;
import org.gypsumflow.model.CommandMessage.AgentHeartbeat;
import org.gypsumflow.model.CommandMessage.AnnounceAgent;
import org.gypsumflow.model.CommandMessage.AnnounceEntry;
import org.gypsumflow.model.CommandMessage.ApplyConfiguration;
import org.gypsumflow.model.CommandMessage.PeerHeartbeat;
import org.gypsumflow.model.CommandMessage.ReportDemand;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.ReportMessage.HeartbeatReply;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.Version;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.platform.PlatformLog.Page;
import org.gypsumflow.platform.TypedLog;

/**
 * Owns an entry's control state: membership, workers, configuration and freshness.
 *
 * <p>All of it is touched on the control lane only. Everybody else reads {@link #snapshot()}.
 */
public final class EntryControl implements LinkListener {
    private static final Duration PAUSE_SUSPICION = Duration.ofSeconds(1);

    private final EntryAddress self;
    private final Lane lane;
    private final TimeSource time;
    private final ControlSettings settings;
    private final TypedLog<OperationRecord> operationsLog;
    private final TypedLog<MemberRecord> membersLog;
    private final Dialer dialer;
    private final IntSupplier waitingTasks;
    private final EntryListener listener;
    private final EventLog events;

    private final OperationsFollower follower = OperationsFollower.create();
    private final Freshness freshness = Freshness.create();
    private final Membership membership;
    private final Map<Incarnation, Link> peers = new HashMap<>();
    private final Map<Incarnation, Boolean> peerLeaving = new HashMap<>();
    private final Set<Incarnation> dialing = new HashSet<>();
    private final Map<WorkerName, WorkerView> workers = new HashMap<>();
    private final Map<Link, WorkerName> workerByLink = new HashMap<>();
    private final Map<Link, List<EntryAddress>> entriesTold = new HashMap<>();
    private final Map<Link, Long> lastHeardNanos = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private Version version = Version.NONE;
    private boolean caughtUp;
    private boolean leaving;
    private boolean stopped;
    private boolean polling;
    private long lastBeatNanos;
    private long usableFromNanos;
    private boolean logReachable = true;
    private long announcedNanos;
    private volatile EntrySnapshot snapshot;

    private EntryControl(
            EntryAddress self,
            Lane lane,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            Dialer dialer,
            IntSupplier waitingTasks,
            EntryListener listener,
            EventLog events) {
        this.self = self;
        this.lane = lane;
        this.time = time;
        this.settings = settings;
        this.operationsLog = operationsLog;
        this.membersLog = membersLog;
        this.dialer = dialer;
        this.waitingTasks = waitingTasks;
        this.listener = listener;
        this.events = events;
        this.membership = Membership.create(settings.memberExpiry());
        this.lastBeatNanos = time.nanos();
        this.usableFromNanos = time.nanos();
        this.snapshot = buildSnapshot();
    }

    /**
     * Creates the control state of an entry; {@link #start} sets it going.
     *
     * @param self this entry
     * @param lane the control lane
     * @param time clocks
     * @param settings times
     * @param operationsLog stream of plans and confirmations
     * @param membersLog stream of announcements
     * @param dialer opens connections to other entries
     * @param waitingTasks number of tasks that wait for a slot, told to the agents
     * @param listener hears what traffic must react to, on the control lane
     * @param events receives numbered events
     * @return the control state
     */
    public static EntryControl create(
            EntryAddress self,
            Lane lane,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            Dialer dialer,
            IntSupplier waitingTasks,
            EntryListener listener,
            EventLog events) {
        return new EntryControl(
                self, lane, time, settings, operationsLog, membersLog, dialer, waitingTasks, listener, events);
    }

    /** Announces this entry and starts to follow the log and the other processes. */
    public void start() {
        lane.execute(() -> {
            announce(false);
            poll();
            lane.every(settings.logPoll(), this::pollAgain);
            lane.every(settings.heartbeat(), this::beat);
        });
    }

    /**
     * Announces that this entry takes no new work.
     *
     * @return completes when the announcement stands in the log or the log did not answer
     */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> announced = new CompletableFuture<>();
        lane.execute(() -> {
            leaving = true;
            publish();
            sendToPeers();
            announce(true).whenComplete((appended, failure) -> announced.complete(null));
        });
        return announced;
    }

    /** Stops all periodic work and closes all connections. */
    public void stop() {
        lane.execute(() -> {
            stopped = true;
            new ArrayList<>(lastHeardNanos.keySet()).forEach(Link::close);
        });
    }

    /**
     * Returns the newest snapshot; callable on any thread.
     *
     * @return the snapshot
     */
    public EntrySnapshot snapshot() {
        return snapshot;
    }

    /**
     * Reads the operations stream to its head at once.
     *
     * @return completes on the control lane when everything that stood in the log was folded, or fails with the log
     */
    public CompletableFuture<Void> refresh() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        lane.execute(() -> readOperations().whenComplete((nothing, failure) -> {
            if (failure != null) {
                done.completeExceptionally(failure);
            } else {
                done.complete(null);
            }
        }));
        return done;
    }

    /** Tells the agents at once that work began or ceased to wait here; callable on any thread. */
    public void demandChanged() {
        lane.execute(() -> {
            ReportDemand demand = new ReportDemand(waitingTasks.getAsInt());
            workers.values().forEach(view -> view.link().send(demand));
        });
    }

    /**
     * Tells whether the entries out of reach could go on without this one while the log is out.
     *
     * @return true if operators must not confirm here; called on the control lane
     */
    boolean isCutOff() {
        return membership.isCutOff(freshness.reachable(settings.freshnessBound(), time.nanos()));
    }

    /**
     * Returns when the state was last repeated in the operations stream; called on the control lane.
     *
     * @return the log's clock, in milliseconds since the epoch; 0 if never
     */
    long snapshotLoggedAtMillis() {
        return follower.snapshotLoggedAtMillis();
    }

    @Override
    public void received(Link link, Message message) {
        lane.execute(() -> {
            lastHeardNanos.put(link, time.nanos());
            handle(link, message);
        });
    }

    @Override
    public void closed(Link link) {
        lane.execute(() -> {
            lastHeardNanos.remove(link);
            entriesTold.remove(link);
            workerByLink.remove(link);
            peers.entrySet().removeIf(peer -> peer.getValue().equals(link) && peerLost(peer.getKey()));
            workers.values().removeIf(view -> view.link().equals(link) && agentLost(view.worker()));
            publish();
        });
    }

    private boolean peerLost(Incarnation peer) {
        events.write(Event.PEER_LOST, peer);
        return true;
    }

    private boolean agentLost(WorkerName worker) {
        events.write(Event.AGENT_LOST, worker);
        return true;
    }

    private void handle(Link link, Message message) {
        if (message instanceof AnnounceAgent agent) {
            agentAnnounced(link, agent);
        } else if (message instanceof AgentHeartbeat heartbeat) {
            agentBeat(link, heartbeat);
        } else if (message instanceof AnnounceEntry entry) {
            membership.hear(entry.entry());
        } else if (message instanceof PeerHeartbeat heartbeat) {
            peerBeat(link, heartbeat);
        } else if (message instanceof HeartbeatReply reply) {
            peerReplied(link, reply);
        } else if (message instanceof ApplyConfiguration apply) {
            adopt(apply.version(), apply.configuration());
        }
    }

    private void agentAnnounced(Link link, AnnounceAgent agent) {
        WorkerView before = workers.get(agent.worker());
        workerByLink.put(link, agent.worker());
        workers.put(
                agent.worker(),
                new WorkerView(
                        agent.worker(),
                        agent.incarnation(),
                        agent.zone(),
                        agent.slots(),
                        Optional.empty(),
                        0,
                        0,
                        Version.NONE,
                        false,
                        link));
        publish();
        if (before != null && !before.link().equals(link)) {
            workerByLink.remove(before.link());
            before.link().close();
        }
        events.write(Event.AGENT_CONNECTED, agent.worker(), agent.incarnation());
        listener.workerConnected(agent.worker(), agent.incarnation(), link);
    }

    private void agentBeat(Link link, AgentHeartbeat heartbeat) {
        WorkerName worker = workerByLink.get(link);
        if (worker == null) {
            return;
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
                heartbeat.running(),
                heartbeat.credit(),
                heartbeat.version(),
                heartbeat.leaving(),
                link);
        workers.put(before.worker(), after);
        answerBeat(link, heartbeat.sentAtNanos(), heartbeat.version());
        if (after.placesDifferently(before)) {
            publish();
        }
    }

    private void peerBeat(Link link, PeerHeartbeat heartbeat) {
        if (heartbeat.version().isAfter(version)) {
            poll();
        }
        answerBeat(link, heartbeat.sentAtNanos(), heartbeat.version());
    }

    private void answerBeat(Link link, long echo, Version theirs) {
        if (version.isAfter(theirs)) {
            link.send(new ApplyConfiguration(version, configuration));
        }
        link.send(new HeartbeatReply(
                echo, version, freshAgeMillis(), waitingTasks.getAsInt(), newEntriesFor(link), leaving));
    }

    /** Lists the entries in service if the other end has not been told of exactly these. */
    private List<EntryAddress> newEntriesFor(Link link) {
        List<EntryAddress> now = inService();
        return now.equals(entriesTold.put(link, now)) ? List.of() : now;
    }

    private void peerReplied(Link link, HeartbeatReply reply) {
        peers.forEach((incarnation, peerLink) -> {
            if (!peerLink.equals(link)) {
                return;
            }
            peerLeaving.put(incarnation, reply.leaving());
            if (!reply.version().isAfter(version)) {
                Duration age = reply.freshAgeMillis() < 0 ? null : Duration.ofMillis(reply.freshAgeMillis());
                freshness.peerAnswered(incarnation, reply.echoNanos(), age);
            }
        });
        reply.entries().forEach(membership::hear);
    }

    private void adopt(Version newer, Configuration newConfiguration) {
        if (!newer.isAfter(version)) {
            return;
        }
        version = newer;
        configuration = newConfiguration;
        publish();
        events.write(Event.CONFIGURATION_APPLIED, version);
    }

    private boolean beat() {
        if (stopped) {
            return false;
        }
        notePause();
        closeSilentLinks();
        dialPeers();
        sendToPeers();
        if (time.nanos() - announcedNanos > settings.announceEvery().toNanos() && !leaving) {
            announce(false);
        }
        publish();
        return true;
    }

    /** After a pause the sockets still hold old requests; nothing new is trusted until they have been read. */
    private void notePause() {
        long now = time.nanos();
        if (now - lastBeatNanos > settings.silence().toNanos()) {
            usableFromNanos = now + PAUSE_SUSPICION.toNanos();
            events.write(Event.PAUSED, Duration.ofNanos(now - lastBeatNanos).toMillis());
        }
        lastBeatNanos = now;
    }

    private void closeSilentLinks() {
        long oldest = time.nanos() - settings.silence().toNanos();
        List<Link> silent = lastHeardNanos.entrySet().stream()
                .filter(heard -> heard.getValue() - oldest < 0)
                .map(Map.Entry::getKey)
                .toList();
        silent.forEach(link -> {
            events.write(Event.SILENT_CONNECTION, settings.silence().toMillis());
            link.close();
            closed(link);
        });
    }

    private void dialPeers() {
        Set<Incarnation> wanted = new HashSet<>();
        for (EntryAddress entry : membership.entries()) {
            wanted.add(entry.incarnation());
            if (!entry.incarnation().equals(self.incarnation())
                    && !peers.containsKey(entry.incarnation())
                    && dialing.add(entry.incarnation())) {
                dial(entry);
            }
        }
        Set<Incarnation> gone = new HashSet<>(peers.keySet());
        gone.removeAll(wanted);
        gone.forEach(incarnation -> {
            peers.remove(incarnation).close();
            peerLeaving.remove(incarnation);
            freshness.peerGone(incarnation);
        });
    }

    private void dial(EntryAddress entry) {
        LogReader.within(lane, settings.silence(), dialer.dial(entry, this)).whenComplete((link, failure) -> {
            dialing.remove(entry.incarnation());
            if (failure != null) {
                return;
            }
            peers.put(entry.incarnation(), link);
            lastHeardNanos.put(link, time.nanos());
            link.send(new AnnounceEntry(self));
            link.send(new PeerHeartbeat(time.nanos(), version, leaving));
            publish();
            events.write(Event.PEER_CONNECTED, entry.name());
        });
    }

    private void sendToPeers() {
        peers.values().forEach(link -> link.send(new PeerHeartbeat(time.nanos(), version, leaving)));
    }

    private boolean pollAgain() {
        if (!stopped) {
            poll();
        }
        return !stopped;
    }

    private void poll() {
        if (polling) {
            return;
        }
        polling = true;
        readMembers()
                .handle((nothing, failure) -> readOperations())
                .thenCompose(reading -> reading)
                .whenComplete((nothing, failure) -> {
                    polling = false;
                    noteLog(failure);
                    publish();
                });
    }

    private void noteLog(Throwable failure) {
        boolean reachable = failure == null;
        if (reachable == logReachable) {
            return;
        }
        logReachable = reachable;
        if (reachable) {
            events.write(Event.LOG_REACHABLE);
        } else {
            events.write(Event.LOG_UNREACHABLE, failure.getMessage());
        }
    }

    private CompletableFuture<Void> readMembers() {
        return LogReader.toHead(membersLog, lane, settings.logTimeout(), membership::nextOffset, page -> page.entries()
                .forEach(entry -> membership.fold(entry.offset(), entry.loggedAtMillis(), entry.body())));
    }

    private CompletableFuture<Void> readOperations() {
        long askedNanos = time.nanos();
        return LogReader.toHead(operationsLog, lane, settings.logTimeout(), follower::nextOffset, this::foldOperations)
                .thenRun(() -> {
                    if (follower.hasGap()) {
                        return;
                    }
                    caughtUp = true;
                    adopt(follower.state().version(), follower.state().configuration());
                    freshness.logRead(askedNanos);
                    publish();
                });
    }

    private void foldOperations(Page<OperationRecord> page) {
        if (page.firstOffset() > follower.nextOffset()) {
            events.write(Event.CONFIGURATION_GAP, page.firstOffset());
        }
        follower.logStartsAt(page.firstOffset());
        page.entries().forEach(entry -> follower.next(entry.offset(), entry.loggedAtMillis(), entry.body()));
    }

    private CompletableFuture<Void> announce(boolean goodbye) {
        announcedNanos = time.nanos();
        return LogReader.within(lane, settings.logTimeout(), membersLog.append(new MemberRecord(self, goodbye)))
                .thenAccept(appended -> {});
    }

    private long freshAgeMillis() {
        int known = Math.max(1, membership.entries().size());
        Duration age = freshness.age(known, time.nanos());
        return age == null || !caughtUp ? -1 : age.toMillis();
    }

    private List<EntryAddress> inService() {
        List<EntryAddress> entries = new ArrayList<>();
        if (!leaving) {
            entries.add(self);
        }
        membership.entries().stream()
                .filter(entry ->
                        peers.containsKey(entry.incarnation()) && !peerLeaving.getOrDefault(entry.incarnation(), false))
                .forEach(entries::add);
        return entries;
    }

    private EntrySnapshot buildSnapshot() {
        return new EntrySnapshot(
                self,
                follower.state(),
                configuration,
                version,
                inService(),
                peers,
                workers,
                freshAgeMillis(),
                caughtUp && !leaving,
                leaving,
                usableFromNanos,
                lastBeatNanos + settings.silence().toNanos());
    }

    private void publish() {
        snapshot = buildSnapshot();
        listener.snapshotChanged();
    }
}
