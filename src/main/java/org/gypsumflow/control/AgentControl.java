package org.gypsumflow.control;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.gypsumflow.command.CreditAllocator;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.Membership;
import org.gypsumflow.command.StartGuard;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.CommandMessage.AgentHeartbeat;
import org.gypsumflow.model.CommandMessage.AnnounceAgent;
import org.gypsumflow.model.CommandMessage.ApplyConfiguration;
import org.gypsumflow.model.CommandMessage.ReportDemand;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.ReportMessage.HeartbeatReply;
import org.gypsumflow.model.ServiceName;

/**
 * Owns an agent's control state: connections to entries, the configuration and its freshness, and the target's
 * registration.
 *
 * <p>This state is confined to the control thread. Traffic reads {@link #startGuard()}.
 */
public final class AgentControl implements ConnectionListener {
    /** Time after a target's deregistration during which an announcement counts as delayed and is ignored. */
    private static final Duration LATE_ANNOUNCEMENT_WINDOW = Duration.ofSeconds(5);

    private final AgentIdentity self;
    private final SerialExecutor controlExecutor;
    private final TimeSource time;
    private final ControlSettings settings;
    private final AgentSettings agentSettings;
    private final TypedLog<MemberRecord> membersLog;
    private final EntryConnector connector;
    private final Supplier<Map<Incarnation, Integer>> runningTasks;
    private final EventLog events;

    private final Membership membership;
    private final Map<Incarnation, Connection> connections = new HashMap<>();
    private final Map<Incarnation, Integer> waitingTasks = new HashMap<>();
    private final Map<Connection, Long> lastReceivedNanos = new HashMap<>();
    private List<EntryAddress> seeds = List.of();
    private final Set<Incarnation> connecting = new HashSet<>();
    private Map<Incarnation, Integer> credits = Map.of();
    private Configuration configuration = Configuration.EMPTY;
    private ConfigurationVersion configurationVersion = ConfigurationVersion.NONE;
    private Optional<ServiceName> service = Optional.empty();
    private long configurationValidUntilNanos;
    private boolean wasConfigurationValid;
    private boolean draining;
    private boolean targetDraining;
    private long targetDeregisteredNanos;
    private boolean stopped;
    private boolean readingMembers;
    private volatile StartGuard startGuard;

    private AgentControl(
            AgentIdentity self,
            SerialExecutor controlExecutor,
            TimeSource time,
            ControlSettings settings,
            AgentSettings agentSettings,
            TypedLog<MemberRecord> membersLog,
            EntryConnector connector,
            Supplier<Map<Incarnation, Integer>> runningTasks,
            EventLog events) {
        this.self = self;
        this.controlExecutor = controlExecutor;
        this.time = time;
        this.settings = settings;
        this.agentSettings = agentSettings;
        this.membersLog = membersLog;
        this.connector = connector;
        this.runningTasks = runningTasks;
        this.events = events;
        this.membership = Membership.create(settings.memberExpiry());
        this.configurationValidUntilNanos = time.nanoTime();
        this.startGuard = buildGuard();
    }

    /**
     * Creates the control state of an agent; {@link #start} starts its periodic work.
     *
     * @param self worker, incarnation and zone of this agent
     * @param controlExecutor serial executor of the control thread
     * @param time clocks
     * @param settings intervals and timeouts
     * @param agentSettings number of slots and of connections
     * @param membersLog members stream: announcements of entries
     * @param connector opens connections to entries
     * @param runningTasks supplies the number of running tasks by the incarnation of their entry
     * @param events receives events about connections and configuration
     * @return the control state
     */
    public static AgentControl create(
            AgentIdentity self,
            SerialExecutor controlExecutor,
            TimeSource time,
            ControlSettings settings,
            AgentSettings agentSettings,
            TypedLog<MemberRecord> membersLog,
            EntryConnector connector,
            Supplier<Map<Incarnation, Integer>> runningTasks,
            EventLog events) {
        return new AgentControl(
                self, controlExecutor, time, settings, agentSettings, membersLog, connector, runningTasks, events);
    }

    /**
     * Starts to discover entries, to connect to them and to send heartbeats.
     *
     * @param seedEntries entries to connect to while the members stream has given none
     */
    public void start(List<EntryAddress> seedEntries) {
        controlExecutor.execute(() -> {
            seeds = List.copyOf(seedEntries);
            readMembers();
            controlExecutor.scheduleWithFixedDelay(settings.heartbeatInterval(), this::runPeriodicWork);
        });
    }

    /**
     * Returns the conditions under which a task may start; callable on any thread.
     *
     * @return the latest published guard
     */
    public StartGuard startGuard() {
        return startGuard;
    }

    /**
     * Registers the target that this agent serves, and sends the change to the entries.
     *
     * <p>An announcement that follows a deregistration within five seconds is taken for a delayed one and does
     * not register the target again.
     *
     * @param announcedService service that the target provides
     */
    public void registerTarget(ServiceName announcedService) {
        controlExecutor.execute(() -> {
            boolean known = service.filter(announcedService::equals).isPresent();
            if (targetDraining
                    ? time.nanoTime() - targetDeregisteredNanos < LATE_ANNOUNCEMENT_WINDOW.toNanos()
                    : known) {
                return;
            }
            service = Optional.of(announcedService);
            targetDraining = false;
            publish();
            sendHeartbeats();
        });
    }

    /** Deregisters the target: nothing new starts there, and the entries are notified. */
    public void deregisterTarget() {
        controlExecutor.execute(() -> {
            targetDraining = true;
            targetDeregisteredNanos = time.nanoTime();
            publish();
            sendHeartbeats();
        });
    }

    /** Rejects new work from now on and notifies the entries. */
    public void startDraining() {
        controlExecutor.execute(() -> {
            draining = true;
            publish();
            sendHeartbeats();
        });
    }

    /** Stops all periodic work and closes all connections. */
    public void stop() {
        controlExecutor.execute(() -> {
            stopped = true;
            new ArrayList<>(connections.values()).forEach(Connection::close);
        });
    }

    @Override
    public void messageReceived(Connection connection, Message message) {
        controlExecutor.execute(() -> {
            lastReceivedNanos.put(connection, time.nanoTime());
            if (message instanceof ApplyConfiguration apply) {
                apply(apply);
            } else if (message instanceof HeartbeatReply reply) {
                heartbeatReplyReceived(connection, reply);
            } else if (message instanceof ReportDemand demand) {
                recordDemand(connection, demand.waitingTasks());
                sendChangedCredits();
            }
        });
    }

    @Override
    public void connectionClosed(Connection connection) {
        controlExecutor.execute(() -> {
            lastReceivedNanos.remove(connection);
            connections.entrySet().removeIf(entry -> {
                boolean matches = entry.getValue().equals(connection);
                if (matches) {
                    waitingTasks.remove(entry.getKey());
                }
                return matches;
            });
        });
    }

    private void recordDemand(Connection connection, int tasks) {
        connections.forEach((incarnation, known) -> {
            if (known.equals(connection)) {
                waitingTasks.put(incarnation, tasks);
            }
        });
    }

    private void apply(ApplyConfiguration apply) {
        if (!apply.version().isAfter(configurationVersion)) {
            return;
        }
        configurationVersion = apply.version();
        configuration = apply.configuration();
        publish();
        events.write(Event.CONFIGURATION_APPLIED, configurationVersion);
        sendHeartbeats();
    }

    private void heartbeatReplyReceived(Connection connection, HeartbeatReply reply) {
        recordDemand(connection, reply.waitingTasks());
        reply.entriesInService().forEach(membership::addFromPeer);
        if (reply.configurationAgeMillis() < 0 || reply.version().isAfter(configurationVersion)) {
            return;
        }
        long knownAtNanos = reply.echoNanos() - reply.configurationAgeMillis() * 1_000_000L;
        long validUntilNanos = knownAtNanos + settings.maxConfigurationAge().toNanos();
        if (validUntilNanos - configurationValidUntilNanos > 0) {
            configurationValidUntilNanos = validUntilNanos;
            publish();
        }
    }

    private boolean runPeriodicWork() {
        if (stopped) {
            return false;
        }
        closeTimedOutConnections();
        connectEntries();
        sendHeartbeats();
        logConfigurationValidity();
        if (connections.isEmpty()) {
            readMembers();
        }
        return true;
    }

    private void logConfigurationValidity() {
        boolean valid = time.nanoTime() - configurationValidUntilNanos < 0;
        if (valid != wasConfigurationValid) {
            wasConfigurationValid = valid;
            if (valid) {
                events.write(Event.CONFIGURATION_FRESH);
            } else {
                events.write(
                        Event.CONFIGURATION_STALE,
                        settings.maxConfigurationAge().toMillis());
            }
        }
    }

    private void closeTimedOutConnections() {
        long earliestAllowedNanos =
                time.nanoTime() - settings.heartbeatTimeout().toNanos();
        List<Connection> timedOut = connections.values().stream()
                .filter(connection ->
                        lastReceivedNanos.getOrDefault(connection, earliestAllowedNanos - 1) - earliestAllowedNanos < 0)
                .toList();
        timedOut.forEach(connection -> {
            events.write(Event.HEARTBEAT_TIMEOUT, settings.heartbeatTimeout().toMillis());
            connection.close();
            connectionClosed(connection);
        });
    }

    private void connectEntries() {
        List<EntryAddress> known = membership.entriesInService();
        List<EntryAddress> wanted = (known.isEmpty() ? seeds : known)
                .stream()
                        .sorted(Comparator.comparingLong(this::rendezvousWeight).reversed())
                        .limit(agentSettings.maxEntries())
                        .toList();
        for (EntryAddress entry : wanted) {
            if (!connections.containsKey(entry.incarnation()) && connecting.add(entry.incarnation())) {
                connect(entry);
            }
        }
        Set<Incarnation> unwanted = new HashSet<>(connections.keySet());
        wanted.forEach(entry -> unwanted.remove(entry.incarnation()));
        unwanted.forEach(incarnation -> {
            connections.remove(incarnation).close();
            waitingTasks.remove(incarnation);
        });
    }

    /** Weight of an entry in rendezvous hashing, by which each agent picks its own subset of the entries. */
    private long rendezvousWeight(EntryAddress entry) {
        return Hashing.sha256()
                .hashString(self.worker() + "/" + entry.incarnation(), StandardCharsets.UTF_8)
                .asLong();
    }

    private void connect(EntryAddress entry) {
        TypedLogReader.withTimeout(controlExecutor, settings.heartbeatTimeout(), connector.connect(entry, this))
                .whenComplete((connection, failure) -> {
                    connecting.remove(entry.incarnation());
                    if (failure != null) {
                        return;
                    }
                    connections.put(entry.incarnation(), connection);
                    waitingTasks.put(entry.incarnation(), 0);
                    lastReceivedNanos.put(connection, time.nanoTime());
                    connection.send(
                            new AnnounceAgent(self.worker(), self.incarnation(), self.zone(), agentSettings.slots()));
                    sendHeartbeats();
                });
    }

    private void sendHeartbeats() {
        Map<Incarnation, Integer> runningByEntry = runningTasks.get();
        credits = CreditAllocator.allocate(agentSettings.slots(), waitingTasks, runningByEntry);
        connections.forEach((incarnation, connection) -> sendHeartbeat(incarnation, connection, runningByEntry));
    }

    /**
     * Sends a heartbeat to the entries whose credit changed; the others receive theirs with the next regular heartbeat.
     */
    private void sendChangedCredits() {
        Map<Incarnation, Integer> runningByEntry = runningTasks.get();
        Map<Incarnation, Integer> previousCredits = credits;
        credits = CreditAllocator.allocate(agentSettings.slots(), waitingTasks, runningByEntry);
        connections.forEach((incarnation, connection) -> {
            if (!credits.getOrDefault(incarnation, 1).equals(previousCredits.get(incarnation))) {
                sendHeartbeat(incarnation, connection, runningByEntry);
            }
        });
    }

    private void sendHeartbeat(Incarnation entry, Connection connection, Map<Incarnation, Integer> runningByEntry) {
        connection.send(new AgentHeartbeat(
                time.nanoTime(),
                configurationVersion,
                service.map(ServiceName::value).orElse(""),
                runningByEntry.values().stream().mapToInt(Integer::intValue).sum(),
                credits.getOrDefault(entry, 1),
                draining || targetDraining));
    }

    private void readMembers() {
        if (readingMembers) {
            return;
        }
        readingMembers = true;
        TypedLogReader.readMembers(membersLog, controlExecutor, settings.logTimeout(), membership)
                .whenComplete((nothing, failure) -> {
                    readingMembers = false;
                    connectEntries();
                });
    }

    private StartGuard buildGuard() {
        return new StartGuard(
                self.worker(),
                self.zone(),
                service,
                agentSettings.slots(),
                configuration,
                configurationValidUntilNanos,
                draining || targetDraining);
    }

    private void publish() {
        startGuard = buildGuard();
    }
}
