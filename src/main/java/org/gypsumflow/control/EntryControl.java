package org.gypsumflow.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.gypsumflow.command.ConfigurationFreshness;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.Membership;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.CommandMessage.AgentHeartbeat;
import org.gypsumflow.model.CommandMessage.AnnounceAgent;
import org.gypsumflow.model.CommandMessage.AnnounceEntry;
import org.gypsumflow.model.CommandMessage.ApplyConfiguration;
import org.gypsumflow.model.CommandMessage.PeerHeartbeat;
import org.gypsumflow.model.CommandMessage.ReportDemand;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.ReportMessage.HeartbeatReply;

/**
 * Owns an entry's control state: membership, workers, configuration and freshness.
 *
 * <p>All of it is touched on the control lane only. Everybody else reads {@link #snapshot()}.
 */
public final class EntryControl implements ConnectionListener {
    private static final Duration PAUSE_SUSPICION = Duration.ofSeconds(1);

    private final EntryAddress self;
    private final SerialExecutor lane;
    private final TimeSource time;
    private final ControlSettings settings;
    private final EntryConnector dialer;
    private final IntSupplier waitingTasks;
    private final EntryControlListener listener;
    private final EventLog events;

    private final ConfigurationFreshness freshness = ConfigurationFreshness.create();
    private final Membership membership;
    private final EntryStreamPoller log;
    private final PeerConnections peers;
    private final PendingZoneClosures holds = PendingZoneClosures.create();
    private final AgentConnections agents;
    private final Map<Connection, List<EntryAddress>> entriesTold = new HashMap<>();
    private final Map<Connection, Long> lastHeardNanos = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private ConfigurationVersion version = ConfigurationVersion.NONE;
    private boolean leaving;
    private boolean stopped;
    private long lastBeatNanos;
    private long usableFromNanos;
    private long announcedNanos;
    private volatile EntrySnapshot snapshot;

    private EntryControl(
            EntryAddress self,
            SerialExecutor lane,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            EntryConnector dialer,
            IntSupplier waitingTasks,
            EntryControlListener listener,
            EventLog events) {
        this.self = self;
        this.lane = lane;
        this.time = time;
        this.settings = settings;
        this.dialer = dialer;
        this.waitingTasks = waitingTasks;
        this.listener = listener;
        this.events = events;
        this.membership = Membership.create(settings.memberExpiry());
        this.log = EntryStreamPoller.create(lane, settings.logTimeout(), operationsLog, membersLog, membership, events);
        this.peers = PeerConnections.create(self, membership, events);
        this.agents = AgentConnections.create(events);
        this.lastBeatNanos = time.nanoTime();
        this.usableFromNanos = time.nanoTime();
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
            SerialExecutor lane,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            EntryConnector dialer,
            IntSupplier waitingTasks,
            EntryControlListener listener,
            EventLog events) {
        return new EntryControl(
                self, lane, time, settings, operationsLog, membersLog, dialer, waitingTasks, listener, events);
    }

    /** Announces this entry and starts to follow the log and the other processes. */
    public void start() {
        lane.execute(() -> {
            announce(false);
            poll();
            lane.scheduleWithFixedDelay(settings.logPollInterval(), this::pollAgain);
            lane.scheduleWithFixedDelay(settings.heartbeatInterval(), this::beat);
        });
    }

    /**
     * Announces that this entry takes no new work.
     *
     * @return completes when the announcement stands in the log or the log did not answer
     */
    public CompletableFuture<Void> startDraining() {
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
            new ArrayList<>(lastHeardNanos.keySet()).forEach(Connection::close);
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
    public CompletableFuture<Void> refreshOperations() {
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
    public void sendDemand() {
        lane.execute(() -> {
            ReportDemand demand = new ReportDemand(waitingTasks.getAsInt());
            agents.workers().values().forEach(view -> view.connection().send(demand));
        });
    }

    /**
     * Stops vouching for the agents of a zone whose closing is about to be appended; called on the control lane.
     *
     * @param zone the zone
     */
    void addPendingClosure(AvailabilityZone zone) {
        holds.add(zone);
        sendToPeers();
    }

    /**
     * Vouches again, since the log was read; called on the control lane.
     *
     * @param zone the zone
     */
    void removePendingClosure(AvailabilityZone zone) {
        holds.remove(zone);
        sendToPeers();
    }

    /**
     * Tells whether the entries out of reach could go on without this one while the log is out.
     *
     * @return true if operators must not confirm here; called on the control lane
     */
    boolean isCutOff() {
        return membership.isPartitioned(freshness.countReachable(settings.maxConfigurationAge(), time.nanoTime()));
    }

    /**
     * Returns when the state was last repeated in the operations stream; called on the control lane.
     *
     * @return the log's clock, in milliseconds since the epoch; 0 if never
     */
    long snapshotLoggedAtMillis() {
        return log.snapshotLoggedAtMillis();
    }

    @Override
    public void messageReceived(Connection link, Message message) {
        lane.execute(() -> {
            lastHeardNanos.put(link, time.nanoTime());
            handle(link, message);
        });
    }

    @Override
    public void connectionClosed(Connection link) {
        lane.execute(() -> {
            lastHeardNanos.remove(link);
            entriesTold.remove(link);
            peers.remove(link);
            holds.peerDisconnected(link);
            agents.remove(link);
            publish();
        });
    }

    private void handle(Connection link, Message message) {
        if (message instanceof AnnounceAgent agent) {
            agentAnnounced(link, agent);
        } else if (message instanceof AgentHeartbeat heartbeat) {
            agentBeat(link, heartbeat);
        } else if (message instanceof AnnounceEntry entry) {
            membership.addFromPeer(entry.entry());
        } else if (message instanceof PeerHeartbeat heartbeat) {
            peerBeat(link, heartbeat);
        } else if (message instanceof HeartbeatReply reply) {
            peerReplied(link, reply);
        } else if (message instanceof ApplyConfiguration apply) {
            adopt(apply.version(), apply.configuration());
        }
    }

    private void agentAnnounced(Connection link, AnnounceAgent agent) {
        agents.register(link, agent);
        publish();
        listener.workerConnected(agent.worker(), agent.incarnation(), link);
    }

    private void agentBeat(Connection link, AgentHeartbeat heartbeat) {
        boolean placesDifferently = agents.applyHeartbeat(link, heartbeat);
        long age = agents.zoneOf(link).filter(holds::isPending).isPresent() ? -1 : freshAgeMillis();
        answerBeat(link, heartbeat.sentAtNanos(), heartbeat.version(), age);
        if (placesDifferently) {
            publish();
        }
    }

    private void peerBeat(Connection link, PeerHeartbeat heartbeat) {
        if (heartbeat.version().isAfter(version)) {
            poll();
        }
        holds.setPeerZones(link, heartbeat.pendingClosures());
        answerBeat(link, heartbeat.sentAtNanos(), heartbeat.version(), freshAgeMillis());
    }

    private void answerBeat(Connection link, long echo, ConfigurationVersion theirs, long freshAgeMillis) {
        if (version.isAfter(theirs)) {
            link.send(new ApplyConfiguration(version, configuration));
        }
        link.send(new HeartbeatReply(
                echo, version, freshAgeMillis, waitingTasks.getAsInt(), newEntriesFor(link), leaving));
    }

    /** Lists the entries in service if the other end has not been told of exactly these. */
    private List<EntryAddress> newEntriesFor(Connection link) {
        List<EntryAddress> now = peers.entriesInService(leaving);
        return now.equals(entriesTold.put(link, now)) ? List.of() : now;
    }

    private void peerReplied(Connection link, HeartbeatReply reply) {
        peers.findPeer(link).ifPresent(peer -> {
            peers.setDraining(peer, reply.draining());
            if (!reply.version().isAfter(version)) {
                Duration age =
                        reply.configurationAgeMillis() < 0 ? null : Duration.ofMillis(reply.configurationAgeMillis());
                freshness.recordPeerReply(peer, reply.echoNanos(), age);
            }
        });
        reply.entriesInService().forEach(membership::addFromPeer);
    }

    private void adopt(ConfigurationVersion newer, Configuration newConfiguration) {
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
        peers.connectMissing(this::dial);
        peers.closeUnknown().forEach(freshness::removePeer);
        sendToPeers();
        if (time.nanoTime() - announcedNanos > settings.announceInterval().toNanos() && !leaving) {
            announce(false);
        }
        publish();
        return true;
    }

    /** After a pause the sockets still hold old requests; nothing new is trusted until they have been read. */
    private void notePause() {
        long now = time.nanoTime();
        if (now - lastBeatNanos > settings.heartbeatTimeout().toNanos()) {
            usableFromNanos = now + PAUSE_SUSPICION.toNanos();
            events.write(
                    Event.PROCESS_PAUSED, Duration.ofNanos(now - lastBeatNanos).toMillis());
        }
        lastBeatNanos = now;
    }

    private void closeSilentLinks() {
        long oldest = time.nanoTime() - settings.heartbeatTimeout().toNanos();
        List<Connection> silent = lastHeardNanos.entrySet().stream()
                .filter(heard -> heard.getValue() - oldest < 0)
                .map(Map.Entry::getKey)
                .toList();
        silent.forEach(link -> {
            events.write(Event.HEARTBEAT_TIMEOUT, settings.heartbeatTimeout().toMillis());
            link.close();
            connectionClosed(link);
        });
    }

    private void dial(EntryAddress entry) {
        TypedLogReader.withTimeout(lane, settings.heartbeatTimeout(), dialer.connect(entry, this))
                .whenComplete((link, failure) -> {
                    peers.connectCompleted(entry, link);
                    if (link == null) {
                        return;
                    }
                    lastHeardNanos.put(link, time.nanoTime());
                    link.send(new AnnounceEntry(self));
                    link.send(new PeerHeartbeat(time.nanoTime(), version, leaving, holds.ownZones()));
                    publish();
                });
    }

    private void sendToPeers() {
        peers.sendToAll(new PeerHeartbeat(time.nanoTime(), version, leaving, holds.ownZones()));
    }

    private boolean pollAgain() {
        if (!stopped) {
            poll();
        }
        return !stopped;
    }

    private void poll() {
        long askedNanos = time.nanoTime();
        log.poll(() -> operationsRead(askedNanos), this::publish);
    }

    private CompletableFuture<Void> readOperations() {
        long askedNanos = time.nanoTime();
        return log.readOperations(() -> operationsRead(askedNanos));
    }

    private void operationsRead(long askedNanos) {
        adopt(
                log.operationsState().configurationVersion(),
                log.operationsState().configuration());
        freshness.recordLogRead(askedNanos);
        holds.clearDisconnected();
        publish();
    }

    private CompletableFuture<Void> announce(boolean goodbye) {
        announcedNanos = time.nanoTime();
        return log.announce(new MemberRecord(self, goodbye));
    }

    private long freshAgeMillis() {
        int known = Math.max(1, membership.entriesInService().size());
        Duration age = freshness.age(known, time.nanoTime());
        return age == null || !log.isCaughtUp() ? -1 : age.toMillis();
    }

    private EntrySnapshot buildSnapshot() {
        return new EntrySnapshot(
                self,
                log.operationsState(),
                configuration,
                version,
                peers.entriesInService(leaving),
                peers.byIncarnation(),
                agents.workers(),
                freshAgeMillis(),
                log.isCaughtUp() && !leaving,
                leaving,
                usableFromNanos,
                lastBeatNanos + settings.heartbeatTimeout().toNanos());
    }

    private void publish() {
        snapshot = buildSnapshot();
        listener.snapshotChanged();
    }
}
