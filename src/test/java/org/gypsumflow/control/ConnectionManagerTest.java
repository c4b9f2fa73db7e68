package org.gypsumflow.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.Introduce;
import org.gypsumflow.model.BestEffortMessage.MemberHeartbeat;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.Resources;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ConnectionManagerTest {
    private static final Member SELF = member("entry", Member.Role.ENTRY);
    private static final Member AGENT = member("agent", Member.Role.AGENT);
    private static final WorkerStatus NO_WORKER = new WorkerStatus(
            false, "", "", Resources.NONE, Resources.NONE, Resources.NONE, Resources.NONE, Duration.ZERO, 1, 0, 0, 0);

    /** Connection that records heartbeats and on which no reply arrives. */
    private static final class RecordingConnection implements Connection {
        private final List<MemberHeartbeat> heartbeats = new ArrayList<>();
        private boolean open = true;

        @Override
        public void send(Message message) {
            if (message instanceof MemberHeartbeat heartbeat) {
                heartbeats.add(heartbeat);
            }
        }

        @Override
        public void close() {
            open = false;
        }
    }

    private final class RecordingListener implements ConnectionManager.MemberListener {
        @Override
        public void memberConnected(Member member, Connection connection) {
            notifications.add("connected");
            connectedMembers.add(connection);
        }

        @Override
        public void memberDisconnected(Member member, long lastReceivedNanos) {
            notifications.add("lost");
        }

        @Override
        public void contactConfirmed(MemberName member, long sentAtNanos) {
            notifications.add("confirmed " + sentAtNanos);
        }

        @Override
        public void jobMessageReceived(MemberName sender, BestEffortMessage message) {
            jobMessages.add(message);
        }

        @Override
        public void routingStateReceived(MemberName sender, ShareRoutingState state) {}
    }

    /** Executor whose actions wait until the test runs them, as those of a thread that is busy. */
    private static final class BusyExecutor implements SerialExecutor {
        private final List<Runnable> waiting = new ArrayList<>();

        @Override
        public void execute(Runnable action) {
            waiting.add(action);
        }

        @Override
        public void schedule(Duration delay, Runnable action) {}

        private void runWaiting() {
            List<Runnable> actions = List.copyOf(waiting);
            waiting.clear();
            actions.forEach(Runnable::run);
        }
    }

    private final List<BestEffortMessage> jobMessages = new ArrayList<>();
    private final List<String> notifications = new ArrayList<>();
    private final List<RecordingConnection> connections = new ArrayList<>();
    private final List<Connection> connectedMembers = new ArrayList<>();
    private ManualExecutor executor;
    private ConnectionManager connectionManager;
    private RoutingStateCache routingState;
    private boolean reachable;
    private boolean connectorThrows;
    private int connectAttempts;

    private static Member member(String name, Member.Role role) {
        return new Member(MemberName.of(name), role, AvailabilityZone.of("sofia"), "127.0.0.1", 1);
    }

    @BeforeMethod
    public void createManagerWithAReachableMember() {
        createManagerOf(SELF);
    }

    private void createManagerOf(Member self) {
        notifications.clear();
        jobMessages.clear();
        connections.clear();
        connectedMembers.clear();
        connectAttempts = 0;
        reachable = true;
        connectorThrows = false;
        executor = new ManualExecutor();
        routingState = RoutingStateCache.create((event, details) -> {});
        connectionManager = ConnectionManager.create(
                self,
                Incarnation.random(),
                executor,
                executor.timeSource(),
                (member, listener) -> connect(),
                new RecordingListener(),
                (event, details) -> {},
                executor.timeSource()::nanoTime,
                routingState);
        connectionManager.start();
    }

    private CompletableFuture<Connection> connect() {
        connectAttempts++;
        if (connectorThrows) {
            throw new IllegalArgumentException("port out of range:70000");
        }
        if (!reachable) {
            return CompletableFuture.failedFuture(new ConnectException("connection refused"));
        }
        connections.add(new RecordingConnection());
        return CompletableFuture.completedFuture(connections.get(connections.size() - 1));
    }

    private void introduceMember(int connectionIndex) {
        introduceMember(connectionIndex, AGENT);
    }

    private void introduceMember(int connectionIndex, Member member) {
        connectionManager.messageReceived(
                connections.get(connectionIndex), new Introduce(member, Incarnation.random()));
    }

    private int heartbeatsOnOneOf(int memberCount) {
        for (int index = 0; index < memberCount; index++) {
            Member member = member("agent-" + index, Member.Role.AGENT);
            connectionManager.maintainConnection(member);
            introduceMember(index, member);
        }
        for (int check = 0; check < 20; check++) {
            executor.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis());
            connections.forEach(
                    connection -> connectionManager.messageReceived(connection, MemberHeartbeat.withoutEcho(0)));
        }
        return connections.get(0).heartbeats.size();
    }

    @Test
    public void aProcessWithManyConnectionsSendsHalfAsManyHeartbeatsOnEach() {
        assertEquals(heartbeatsOnOneOf(4), 20);
        createManagerWithAReachableMember();
        assertEquals(heartbeatsOnOneOf(70), 10);
    }

    @Test
    public void anEntryEchoesTheHeartbeatOfAnAgentImmediatelyAndSendsItNoOther() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        for (int sentAtNanos = 0; sentAtNanos < 20; sentAtNanos++) {
            executor.advance(75);
            connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(sentAtNanos));
            assertEquals(connections.get(0).heartbeats.get(sentAtNanos).echoedNanos(), OptionalLong.of(sentAtNanos));
            executor.advance(75);
        }
        assertEquals(connections.get(0).heartbeats.size(), 20);
    }

    @Test
    public void anAgentSendsAHeartbeatAtEachCheckAlthoughItSendsOtherMessages() {
        createManagerOf(AGENT);
        connectionManager.maintainConnection(SELF);
        introduceMember(0, SELF);
        for (int check = 0; check < 20; check++) {
            executor.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis() - 10);
            connectedMembers.get(0).send(new AgentReport(List.of(), NO_WORKER));
            executor.advance(10);
            connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(check));
        }
        assertEquals(connections.get(0).heartbeats.size(), 1 + 20);
    }

    @Test
    public void anAgentLearnsWhichOfItsHeartbeatsAnEntryReceived() {
        createManagerOf(AGENT);
        connectionManager.maintainConnection(SELF);
        introduceMember(0, SELF);
        long sentAtNanos = connections.get(0).heartbeats.get(0).sentAtNanos();
        connectionManager.messageReceived(connections.get(0), new MemberHeartbeat(7, OptionalLong.of(sentAtNanos)));
        connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(8));
        assertEquals(notifications, List.of("connected", "confirmed " + sentAtNanos));
    }

    @Test
    public void anEntryTellsItsAgentsWithEachEchoWhetherItFollowsTheRecordsOfTheOperator() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        List<Boolean> told = new ArrayList<>();
        for (boolean reads : List.of(false, true, false)) {
            if (reads) {
                routingState.confirmRead(executor.timeSource().nanoTime());
            } else {
                executor.advanceClockOnly(
                        RoutingStateCache.READ_VALIDITY.plusMillis(1).toMillis());
            }
            connections.get(0).heartbeats.clear();
            connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(7));
            executor.advance(BestEffortTimings.HEARTBEAT_IDLE_TIME.toMillis() + 1);
            told.add(connections.get(0).heartbeats.get(0).routingConfirmed());
        }
        assertEquals(told, List.of(false, true, false));
    }

    // Guards against two entries that confirm each other's routing state while the store turns both away.
    @Test
    public void onlyAnAgentHasItsRoutingStateConfirmedByTheOtherSide() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        long nowNanos = executor.timeSource().nanoTime();
        connectionManager.messageReceived(connections.get(0), new MemberHeartbeat(7, OptionalLong.of(nowNanos)));
        assertFalse(routingState.isConfirmed(nowNanos));
        createManagerOf(AGENT);
        connectionManager.maintainConnection(SELF);
        introduceMember(0, SELF);
        connectionManager.messageReceived(connections.get(0), new MemberHeartbeat(7, OptionalLong.of(nowNanos), false));
        assertFalse(routingState.isConfirmed(nowNanos));
        connectionManager.messageReceived(connections.get(0), new MemberHeartbeat(7, OptionalLong.of(nowNanos)));
        assertTrue(routingState.isConfirmed(nowNanos));
    }

    @Test
    public void aHeartbeatThatArrivesBeforeTheIntroductionWasAppliedIsEchoedAfterIt() {
        connectionManager.maintainConnection(AGENT);
        connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(7));
        assertEquals(connections.get(0).heartbeats, List.of());
        introduceMember(0);
        assertEquals(connections.get(0).heartbeats.get(0).echoedNanos(), OptionalLong.of(7));
    }

    @Test
    public void aHeartbeatOnAConnectionThatHasEndedIsNotConfirmed() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        connectionManager.connectionClosed(connections.get(0));
        connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(7));
        assertEquals(connections.get(0).heartbeats, List.of());
    }

    @Test
    public void anEntrySendsHeartbeatsToAnAgentThatSendsNone() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        executor.advance(BestEffortTimings.HEARTBEAT_TIMEOUT.toMillis());
        assertEquals(connections.get(0).heartbeats.size(), 1);
    }

    @Test
    public void anEntrySendsAnotherEntryHeartbeatsWithoutEchoingItsOwnImmediately() {
        Member peer = member("peer", Member.Role.ENTRY);
        connectionManager.maintainConnection(peer);
        introduceMember(0, peer);
        connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(7));
        assertEquals(connections.get(0).heartbeats, List.of());
        executor.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis());
        assertEquals(connections.get(0).heartbeats.size(), 1);
    }

    @Test
    public void aMemberThatIsDiscoveredRepeatedlyIsConnectedOnce() {
        connectionManager.maintainConnection(AGENT);
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        connectionManager.maintainConnection(AGENT);
        assertEquals(connectAttempts, 1);
        assertEquals(notifications, List.of("connected"));
    }

    @Test
    public void aMemberThatIsDiscoveredAgainIsTriedImmediately() {
        reachable = false;
        connectionManager.maintainConnection(AGENT);
        executor.advance(2000);
        int previousAttempts = connectAttempts;
        reachable = true;
        connectionManager.maintainConnection(AGENT);
        assertEquals(connectAttempts, previousAttempts + 1);
    }

    @Test
    public void anUnreachableMemberIsTriedWithIncreasingDelays() {
        reachable = false;
        connectionManager.maintainConnection(AGENT);
        executor.advance(800);
        assertEquals(connectAttempts, 4);
        executor.advance(8000);
        assertEquals(connectAttempts, 14);
    }

    @Test
    public void aConnectionOnWhichTheMemberDoesNotIntroduceItselfIsReplaced() {
        connectionManager.maintainConnection(AGENT);
        executor.advance(1000);
        assertEquals(connections.get(0).open, false);
        assertEquals(connectAttempts, 2);
    }

    @Test
    public void aConnectionThatExceedsTheHeartbeatTimeoutIsReopened() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        executor.advance(900);
        assertEquals(notifications, List.of("connected", "lost"));
        assertEquals(connectAttempts, 2);
    }

    // Guards against an entry that stopped following the store: the connector threw for an address out of range.
    @Test
    public void anAddressThatTheConnectorRejectsIsTriedAgainAndDisturbsNoOtherMember() {
        connectorThrows = true;
        connectionManager.maintainConnection(AGENT);
        connectorThrows = false;
        executor.advance(100);
        assertEquals(connectAttempts, 2);
        introduceMember(0);
        assertEquals(notifications, List.of("connected"));
    }

    @Test
    public void heartbeatsKeepAConnectionOpen() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        for (int round = 0; round < 20; round++) {
            executor.advance(150);
            connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(0));
        }
        assertEquals(notifications, List.of("connected"));
    }

    // Guards against a storm: an entry that started beside many members opened all connections at once, answered none
    // in
    // time, and had to open them again.
    @Test
    public void anEntryBesideManyMembersOpensFewConnectionsAtATime() {
        List<CompletableFuture<Connection>> attempts = createManagerWithAttempts();
        for (int index = 0; index < 80; index++) {
            connectionManager.maintainConnection(member("agent-" + index, Member.Role.AGENT));
        }
        assertEquals(attempts.size(), 4);
        for (int done = 0; done < 80; done++) {
            attempts.get(done).complete(new RecordingConnection());
            assertEquals(attempts.size(), Math.min(80, done + 5));
        }
    }

    // Guards against an entry that cannot reach the living members of a lost zone's neighbours for seconds.
    @Test
    public void membersThatDoNotRespondHoldUpTheOthersOnlyBriefly() {
        List<CompletableFuture<Connection>> attempts = createManagerWithAttempts();
        for (int index = 0; index < 80; index++) {
            connectionManager.maintainConnection(member("agent-" + index, Member.Role.AGENT));
        }
        executor.advance(2000);
        assertEquals(attempts.size(), 80);
    }

    private List<CompletableFuture<Connection>> createManagerWithAttempts() {
        List<CompletableFuture<Connection>> attempts = new ArrayList<>();
        connectionManager = ConnectionManager.create(
                SELF,
                Incarnation.random(),
                executor,
                executor.timeSource(),
                (member, listener) -> {
                    attempts.add(new CompletableFuture<>());
                    return attempts.get(attempts.size() - 1);
                },
                new RecordingListener(),
                (event, details) -> {});
        return attempts;
    }

    // Guards against connections that a process closes because it was held up itself: what had arrived meanwhile was
    // still unread.
    @Test
    public void aProcessThatWasHeldUpDoesNotTakeThatTimeForSilenceOfTheMember() {
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        executor.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis());
        executor.advanceClockOnly(BestEffortTimings.HEARTBEAT_TIMEOUT.toMillis());
        executor.advance(1);
        assertEquals(notifications, List.of("connected"));
        executor.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis());
        assertEquals(notifications, List.of("connected", "lost"));
    }

    // Guards against members that a busy entry takes for lost: its control thread was in time, and their messages
    // waited
    // unread in its sockets.
    @Test
    public void aProcessWhoseTransportThreadIsBusyDoesNotTakeUnreadMessagesForSilence() {
        ManualExecutor transport = new ManualExecutor();
        connectionManager = ConnectionManager.create(
                SELF,
                Incarnation.random(),
                executor,
                executor.timeSource(),
                (member, listener) -> connect(),
                new RecordingListener(),
                (event, details) -> {},
                ReceptionMonitor.start(transport, executor.timeSource(), delay -> {}),
                routingState);
        connectionManager.start();
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        advanceTogether(transport, 300);
        connectionManager.messageReceived(connections.get(0), MemberHeartbeat.withoutEcho(0));
        executor.advance(BestEffortTimings.HEARTBEAT_TIMEOUT.toMillis() * 5);
        assertEquals(notifications, List.of("connected"));
        advanceTogether(transport, 2 * ReceptionMonitor.INTERVAL.toMillis());
        executor.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis());
        assertEquals(notifications, List.of("connected", "lost"));
    }

    @Test
    public void theSilenceOfAMemberIsNoticedAnIntervalLaterIfTheTransportThreadIsObserved() {
        connectionManager = ConnectionManager.create(
                SELF,
                Incarnation.random(),
                executor,
                executor.timeSource(),
                (member, listener) -> connect(),
                new RecordingListener(),
                (event, details) -> {},
                ReceptionMonitor.start(executor, executor.timeSource(), delay -> {}),
                routingState);
        connectionManager.start();
        connectionManager.maintainConnection(AGENT);
        introduceMember(0);
        long boundMillis = BestEffortTimings.HEARTBEAT_TIMEOUT
                .plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL)
                .plus(ReceptionMonitor.INTERVAL.multipliedBy(2))
                .toMillis();
        executor.advance(boundMillis);
        assertEquals(notifications, List.of("connected", "lost"));
    }

    private void advanceTogether(ManualExecutor transport, long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed++) {
            executor.advance(1);
            transport.advance(1);
        }
    }

    // Guards against two runs of one task: the jobs that a peer announced when it connected were dropped, since its
    // introduction was still waiting for the control thread.
    @Test
    public void aJobMessageThatFollowsTheIntroductionCloselyIsPassedOnAfterIt() {
        BusyExecutor busyExecutor = createManagerOnABusyThread();
        RecordingConnection connection = new RecordingConnection();
        ShareJobs announcement = new ShareJobs(List.of(JobId.of("00000000000000aa")));
        connectionManager.messageReceived(connection, new Introduce(AGENT, Incarnation.random()));
        connectionManager.messageReceived(connection, announcement);
        busyExecutor.runWaiting();
        assertEquals(notifications, List.of("connected"));
        assertEquals(jobMessages, List.of(announcement));
    }

    private BusyExecutor createManagerOnABusyThread() {
        BusyExecutor busyExecutor = new BusyExecutor();
        connectionManager = ConnectionManager.create(
                SELF,
                Incarnation.random(),
                busyExecutor,
                executor.timeSource(),
                (member, listener) -> connect(),
                new RecordingListener(),
                (event, details) -> {});
        return busyExecutor;
    }

    // Guards against a member that counts as connected for ever: its connection had ended before its introduction was
    // handled, so that neither a timeout nor the end of the connection was noticed.
    @Test
    public void anIntroductionOnAConnectionThatHasEndedSinceIsIgnored() {
        BusyExecutor busyExecutor = createManagerOnABusyThread();
        RecordingConnection connection = new RecordingConnection();
        connectionManager.connectionClosed(connection);
        connectionManager.messageReceived(connection, new Introduce(AGENT, Incarnation.random()));
        busyExecutor.runWaiting();
        assertEquals(notifications, List.of());
        assertTrue(connectionManager.connections().isEmpty());
    }
}
