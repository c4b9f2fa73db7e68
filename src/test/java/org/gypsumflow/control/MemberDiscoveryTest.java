package org.gypsumflow.control;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class MemberDiscoveryTest {
    private static final class IgnoringListener implements ConnectionManager.MemberListener {
        @Override
        public void memberConnected(Member member, Connection connection) {}

        @Override
        public void memberDisconnected(Member member, long lastReceivedNanos) {}

        @Override
        public void jobMessageReceived(MemberName sender, BestEffortMessage message) {}

        @Override
        public void contactConfirmed(MemberName member, long sentAtNanos) {}

        @Override
        public void routingStateReceived(MemberName sender, ShareRoutingState state) {}
    }

    private final List<String> tried = new ArrayList<>();
    private final List<Event> written = new ArrayList<>();
    private final List<Set<MemberName>> peers = new ArrayList<>();
    private ManualCompactedLog store;

    private static Member member(String name, Member.Role role) {
        return new Member(MemberName.of(name), role, AvailabilityZone.of("sofia"), "127.0.0.1", 1);
    }

    /** Decodes a name, of an entry if it begins so, else of an agent; after a question mark it is malformed. */
    private static Member decode(byte[] stored) {
        String text = new String(stored, StandardCharsets.UTF_8);
        Check.isTrue(!text.startsWith("?"), "member", "is malformed");
        return member(text, text.startsWith("entry") ? Member.Role.ENTRY : Member.Role.AGENT);
    }

    private CompletableFuture<Connection> connect(Member member) {
        tried.add(member.name().value());
        if (member.name().value().equals("out-of-range")) {
            throw new IllegalArgumentException("port out of range:70000");
        }
        return new CompletableFuture<>();
    }

    @BeforeMethod
    public void watchTheMembersOfAStore() {
        tried.clear();
        written.clear();
        peers.clear();
        store = new ManualCompactedLog();
        ManualExecutor executor = new ManualExecutor();
        Member self = member("entry", Member.Role.ENTRY);
        ConnectionManager connectionManager = ConnectionManager.create(
                self,
                Incarnation.random(),
                executor,
                executor.timeSource(),
                (member, listener) -> connect(member),
                new IgnoringListener(),
                (event, details) -> written.add(event));
        MemberDiscovery.create(
                        self,
                        store,
                        executor,
                        connectionManager,
                        member -> new byte[0],
                        MemberDiscoveryTest::decode,
                        (event, details) -> written.add(event))
                .watchMembers(peers::add);
    }

    @Test
    public void theMembersBesideAMalformedRecordAreConnected() {
        store.deliver("a", "a", "b", "?", "c", "c");
        store.deliver("d", "?", "e", "e");
        assertEquals(tried, List.of("a", "c", "e"));
        assertEquals(written, List.of(Event.MESSAGE_UNREADABLE, Event.MESSAGE_UNREADABLE));
    }

    // Guards against an entry that connects to no further member after an address that cannot be connected to.
    @Test
    public void theMembersAfterAnAddressThatCannotBeUsedAreConnected() {
        store.deliver("a", "a", "out-of-range", "out-of-range", "c", "c");
        store.deliver("d", "d");
        assertEquals(tried, List.of("a", "out-of-range", "c", "d"));
    }

    // Guards against the loss of a member: the record of another key named it, and replaced its address.
    @Test
    public void aRecordUnderTheKeyOfAnotherMemberIsIgnored() {
        store.deliver("a", "a", "b", "c");
        assertEquals(tried, List.of("a"));
        assertEquals(written, List.of(Event.MESSAGE_UNREADABLE));
    }

    @Test
    public void theNamesOfTheOtherEntriesArePassedOnWhenAllAddressesWereRead() {
        store.deliver("a", "a", "entry", "entry", "entry-2", "entry-2", "b", "?", "entry-3", "entry-3");
        assertEquals(peers, List.of(Set.of(MemberName.of("entry-2"), MemberName.of("entry-3"))));
        store.deliver("entry-4", "entry-4");
        assertEquals(peers.size(), 1);
    }
}
