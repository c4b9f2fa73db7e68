package org.gypsumflow.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.model.WorkerReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the contact between the connection managers of an entry and an agent, over a connection with faults. */
public final class ContactLossTest {
    private static final AvailabilityZone ZONE = AvailabilityZone.of("sofia");
    private static final Member ENTRY = new Member(MemberName.of("entry"), Member.Role.ENTRY, ZONE, "127.0.0.1", 1);
    private static final Member AGENT = new Member(MemberName.of("agent"), Member.Role.AGENT, ZONE, "127.0.0.1", 2);
    private static final BestEffortTaskId TASK = BestEffortTaskId.of(JobId.of("00000000000000aa"), 0);
    private static final JobId OTHER_JOB = JobId.of("00000000000000bb");
    private static final Duration MESSAGE_TIME = Duration.ofMillis(2);
    private static final long WORKER_STARTED_AT_MILLIS = 1;

    /** Worker that starts and stops every task and never finishes one. */
    private final class RunningWorker implements WorkerClient {
        @Override
        public CompletableFuture<StartResponse> start(
                BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken) {
            started++;
            return CompletableFuture.completedFuture(new StartResponse(StartStatus.STARTED, 0));
        }

        @Override
        public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken) {
            stoppedAtNanos.add(executor.timeSource().nanoTime());
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<TaskListing> renew(LeaseRenewal request) {
            renewal = new CompletableFuture<>();
            return renewal;
        }
    }

    private final class RecordingEntry implements ConnectionManager.MemberListener {
        @Override
        public void memberConnected(Member member, Connection connection) {
            connectionToAgent = connection;
        }

        @Override
        public void memberDisconnected(Member member, long lastReceivedNanos) {
            lastReceivedAtEntryNanos.add(lastReceivedNanos);
        }

        @Override
        public void contactConfirmed(MemberName member, long sentAtNanos) {}

        @Override
        public void jobMessageReceived(MemberName sender, BestEffortMessage message) {
            reportedAvailable |= message instanceof AgentReport report
                    && report.workerStatus().acceptsTasks();
        }

        @Override
        public void routingStateReceived(MemberName sender, ShareRoutingState state) {}
    }

    /** One end of a connection, which loses everything while the direction from it is interrupted. */
    private final class ConnectionEnd implements Connection {
        private final boolean atAgent;
        private ConnectionEnd other;
        private ConnectionListener listener;

        private ConnectionEnd(boolean atAgent) {
            this.atAgent = atAgent;
        }

        @Override
        public void send(Message message) {
            messagesSent++;
            if (!(atAgent && agentToEntryInterrupted)) {
                executor.schedule(MESSAGE_TIME, () -> other.listener.messageReceived(other, message));
            }
        }

        @Override
        public void close() {
            listener.connectionClosed(this);
        }
    }

    private final List<Long> stoppedAtNanos = new ArrayList<>();
    private final List<Long> lastReceivedAtEntryNanos = new ArrayList<>();
    private ManualExecutor executor;
    private ManualExecutor entryControl;
    private ConnectionManager agentConnections;
    private Connection connectionToAgent;
    private CompletableFuture<TaskListing> renewal;
    private boolean agentToEntryInterrupted;
    private boolean reportedAvailable;
    private int messagesSent;
    private int started;

    @BeforeMethod
    public void connectAnEntryAndAnAgentThatRunsATask() {
        stoppedAtNanos.clear();
        lastReceivedAtEntryNanos.clear();
        agentToEntryInterrupted = false;
        reportedAvailable = false;
        started = 0;
        executor = new ManualExecutor();
        entryControl = new ManualExecutor();
        BestEffortAgent agent = BestEffortAgent.create(
                executor,
                executor.timeSource(),
                new RunningWorker(),
                RoutingStateCache.create((event, details) -> {}),
                (event, details) -> {});
        agentConnections = connectionManager(AGENT, executor, agent);
        ConnectionManager entryConnections = connectionManager(ENTRY, entryControl, new RecordingEntry());
        agent.start();
        agentConnections.start();
        entryConnections.start();
        agent.workerReported(new WorkerReport(
                "worker",
                WORKER_STARTED_AT_MILLIS,
                ServiceName.of("service"),
                ZONE,
                Resources.of(8000, 1000, 0),
                "rack",
                false,
                1,
                -1));
        renewal.complete(new TaskListing(WORKER_STARTED_AT_MILLIS, 0, List.of(), List.of()));
        entryConnections.maintainConnection(AGENT);
        advanceBoth(20);
        assertTrue(reportedAvailable);
        connectionToAgent.send(new AssignTasks(List.of(new TaskAssignment(
                TASK,
                RunNumber.FIRST,
                "text",
                RouteName.of("route"),
                Resources.of(3000, 10, 0),
                Duration.ofSeconds(60),
                Duration.ofMillis(500),
                Duration.ofMillis(100),
                true))));
        advanceBoth(20);
        assertEquals(started, 1);
    }

    private ConnectionManager connectionManager(
            Member self, ManualExecutor controlExecutor, ConnectionManager.MemberListener listener) {
        return ConnectionManager.create(
                self,
                Incarnation.random(),
                controlExecutor,
                executor.timeSource(),
                (member, connectionListener) -> CompletableFuture.completedFuture(connect(connectionListener)),
                listener,
                (event, details) -> {});
    }

    private Connection connect(ConnectionListener entryListener) {
        ConnectionEnd atEntry = new ConnectionEnd(false);
        ConnectionEnd atAgent = new ConnectionEnd(true);
        atEntry.other = atAgent;
        atEntry.listener = entryListener;
        atAgent.other = atEntry;
        atAgent.listener = agentConnections;
        return atEntry;
    }

    private void advanceBoth(int millis) {
        for (int step = 0; step < millis; step++) {
            executor.advance(1);
            entryControl.advance(1);
        }
    }

    // Guards against two runs of one task: while only the direction to the entry was lost and the entry's control
    // thread
    // was held up, the agent went on for as long as that took.
    @Test
    public void theAgentStopsBeforeTheEntryReassignsAlthoughTheEntryClosesTheConnectionLate() {
        advanceBoth(1000);
        agentToEntryInterrupted = true;
        for (int elapsed = 0; elapsed < 5000; elapsed += 100) {
            connectionToAgent.send(new StopTasks(OTHER_JOB, List.of(0)));
            executor.advance(100);
        }
        entryControl.advance(5000);
        assertEquals(lastReceivedAtEntryNanos.size(), 1);
        assertEquals(stoppedAtNanos.size(), 1);
        Duration stoppedAfter = Duration.ofNanos(stoppedAtNanos.get(0) - lastReceivedAtEntryNanos.get(0));
        Duration maxTime = BestEffortTimings.CONFIRMED_CONTACT_LIMIT.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);
        assertTrue(stoppedAfter.compareTo(maxTime) <= 0, "stopped after " + stoppedAfter);
    }

    @Test
    public void theContactLastsWhileHeartbeatsAreEchoedAlthoughTheControlThreadOfTheEntryIsHeldUp() {
        executor.advance(5000);
        assertEquals(stoppedAtNanos, List.of());
    }

    @Test
    public void aSecondOfAnIdleConnectionTakesAsManyMessagesAsHeartbeatsInBothDirections() {
        advanceBoth(1000);
        messagesSent = 0;
        advanceBoth(1000);
        int checks = (int) (1000 / BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis()) + 1;
        int repeatedReports = 1;
        assertTrue(messagesSent <= 2 * checks + repeatedReports, messagesSent + " messages");
    }
}
