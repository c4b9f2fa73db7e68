package org.gypsumflow.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.DispatchMessage;
import org.gypsumflow.model.DispatchMessage.AgentReport;
import org.gypsumflow.model.DispatchMessage.Closures;
import org.gypsumflow.model.DispatchMessage.Ended;
import org.gypsumflow.model.DispatchMessage.GiveUpJob;
import org.gypsumflow.model.DispatchMessage.Heartbeat;
import org.gypsumflow.model.DispatchMessage.Introduce;
import org.gypsumflow.model.DispatchMessage.JobGivenUp;
import org.gypsumflow.model.DispatchMessage.Order;
import org.gypsumflow.model.DispatchMessage.ShareJobs;
import org.gypsumflow.model.DispatchMessage.ShareState;
import org.gypsumflow.model.DispatchMessage.StartOrders;
import org.gypsumflow.model.DispatchMessage.StopOrders;
import org.gypsumflow.model.DispatchMessage.WorkerRoom;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.NodeName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.TaskEnding;
import org.gypsumflow.model.TaskName;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class DispatchCodecTest {
    private static final JobId JOB = JobId.of("fc0e7a21d94b36f8");
    private static final Member MEMBER =
            new Member(NodeName.of("edge-sofia-1"), Member.Role.ENTRY, AvailabilityZone.of("sofia"), "10.1.0.13", 7720);

    private static Order order(int index, String specification) {
        return new Order(
                TaskName.of(JOB, index),
                RunNumber.of(2),
                specification,
                Resources.of(3100, 64, 1),
                Duration.ofMillis(86),
                Duration.ofMillis(500),
                Duration.ofMillis(-20),
                true);
    }

    @DataProvider
    public Object[][] messages() {
        WorkerRoom room = new WorkerRoom(
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
            {new Heartbeat(7)},
            {new StartOrders(List.of(order(0, "same"), order(1, "same"), order(2, ""), order(3, "other")))},
            {new StopOrders(JOB, List.of(1, 5))},
            {
                new AgentReport(
                        List.of(new Ended(
                                TaskName.of(JOB, 3), RunNumber.of(1), TaskEnding.NOT_STARTED, Duration.ofMillis(9))),
                        room)
            },
            {
                new ShareState(
                        new RoutingTable(9, List.of(route), Set.of(ServiceName.of("s"))),
                        new Closures(4, Set.of(AvailabilityZone.of("burgas"))))
            },
            {new ShareJobs(List.of(JOB))},
            {new GiveUpJob(JOB, true)},
            {new JobGivenUp(JOB, true)},
        };
    }

    @Test(dataProvider = "messages")
    public void aMessageArrivesAsItWasSent(DispatchMessage message) {
        assertEquals(MessageCodec.decode(MessageCodec.encode(message)), message);
    }

    @Test
    public void theSpecificationOfAWideJobIsSentOnce() {
        String specification = "x".repeat(1000);
        List<Order> orders = List.of(order(0, specification), order(1, specification), order(2, specification));
        assertTrue(MessageCodec.encode(new StartOrders(orders)).getSerializedSize() < 2 * specification.length());
    }

    @Test
    public void anAddressIsReadAsItWasWrittenAndADamagedOneIsRefused() {
        assertEquals(MemberRecords.decode(MemberRecords.encode(MEMBER)), MEMBER);
        assertThrows(ValidationException.class, () -> MemberRecords.decode(new byte[] {1, 2, 3}));
    }
}
