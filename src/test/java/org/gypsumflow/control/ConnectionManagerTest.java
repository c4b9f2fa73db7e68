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

    /** A connection on which nothing comes back. */
    private static final class SilentLink implements Connection {
        private boolean open = true;
        private int heartbeats;

        @Override
        public void send(Message message) {
            heartbeats += message instanceof MemberHeartbeat ? 1 : 0;
        }

        @Override
        public void close() {
            open = false;
        }
    }

    private final class Listener implements ConnectionManager.MemberListener {
        @Override
        public void memberConnected(Member member, Connection link) {
            heard.add("connected");
        }

        @Override
        public void memberDisconnected(Member member, long heardNanos) {
            heard.add("lost");
        }

        @Override
        public void jobMessageReceived(MemberName from, BestEffortMessage message) {}

        @Override
        public void routingStateReceived(MemberName from, ShareRoutingState state) {}
    }

    private final List<String> heard = new ArrayList<>();
    private final List<SilentLink> opened = new ArrayList<>();
    private ManualExecutor lane;
    private ConnectionManager links;
    private boolean reachable;
    private int dials;

    private static Member member(String name, Member.Role role) {
        return new Member(MemberName.of(name), role, AvailabilityZone.of("sofia"), "127.0.0.1", 1);
    }

    @BeforeMethod
    public void startWithAMemberThatCanBeReached() {
        heard.clear();
        opened.clear();
        dials = 0;
        reachable = true;
        lane = new ManualExecutor();
        links = ConnectionManager.create(
                SELF,
                Incarnation.random(),
                lane,
                lane.timeSource(),
                (to, listener) -> dial(),
                new Listener(),
                (event, details) -> {});
        links.start();
    }

    private CompletableFuture<Connection> dial() {
        dials++;
        if (!reachable) {
            return CompletableFuture.failedFuture(new ConnectException("nobody listens"));
        }
        opened.add(new SilentLink());
        return CompletableFuture.completedFuture(opened.get(opened.size() - 1));
    }

    private void introduce(int link) {
        introduce(link, AGENT);
    }

    private void introduce(int link, Member member) {
        links.messageReceived(opened.get(link), new Introduce(member, Incarnation.random()));
    }

    private int heartbeatsOfOneAmong(int connections) {
        for (int index = 0; index < connections; index++) {
            Member member = member("agent-" + index, Member.Role.AGENT);
            links.maintainConnection(member);
            introduce(index, member);
        }
        for (int look = 0; look < 20; look++) {
            lane.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis());
            opened.forEach(link -> links.messageReceived(link, new MemberHeartbeat(0)));
        }
        return opened.get(0).heartbeats;
    }

    @Test
    public void aProcessWithManyConnectionsSendsHalfAsManyHeartbeatsOnEach() {
        assertEquals(heartbeatsOfOneAmong(4), 20);
        startWithAMemberThatCanBeReached();
        assertEquals(heartbeatsOfOneAmong(70), 10);
    }

    @Test
    public void aMemberThatMakesItselfKnownTwiceIsDialedOnce() {
        links.maintainConnection(AGENT);
        links.maintainConnection(AGENT);
        introduce(0);
        links.maintainConnection(AGENT);
        assertEquals(dials, 1);
        assertEquals(heard, List.of("connected"));
    }

    @Test
    public void aMemberThatMakesItselfKnownAgainIsDialedAtOnce() {
        reachable = false;
        links.maintainConnection(AGENT);
        lane.advance(2000);
        int before = dials;
        reachable = true;
        links.maintainConnection(AGENT);
        assertEquals(dials, before + 1);
    }

    @Test
    public void aMemberThatCannotBeReachedIsDialedLessAndLessOften() {
        reachable = false;
        links.maintainConnection(AGENT);
        lane.advance(800);
        assertEquals(dials, 4);
        lane.advance(8000);
        assertEquals(dials, 14);
    }

    @Test
    public void aConnectionOnWhichNobodyAnswersIsReplaced() {
        links.maintainConnection(AGENT);
        lane.advance(1000);
        assertEquals(opened.get(0).open, false);
        assertEquals(dials, 2);
    }

    @Test
    public void aSilentConnectionIsGivenUpAndOpenedAgain() {
        links.maintainConnection(AGENT);
        introduce(0);
        lane.advance(900);
        assertEquals(heard, List.of("connected", "lost"));
        assertEquals(dials, 2);
    }

    @Test
    public void heartbeatsKeepAConnection() {
        links.maintainConnection(AGENT);
        introduce(0);
        for (int beat = 0; beat < 20; beat++) {
            lane.advance(150);
            links.messageReceived(opened.get(0), new MemberHeartbeat(0));
        }
        assertEquals(heard, List.of("connected"));
    }
}
