package org.gypsumflow.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.DelegateJob;
import org.gypsumflow.model.BestEffortMessage.DelegationEnded;
import org.gypsumflow.model.BestEffortMessage.EntryLoad;
import org.gypsumflow.model.BestEffortMessage.Introduce;
import org.gypsumflow.model.BestEffortMessage.JobAbandoned;
import org.gypsumflow.model.BestEffortMessage.JobList;
import org.gypsumflow.model.BestEffortMessage.MemberHeartbeat;
import org.gypsumflow.model.BestEffortMessage.Neighbour;
import org.gypsumflow.model.BestEffortMessage.Relay;
import org.gypsumflow.model.BestEffortMessage.RequestJobs;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.RunSurroundings;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.wire.generated.Envelope;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class BestEffortCodecTest {
    private static final JobId JOB = JobId.of("fc0e7a21d94b36f8");
    private static final Member MEMBER = new Member(
            MemberName.of("edge-sofia-1"), Member.Role.ENTRY, AvailabilityZone.of("sofia"), "10.1.0.13", 7720);

    private static final DelegateJob DELEGATION = new DelegateJob(
            JOB,
            RouteName.of("r"),
            3,
            "specification",
            4,
            Resources.of(3100, 64, 1),
            Duration.ofMillis(86),
            Duration.ofMillis(1500),
            Duration.ofMillis(2),
            AvailabilityZone.of("sofia"));

    private static EntryLoad load(OptionalInt echo) {
        return new EntryLoad(Duration.ofMillis(7), 20, 0.5, Integer.MIN_VALUE, echo, Duration.ofMillis(90));
    }

    private static TaskAssignment assignment(int index, String specification) {
        return new TaskAssignment(
                BestEffortTaskId.of(JOB, index),
                RunNumber.of(2),
                specification,
                RouteName.of("route"),
                Resources.of(3100, 64, 1),
                Duration.ofMillis(86),
                Duration.ofMillis(500),
                Duration.ofMillis(-20),
                true);
    }

    private static RunResult resultBeside(int index, Neighbour... neighbours) {
        return new RunResult(
                BestEffortTaskId.of(JOB, index),
                RunNumber.of(1),
                RunOutcome.DONE,
                Duration.ofMillis(90),
                new RunSurroundings(List.of(neighbours), 0.75f));
    }

    @DataProvider
    public Object[][] messages() {
        WorkerStatus workerStatus = new WorkerStatus(
                true,
                "s",
                "sofia",
                Resources.of(32_000, 100, 0),
                Resources.of(-500, 50, 0),
                Resources.of(900, 60, 0),
                Resources.of(100, 1, 0),
                Duration.ofMillis(211),
                0.5,
                2.5,
                0.25,
                7);
        Route route = new Route(
                RouteName.of("r"),
                "h",
                "/p/",
                ServiceName.of("s"),
                1,
                2,
                1.6,
                Duration.ofMillis(60),
                Duration.ofMillis(1500));
        return new Object[][] {
            {new Introduce(MEMBER, Incarnation.of("life-1"))},
            {MemberHeartbeat.withoutEcho(7)},
            {new ContactsChanged(List.of(MEMBER.name()), List.of(MemberName.of("a"), MemberName.of("b")))},
            {new ContactsChanged(List.of(), List.of())},
            {new Relay(MEMBER.name(), new ShareJobs(List.of(JOB)))},
            {new RequestJobs(-7)},
            {new RequestJobs(7, true)},
            {load(OptionalInt.empty())},
            {load(OptionalInt.of(-3))},
            {DELEGATION},
            {new DelegationEnded(JOB, BestEffortOutcome.completed())},
            {new DelegationEnded(JOB, BestEffortOutcome.failed("r"))},
            {new DelegationEnded(JOB, BestEffortOutcome.mayHaveRun("r"))},
            {new DelegationEnded(JOB, BestEffortOutcome.notRun("r", Duration.ofSeconds(1)))},
            {new DelegationEnded(JOB, BestEffortOutcome.ofCancelled())},
            {DelegationEnded.refused(JOB, "r")},
            {new JobList(9, List.of(JOB))},
            {new Relay(MEMBER.name(), new RequestJobs(7))},
            {new Relay(MEMBER.name(), new JobList(7, List.of()))},
            {new Relay(MEMBER.name(), new AbandonJob(JOB, false))},
            {new Relay(MEMBER.name(), new JobAbandoned(JOB, true))},
            {new MemberHeartbeat(7, OptionalLong.of(0))},
            {new MemberHeartbeat(-7, OptionalLong.of(-9))},
            {
                new AssignTasks(List.of(
                        assignment(0, "same"), assignment(1, "same"), assignment(2, ""), assignment(3, "other")))
            },
            {new StopTasks(JOB, List.of(1, 5))},
            {
                new AgentReport(
                        List.of(new RunResult(
                                BestEffortTaskId.of(JOB, 3),
                                RunNumber.of(1),
                                RunOutcome.NOT_STARTED,
                                Duration.ofMillis(9))),
                        workerStatus)
            },
            {
                new AgentReport(
                        List.of(
                                resultBeside(1, new Neighbour(RouteName.of("a"), 0.5f)),
                                resultBeside(
                                        2, new Neighbour(RouteName.of("b"), 1), new Neighbour(RouteName.of("a"), 1))),
                        workerStatus,
                        Map.of(RouteName.of("a"), 3100, RouteName.of("b"), 400))
            },
            {
                new ShareRoutingState(
                        new RoutingTable(9, List.of(route), Set.of(ServiceName.of("s"))),
                        new ClosedZones(4, Set.of(AvailabilityZone.of("burgas"))))
            },
            {new ShareJobs(List.of(JOB))},
            {new AbandonJob(JOB, true)},
            {new JobAbandoned(JOB, true)},
        };
    }

    @Test(dataProvider = "messages")
    public void aMessageArrivesAsItWasSent(BestEffortMessage message) {
        assertEquals(MessageCodec.decode(MessageCodec.encode(message)), message);
    }

    @DataProvider
    public Object[][] messagesThatAreNotRelayed() {
        return new Object[][] {
            {new StopTasks(JOB, List.of(1))},
            {MemberHeartbeat.withoutEcho(7)},
            {DELEGATION},
            {new Relay(MEMBER.name(), new AbandonJob(JOB, false))},
        };
    }

    @Test(dataProvider = "messagesThatAreNotRelayed")
    public void aRelayedMessageThatIsNotOneBetweenEntriesIsRejected(BestEffortMessage message) {
        Envelope envelope = Envelope.newBuilder()
                .setRelay(org.gypsumflow.wire.generated.Relay.newBuilder()
                        .setEntry("entry")
                        .setContent(MessageCodec.encode(message)))
                .build();
        assertThrows(IllegalArgumentException.class, () -> MessageCodec.decode(envelope));
    }

    // Guards against a job that runs again at its origin: a result of a newer version is no proof that it has not run.
    @Test
    public void aDelegationThatEndedInAnUnknownWayMayHaveRun() {
        Envelope envelope = Envelope.newBuilder()
                .setDelegationEnded(org.gypsumflow.wire.generated.DelegationEnded.newBuilder()
                        .setJob(1)
                        .setResultValue(77))
                .build();
        DelegationEnded ended = (DelegationEnded) MessageCodec.decode(envelope);
        assertEquals(ended.outcome(), BestEffortOutcome.mayHaveRun(""));
    }

    @Test
    public void theSpecificationOfAJobWithSeveralTasksIsSentOnce() {
        String specification = "x".repeat(1000);
        List<TaskAssignment> assignments =
                List.of(assignment(0, specification), assignment(1, specification), assignment(2, specification));
        assertTrue(MessageCodec.encode(new AssignTasks(assignments)).getSerializedSize() < 2 * specification.length());
    }

    @DataProvider
    public Object[][] invalidAddresses() {
        return new Object[][] {
            {"10.1.0.13", 0},
            {"10.1.0.13", -1},
            {"10.1.0.13", 65_536},
            {"10.1.0.13", 70_000},
            {"10.1.0.13", Integer.MIN_VALUE},
            {"", 7720},
            {" ", 7720},
            {"edge-sofia-1.example", 7720},
            {"10.1.0.300", 7720},
            {"1".repeat(100_000), 7720},
        };
    }

    // Guards against an entry that connects to no further member: the port of another writer's record was out of range.
    @Test(dataProvider = "invalidAddresses")
    public void aMemberWithAnInvalidAddressIsRejected(String host, int port) {
        byte[] stored = MemberCodec.encode(
                new Member(MEMBER.name(), MEMBER.role(), MEMBER.zone(), host, MEMBER.port()).withPort(port));
        ValidationException rejection = expectThrows(ValidationException.class, () -> MemberCodec.decode(stored));
        assertTrue(rejection.getMessage().length() < 500);
    }

    @DataProvider
    public Object[][] hostsThatAreAddresses() {
        return new Object[][] {{"10.1.0.13"}, {"127.0.0.1"}, {"::1"}, {"2001:db8::7"}};
    }

    @Test(dataProvider = "hostsThatAreAddresses")
    public void aMemberWithAnIpAddressIsDecoded(String host) {
        Member member = new Member(MEMBER.name(), MEMBER.role(), MEMBER.zone(), host, 65_535);
        assertEquals(MemberCodec.decode(MemberCodec.encode(member)), member);
    }

    @DataProvider
    public Object[][] unreadableMembers() {
        byte[] valid = MemberCodec.encode(MEMBER);
        byte[] nested = new byte[100_000];
        Arrays.fill(nested, (byte) 0x7B);
        return new Object[][] {
            {new byte[0]},
            {new byte[] {(byte) 0xFF, (byte) 0xFE, (byte) 0xFD}},
            {"{\"host\":\"10.1.0.13\"}".getBytes(StandardCharsets.UTF_8)},
            {Arrays.copyOf(valid, valid.length - 1)},
            {new byte[] {0x0A, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x0F, 'a'}},
            {new byte[] {0x0A, 2, (byte) 0xC3, (byte) 0x28}},
            {nested},
        };
    }

    @Test(dataProvider = "unreadableMembers")
    public void aRecordThatHoldsNoMemberIsRejected(byte[] stored) {
        assertThrows(ValidationException.class, () -> MemberCodec.decode(stored));
    }

    @Test
    public void aMemberIsDecodedAsItWasEncodedAndAnInvalidOneIsRejected() {
        assertEquals(MemberCodec.decode(MemberCodec.encode(MEMBER)), MEMBER);
        assertThrows(ValidationException.class, () -> MemberCodec.decode(new byte[] {1, 2, 3}));
    }
}
