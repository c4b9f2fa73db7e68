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
 * Owns an entry's control state: membership, connections to peers and agents, and the configuration with its freshness.
 *
 * <p>This state is confined to the control thread. Other threads read {@link #snapshot()}.
 */
public final class EntryControl implements ConnectionListener {
    /** Time after a pause of the process during which no new work is accepted. */
    private static final Duration DISTRUST_AFTER_PAUSE = Duration.ofSeconds(1);

    private final EntryAddress self;
    private final SerialExecutor controlExecutor;
    private final TimeSource time;
    private final ControlSettings settings;
    private final EntryConnector connector;
    private final IntSupplier waitingTasks;
    private final EntryControlListener listener;
    private final EventLog events;

    private final ConfigurationFreshness freshness = ConfigurationFreshness.create();
    private final Membership membership;
    private final EntryStreamPoller streamPoller;
    private final PeerConnections peers;
    private final PendingZoneClosures pendingClosures = PendingZoneClosures.create();
    private final AgentConnections agents;
    private final Map<Connection, List<EntryAddress>> lastSentEntries = new HashMap<>();
    private final Map<Connection, Long> lastReceivedNanos = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private ConfigurationVersion configurationVersion = ConfigurationVersion.NONE;
    private boolean draining;
    private boolean stopped;
    private long lastHeartbeatNanos;
    private long usableFromNanos;
    private long lastAnnouncementNanos;
    private volatile EntrySnapshot snapshot;

    private EntryControl(
            EntryAddress self,
            SerialExecutor controlExecutor,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            EntryConnector connector,
            IntSupplier waitingTasks,
            EntryControlListener listener,
            EventLog events) {
        this.self = self;
        this.controlExecutor = controlExecutor;
        this.time = time;
        this.settings = settings;
        this.connector = connector;
        this.waitingTasks = waitingTasks;
        this.listener = listener;
        this.events = events;
        this.membership = Membership.create(settings.memberExpiry());
        this.streamPoller = EntryStreamPoller.create(
                controlExecutor, settings.logTimeout(), operationsLog, membersLog, membership, events);
        this.peers = PeerConnections.create(self, membership, events);
        this.agents = AgentConnections.create(events);
        this.lastHeartbeatNanos = time.nanoTime();
        this.usableFromNanos = time.nanoTime();
        this.snapshot = buildSnapshot();
    }

    /**
     * Creates the control state of an entry; {@link #start} starts its periodic work.
     *
     * @param self name, incarnation and address of this entry
     * @param controlExecutor serial executor of the control thread
     * @param time clocks
     * @param settings intervals and timeouts
     * @param operationsLog operations stream: plans, confirmations, steps, snapshots
     * @param membersLog members stream: announcements of entries
     * @param connector opens connections to peers
     * @param waitingTasks supplies the number of tasks that wait for a slot, which is sent to the agents
     * @param listener receives changes that affect traffic; called on the control thread
     * @param events receives events about connections, configuration and pauses
     * @return the control state
     */
    public static EntryControl create(
            EntryAddress self,
            SerialExecutor controlExecutor,
            TimeSource time,
            ControlSettings settings,
            TypedLog<OperationRecord> operationsLog,
            TypedLog<MemberRecord> membersLog,
            EntryConnector connector,
            IntSupplier waitingTasks,
            EntryControlListener listener,
            EventLog events) {
        return new EntryControl(
                self,
                controlExecutor,
                time,
                settings,
                operationsLog,
                membersLog,
                connector,
                waitingTasks,
                listener,
                events);
    }

    /** Announces this entry and starts to poll the log and to send heartbeats. */
    public void start() {
        controlExecutor.execute(() -> {
            announce(false);
            poll();
            controlExecutor.scheduleWithFixedDelay(settings.logPollInterval(), this::pollPeriodically);
            controlExecutor.scheduleWithFixedDelay(settings.heartbeatInterval(), this::runPeriodicWork);
        });
    }

    /**
     * Stops accepting new work and announces this to peers and in the log.
     *
     * @return completes when the announcement has been appended to the log or the append has failed; never
     *     exceptionally
     */
    public CompletableFuture<Void> startDraining() {
        CompletableFuture<Void> announced = new CompletableFuture<>();
        controlExecutor.execute(() -> {
            draining = true;
            publish();
            sendHeartbeatsToPeers();
            announce(true).whenComplete((appendResult, failure) -> announced.complete(null));
        });
        return announced;
    }

    /** Stops all periodic work and closes all connections. */
    public void stop() {
        controlExecutor.execute(() -> {
            stopped = true;
            new ArrayList<>(lastReceivedNanos.keySet()).forEach(Connection::close);
        });
    }

    /**
     * Returns the latest published snapshot; callable on any thread.
     *
     * @return latest snapshot
     */
    public EntrySnapshot snapshot() {
        return snapshot;
    }

    /**
     * Reads the operations stream to its head without waiting for the next poll.
     *
     * @return completes on the control thread when all records up to the head have been applied, or exceptionally if
     *     the log cannot be read
     */
    public CompletableFuture<Void> refreshOperations() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        controlExecutor.execute(() -> readOperations().whenComplete((nothing, failure) -> {
            if (failure != null) {
                done.completeExceptionally(failure);
            } else {
                done.complete(null);
            }
        }));
        return done;
    }

    /**
     * Sends the number of waiting tasks to all connected agents immediately, so that they reallocate their credit;
     * callable on any thread.
     */
    public void sendDemand() {
        controlExecutor.execute(() -> {
            ReportDemand demand = new ReportDemand(waitingTasks.getAsInt());
            agents.workers().values().forEach(worker -> worker.connection().send(demand));
        });
    }

    /**
     * Stops confirming the configuration to the agents of a zone whose closure is about to be appended to the log;
     * called on the control thread.
     *
     * @param zone zone about to be closed
     */
    void addPendingClosure(AvailabilityZone zone) {
        pendingClosures.add(zone);
        sendHeartbeatsToPeers();
    }

    /**
     * Confirms the configuration to the agents of a zone again, since the log has been read back; called on the control
     * thread.
     *
     * @param zone zone whose closure is no longer pending
     */
    void removePendingClosure(AvailabilityZone zone) {
        pendingClosures.remove(zone);
        sendHeartbeatsToPeers();
    }

    /**
     * Returns whether the unreachable entries may be a majority, which could go on without this one while the log is
     * unavailable; called on the control thread.
     *
     * @return true if operators must not confirm plans at this entry
     */
    boolean isPartitioned() {
        return membership.isPartitioned(freshness.countReachable(settings.maxConfigurationAge(), time.nanoTime()));
    }

    /**
     * Returns when the latest state snapshot was appended to the operations stream; called on the control thread.
     *
     * @return time by the log's clock, in milliseconds since the epoch; 0 if there is no snapshot
     */
    long snapshotLoggedAtMillis() {
        return streamPoller.snapshotLoggedAtMillis();
    }

    @Override
    public void messageReceived(Connection connection, Message message) {
        controlExecutor.execute(() -> {
            lastReceivedNanos.put(connection, time.nanoTime());
            handle(connection, message);
        });
    }

    @Override
    public void connectionClosed(Connection connection) {
        controlExecutor.execute(() -> {
            lastReceivedNanos.remove(connection);
            lastSentEntries.remove(connection);
            peers.remove(connection);
            pendingClosures.peerDisconnected(connection);
            agents.remove(connection);
            publish();
        });
    }

    private void handle(Connection connection, Message message) {
        if (message instanceof AnnounceAgent agent) {
            agentAnnounced(connection, agent);
        } else if (message instanceof AgentHeartbeat heartbeat) {
            agentHeartbeatReceived(connection, heartbeat);
        } else if (message instanceof AnnounceEntry entry) {
            membership.addFromPeer(entry.entry());
        } else if (message instanceof PeerHeartbeat heartbeat) {
            peerHeartbeatReceived(connection, heartbeat);
        } else if (message instanceof HeartbeatReply reply) {
            heartbeatReplyReceived(connection, reply);
        } else if (message instanceof ApplyConfiguration apply) {
            applyConfiguration(apply.version(), apply.configuration());
        }
    }

    private void agentAnnounced(Connection connection, AnnounceAgent agent) {
        agents.register(connection, agent);
        publish();
        listener.workerConnected(agent.worker(), agent.incarnation(), connection);
    }

    private void agentHeartbeatReceived(Connection connection, AgentHeartbeat heartbeat) {
        boolean placementChanged = agents.applyHeartbeat(connection, heartbeat);
        long age = agents.zoneOf(connection).filter(pendingClosures::isPending).isPresent()
                ? -1
                : configurationAgeMillis();
        sendHeartbeatReply(connection, heartbeat.sentAtNanos(), heartbeat.version(), age);
        if (placementChanged) {
            publish();
        }
    }

    private void peerHeartbeatReceived(Connection connection, PeerHeartbeat heartbeat) {
        if (heartbeat.version().isAfter(configurationVersion)) {
            poll();
        }
        pendingClosures.setPeerZones(connection, heartbeat.pendingClosures());
        sendHeartbeatReply(connection, heartbeat.sentAtNanos(), heartbeat.version(), configurationAgeMillis());
    }

    private void sendHeartbeatReply(
            Connection connection, long echoNanos, ConfigurationVersion remoteVersion, long configurationAgeMillis) {
        if (configurationVersion.isAfter(remoteVersion)) {
            connection.send(new ApplyConfiguration(configurationVersion, configuration));
        }
        connection.send(new HeartbeatReply(
                echoNanos,
                configurationVersion,
                configurationAgeMillis,
                waitingTasks.getAsInt(),
                changedEntriesFor(connection),
                draining));
    }

    /** Returns the entries in service, or an empty list if exactly these were sent on this connection last. */
    private List<EntryAddress> changedEntriesFor(Connection connection) {
        List<EntryAddress> now = peers.entriesInService(draining);
        return now.equals(lastSentEntries.put(connection, now)) ? List.of() : now;
    }

    private void heartbeatReplyReceived(Connection connection, HeartbeatReply reply) {
        peers.findPeer(connection).ifPresent(peer -> {
            peers.setDraining(peer, reply.draining());
            if (!reply.version().isAfter(configurationVersion)) {
                Duration age =
                        reply.configurationAgeMillis() < 0 ? null : Duration.ofMillis(reply.configurationAgeMillis());
                freshness.recordPeerReply(peer, reply.echoNanos(), age);
            }
        });
        reply.entriesInService().forEach(membership::addFromPeer);
    }

    private void applyConfiguration(ConfigurationVersion newVersion, Configuration newConfiguration) {
        if (!newVersion.isAfter(configurationVersion)) {
            return;
        }
        configurationVersion = newVersion;
        configuration = newConfiguration;
        publish();
        events.write(Event.CONFIGURATION_APPLIED, configurationVersion);
    }

    private boolean runPeriodicWork() {
        if (stopped) {
            return false;
        }
        detectPause();
        closeTimedOutConnections();
        peers.connectMissing(this::connect);
        peers.closeUnknown().forEach(freshness::removePeer);
        sendHeartbeatsToPeers();
        if (time.nanoTime() - lastAnnouncementNanos
                        > settings.announceInterval().toNanos()
                && !draining) {
            announce(false);
        }
        publish();
        return true;
    }

    /**
     * Detects that the process was paused. Its sockets then hold stale requests, so no new work is accepted until they
     * have been read.
     */
    private void detectPause() {
        long now = time.nanoTime();
        if (now - lastHeartbeatNanos > settings.heartbeatTimeout().toNanos()) {
            usableFromNanos = now + DISTRUST_AFTER_PAUSE.toNanos();
            events.write(
                    Event.PROCESS_PAUSED,
                    Duration.ofNanos(now - lastHeartbeatNanos).toMillis());
        }
        lastHeartbeatNanos = now;
    }

    private void closeTimedOutConnections() {
        long earliestAllowedNanos =
                time.nanoTime() - settings.heartbeatTimeout().toNanos();
        List<Connection> timedOut = lastReceivedNanos.entrySet().stream()
                .filter(received -> received.getValue() - earliestAllowedNanos < 0)
                .map(Map.Entry::getKey)
                .toList();
        timedOut.forEach(connection -> {
            events.write(Event.HEARTBEAT_TIMEOUT, settings.heartbeatTimeout().toMillis());
            connection.close();
            connectionClosed(connection);
        });
    }

    private void connect(EntryAddress entry) {
        TypedLogReader.withTimeout(controlExecutor, settings.heartbeatTimeout(), connector.connect(entry, this))
                .whenComplete((connection, failure) -> {
                    peers.connectCompleted(entry, connection);
                    if (connection == null) {
                        return;
                    }
                    lastReceivedNanos.put(connection, time.nanoTime());
                    connection.send(new AnnounceEntry(self));
                    connection.send(new PeerHeartbeat(
                            time.nanoTime(), configurationVersion, draining, pendingClosures.ownZones()));
                    publish();
                });
    }

    private void sendHeartbeatsToPeers() {
        peers.sendToAll(new PeerHeartbeat(time.nanoTime(), configurationVersion, draining, pendingClosures.ownZones()));
    }

    private boolean pollPeriodically() {
        if (!stopped) {
            poll();
        }
        return !stopped;
    }

    private void poll() {
        long requestedNanos = time.nanoTime();
        streamPoller.poll(() -> operationsRead(requestedNanos), this::publish);
    }

    private CompletableFuture<Void> readOperations() {
        long requestedNanos = time.nanoTime();
        return streamPoller.readOperations(() -> operationsRead(requestedNanos));
    }

    private void operationsRead(long requestedNanos) {
        applyConfiguration(
                streamPoller.operationsState().configurationVersion(),
                streamPoller.operationsState().configuration());
        freshness.recordLogRead(requestedNanos);
        pendingClosures.clearDisconnected();
        publish();
    }

    private CompletableFuture<Void> announce(boolean isDraining) {
        lastAnnouncementNanos = time.nanoTime();
        return streamPoller.announce(new MemberRecord(self, isDraining));
    }

    private long configurationAgeMillis() {
        int memberCount = Math.max(1, membership.entriesInService().size());
        Duration age = freshness.age(memberCount, time.nanoTime());
        return age == null || !streamPoller.isCaughtUp() ? -1 : age.toMillis();
    }

    private EntrySnapshot buildSnapshot() {
        return new EntrySnapshot(
                self,
                streamPoller.operationsState(),
                configuration,
                configurationVersion,
                peers.entriesInService(draining),
                peers.byIncarnation(),
                agents.workers(),
                configurationAgeMillis(),
                streamPoller.isCaughtUp() && !draining,
                draining,
                usableFromNanos,
                lastHeartbeatNanos + settings.heartbeatTimeout().toNanos());
    }

    private void publish() {
        snapshot = buildSnapshot();
        listener.snapshotChanged();
    }
}
