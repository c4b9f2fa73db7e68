package org.gypsumflow.control;

import static org.testng.Assert.assertEquals;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.Introduce;
import org.gypsumflow.model.BestEffortMessage.MemberHeartbeat;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ConnectionManagerTest {
    private static final Member SELF = member("entry", Member.Role.ENTRY);
    private static final Member AGENT = member("agent", Member.Role.AGENT);

    /** Connection that counts heartbeats and on which no reply arrives. */
    private static final class RecordingConnection implements Connection {
        private boolean open = true;
        private int heartbeatsSent;

        @Override
        public void send(Message message) {
            heartbeatsSent += message instanceof MemberHeartbeat ? 1 : 0;
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
        }

        @Override
        public void memberDisconnected(Member member, long lastReceivedNanos) {
            notifications.add("lost");
        }

        @Override
        public void jobMessageReceived(MemberName sender, BestEffortMessage message) {}

        @Override
        public void routingStateReceived(MemberName sender, ShareRoutingState state) {}
    }

    private final List<String> notifications = new ArrayList<>();
    private final List<RecordingConnection> connections = new ArrayList<>();
    private ManualExecutor executor;
    private ConnectionManager connectionManager;
    private boolean reachable;
    private boolean connectorThrows;
    private int connectAttempts;

    private static Member member(String name, Member.Role role) {
        return new Member(MemberName.of(name), role, AvailabilityZone.of("sofia"), "127.0.0.1", 1);
    }

    @BeforeMethod
    public void createManagerWithAReachableMember() {
        notifications.clear();
        connections.clear();
        connectAttempts = 0;
        reachable = true;
        connectorThrows = false;
        executor = new ManualExecutor();
        connectionManager = ConnectionManager.create(
                SELF,
                Incarnation.random(),
                executor,
                executor.timeSource(),
                (member, listener) -> connect(),
                new RecordingListener(),
                (event, details) -> {});
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
            connections.forEach(connection -> connectionManager.messageReceived(connection, new MemberHeartbeat(0)));
        }
        return connections.get(0).heartbeatsSent;
    }

    @Test
    public void aProcessWithManyConnectionsSendsHalfAsManyHeartbeatsOnEach() {
        assertEquals(heartbeatsOnOneOf(4), 20);
        createManagerWithAReachableMember();
        assertEquals(heartbeatsOnOneOf(70), 10);
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
            connectionManager.messageReceived(connections.get(0), new MemberHeartbeat(0));
        }
        assertEquals(notifications, List.of("connected"));
    }
}
