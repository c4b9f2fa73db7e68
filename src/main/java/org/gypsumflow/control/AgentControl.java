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
 * Owns an agent's control state: connections to entries, configuration, freshness and the target's presence.
 *
 * <p>All of it is touched on the control lane only. Traffic reads {@link #startGuard()}.
 */
public final class AgentControl implements ConnectionListener {
    private static final Duration LATE_ANNOUNCEMENT = Duration.ofSeconds(5);

    private final AgentIdentity self;
    private final SerialExecutor lane;
    private final TimeSource time;
    private final ControlSettings settings;
    private final AgentSettings size;
    private final TypedLog<MemberRecord> membersLog;
    private final EntryConnector dialer;
    private final Supplier<Map<Incarnation, Integer>> running;
    private final EventLog events;

    private final Membership membership;
    private final Map<Incarnation, Connection> links = new HashMap<>();
    private final Map<Incarnation, Integer> waiting = new HashMap<>();
    private final Map<Connection, Long> lastHeardNanos = new HashMap<>();
    private List<EntryAddress> seeds = List.of();
    private final Set<Incarnation> dialing = new HashSet<>();
    private Map<Incarnation, Integer> credits = Map.of();
    private Configuration configuration = Configuration.EMPTY;
    private ConfigurationVersion version = ConfigurationVersion.NONE;
    private Optional<ServiceName> service = Optional.empty();
    private long freshUntilNanos;
    private boolean wasFresh;
    private boolean leaving;
    private boolean targetLeaving;
    private long departedNanos;
    private boolean stopped;
    private boolean reading;
    private volatile StartGuard guard;

    private AgentControl(
            AgentIdentity self,
            SerialExecutor lane,
            TimeSource time,
            ControlSettings settings,
            AgentSettings size,
            TypedLog<MemberRecord> membersLog,
            EntryConnector dialer,
            Supplier<Map<Incarnation, Integer>> running,
            EventLog events) {
        this.self = self;
        this.lane = lane;
        this.time = time;
        this.settings = settings;
        this.size = size;
        this.membersLog = membersLog;
        this.dialer = dialer;
        this.running = running;
        this.events = events;
        this.membership = Membership.create(settings.memberExpiry());
        this.freshUntilNanos = time.nanoTime();
        this.guard = buildGuard();
    }

    /**
     * Creates the control state of an agent; {@link #start} sets it going.
     *
     * @param self the agent
     * @param lane the control lane
     * @param time clocks
     * @param settings times
     * @param size slots and connections
     * @param membersLog stream in which entries announce themselves
     * @param dialer opens connections to entries
     * @param running number of tasks running for each entry
     * @param events receives numbered events
     * @return the control state
     */
    public static AgentControl create(
            AgentIdentity self,
            SerialExecutor lane,
            TimeSource time,
            ControlSettings settings,
            AgentSettings size,
            TypedLog<MemberRecord> membersLog,
            EntryConnector dialer,
            Supplier<Map<Incarnation, Integer>> running,
            EventLog events) {
        return new AgentControl(self, lane, time, settings, size, membersLog, dialer, running, events);
    }

    /**
     * Starts to look for entries.
     *
     * @param fallback entries to try while no other is known
     */
    public void start(List<EntryAddress> fallback) {
        lane.execute(() -> {
            seeds = List.copyOf(fallback);
            lookUpEntries();
            lane.scheduleWithFixedDelay(settings.heartbeatInterval(), this::beat);
        });
    }

    /**
     * Returns what traffic must know to allow a start; callable on any thread.
     *
     * @return the newest guard
     */
    public StartGuard startGuard() {
        return guard;
    }

    /**
     * Takes note of the target beside this agent.
     *
     * <p>An announcement that follows a departure within a few seconds is a late one and does not bring the target back.
     *
     * @param announced service of the target
     */
    public void registerTarget(ServiceName announced) {
        lane.execute(() -> {
            boolean known = service.filter(announced::equals).isPresent();
            if (targetLeaving ? time.nanoTime() - departedNanos < LATE_ANNOUNCEMENT.toNanos() : known) {
                return;
            }
            service = Optional.of(announced);
            targetLeaving = false;
            publish();
            sendHeartbeats();
        });
    }

    /** Takes note that the target is leaving: nothing new starts there. */
    public void deregisterTarget() {
        lane.execute(() -> {
            targetLeaving = true;
            departedNanos = time.nanoTime();
            publish();
            sendHeartbeats();
        });
    }

    /** Refuses new work from now on and tells the entries. */
    public void startDraining() {
        lane.execute(() -> {
            leaving = true;
            publish();
            sendHeartbeats();
        });
    }

    /** Stops all periodic work and closes all connections. */
    public void stop() {
        lane.execute(() -> {
            stopped = true;
            new ArrayList<>(links.values()).forEach(Connection::close);
        });
    }

    @Override
    public void messageReceived(Connection link, Message message) {
        lane.execute(() -> {
            lastHeardNanos.put(link, time.nanoTime());
            if (message instanceof ApplyConfiguration apply) {
                apply(apply);
            } else if (message instanceof HeartbeatReply reply) {
                replied(link, reply);
            } else if (message instanceof ReportDemand demand) {
                noteDemand(link, demand.waitingTasks());
                sendChangedCredits();
            }
        });
    }

    @Override
    public void connectionClosed(Connection link) {
        lane.execute(() -> {
            lastHeardNanos.remove(link);
            links.entrySet().removeIf(entry -> {
                boolean ended = entry.getValue().equals(link);
                if (ended) {
                    waiting.remove(entry.getKey());
                }
                return ended;
            });
        });
    }

    private void noteDemand(Connection link, int tasks) {
        links.forEach((incarnation, known) -> {
            if (known.equals(link)) {
                waiting.put(incarnation, tasks);
            }
        });
    }

    private void apply(ApplyConfiguration apply) {
        if (!apply.version().isAfter(version)) {
            return;
        }
        version = apply.version();
        configuration = apply.configuration();
        publish();
        events.write(Event.CONFIGURATION_APPLIED, version);
        sendHeartbeats();
    }

    private void replied(Connection link, HeartbeatReply reply) {
        noteDemand(link, reply.waitingTasks());
        reply.entriesInService().forEach(membership::addFromPeer);
        if (reply.configurationAgeMillis() < 0 || reply.version().isAfter(version)) {
            return;
        }
        long knownAtNanos = reply.echoNanos() - reply.configurationAgeMillis() * 1_000_000L;
        long until = knownAtNanos + settings.maxConfigurationAge().toNanos();
        if (until - freshUntilNanos > 0) {
            freshUntilNanos = until;
            publish();
        }
    }

    private boolean beat() {
        if (stopped) {
            return false;
        }
        closeSilentLinks();
        dialEntries();
        sendHeartbeats();
        noteFreshness();
        if (links.isEmpty()) {
            lookUpEntries();
        }
        return true;
    }

    private void noteFreshness() {
        boolean fresh = time.nanoTime() - freshUntilNanos < 0;
        if (fresh != wasFresh) {
            wasFresh = fresh;
            if (fresh) {
                events.write(Event.CONFIGURATION_FRESH);
            } else {
                events.write(
                        Event.CONFIGURATION_STALE,
                        settings.maxConfigurationAge().toMillis());
            }
        }
    }

    private void closeSilentLinks() {
        long oldest = time.nanoTime() - settings.heartbeatTimeout().toNanos();
        List<Connection> silent = links.values().stream()
                .filter(link -> lastHeardNanos.getOrDefault(link, oldest - 1) - oldest < 0)
                .toList();
        silent.forEach(link -> {
            events.write(Event.HEARTBEAT_TIMEOUT, settings.heartbeatTimeout().toMillis());
            link.close();
            connectionClosed(link);
        });
    }

    private void dialEntries() {
        List<EntryAddress> known = membership.entriesInService();
        List<EntryAddress> wanted = (known.isEmpty() ? seeds : known)
                .stream()
                        .sorted(Comparator.comparingLong(this::weight).reversed())
                        .limit(size.maxEntries())
                        .toList();
        for (EntryAddress entry : wanted) {
            if (!links.containsKey(entry.incarnation()) && dialing.add(entry.incarnation())) {
                dial(entry);
            }
        }
        Set<Incarnation> gone = new HashSet<>(links.keySet());
        wanted.forEach(entry -> gone.remove(entry.incarnation()));
        gone.forEach(incarnation -> {
            links.remove(incarnation).close();
            waiting.remove(incarnation);
        });
    }

    private long weight(EntryAddress entry) {
        return Hashing.sha256()
                .hashString(self.worker() + "/" + entry.incarnation(), StandardCharsets.UTF_8)
                .asLong();
    }

    private void dial(EntryAddress entry) {
        TypedLogReader.withTimeout(lane, settings.heartbeatTimeout(), dialer.connect(entry, this))
                .whenComplete((link, failure) -> {
                    dialing.remove(entry.incarnation());
                    if (failure != null) {
                        return;
                    }
                    links.put(entry.incarnation(), link);
                    waiting.put(entry.incarnation(), 0);
                    lastHeardNanos.put(link, time.nanoTime());
                    link.send(new AnnounceAgent(self.worker(), self.incarnation(), self.zone(), size.slots()));
                    sendHeartbeats();
                });
    }

    private void sendHeartbeats() {
        Map<Incarnation, Integer> inUse = running.get();
        credits = CreditAllocator.allocate(size.slots(), waiting, inUse);
        links.forEach((incarnation, link) -> sendHeartbeat(incarnation, link, inUse));
    }

    /** Tells those entries whose credit changed; the others learn theirs with the next heartbeat. */
    private void sendChangedCredits() {
        Map<Incarnation, Integer> inUse = running.get();
        Map<Incarnation, Integer> before = credits;
        credits = CreditAllocator.allocate(size.slots(), waiting, inUse);
        links.forEach((incarnation, link) -> {
            if (!credits.getOrDefault(incarnation, 1).equals(before.get(incarnation))) {
                sendHeartbeat(incarnation, link, inUse);
            }
        });
    }

    private void sendHeartbeat(Incarnation entry, Connection link, Map<Incarnation, Integer> inUse) {
        link.send(new AgentHeartbeat(
                time.nanoTime(),
                version,
                service.map(ServiceName::value).orElse(""),
                inUse.values().stream().mapToInt(Integer::intValue).sum(),
                credits.getOrDefault(entry, 1),
                leaving || targetLeaving));
    }

    private void lookUpEntries() {
        if (reading) {
            return;
        }
        reading = true;
        TypedLogReader.readToHead(
                        membersLog, lane, settings.logTimeout(), membership::nextOffset, page -> page.records()
                                .forEach(entry ->
                                        membership.apply(entry.offset(), entry.loggedAtMillis(), entry.body())))
                .whenComplete((nothing, failure) -> {
                    reading = false;
                    dialEntries();
                });
    }

    private StartGuard buildGuard() {
        return new StartGuard(
                self.worker(),
                self.zone(),
                service,
                size.slots(),
                configuration,
                freshUntilNanos,
                leaving || targetLeaving);
    }

    private void publish() {
        guard = buildGuard();
    }
}
