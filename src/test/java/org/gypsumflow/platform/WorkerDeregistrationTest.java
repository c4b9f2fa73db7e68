package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.traffic.BestEffortAgent;
import org.gypsumflow.traffic.WorkerClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class WorkerDeregistrationTest {
    private static final JobId JOB = JobId.of("00000000000000aa");
    private static final BestEffortTaskId TASK = BestEffortTaskId.of(JOB, 0);
    private static final MemberName ENTRY = MemberName.of("entry");
    private static final long EARLIER_START_MILLIS = 1_772_086_629_250L;
    private static final long PRESENT_START_MILLIS = EARLIER_START_MILLIS + 60_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** A worker that starts every task and lists none until it is asked a second time. */
    private static final class WillingWorker implements WorkerClient {
        private final List<BestEffortTaskId> stopped = new CopyOnWriteArrayList<>();
        private CompletableFuture<TaskListing> pendingRenewal = new CompletableFuture<>();
        private int renewals;

        @Override
        public CompletableFuture<StartResponse> start(
                BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken) {
            return CompletableFuture.completedFuture(new StartResponse(StartStatus.STARTED, 0));
        }

        @Override
        public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken) {
            stopped.add(task);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<TaskListing> renew(LeaseRenewal request) {
            renewals++;
            pendingRenewal = new CompletableFuture<>();
            return renewals == 1 ? CompletableFuture.completedFuture(emptyListing()) : pendingRenewal;
        }

        private static TaskListing emptyListing() {
            return new TaskListing(PRESENT_START_MILLIS, 0, List.of(), List.of());
        }

        private void listNothing() {
            pendingRenewal.complete(emptyListing());
        }
    }

    private final List<RunOutcome> outcomes = new CopyOnWriteArrayList<>();
    private final List<Event> written = new CopyOnWriteArrayList<>();
    private ManualExecutor executor;
    private WillingWorker worker;
    private BestEffortAgent agent;
    private GrizzlyHttpServer server;
    private HttpClient httpClient;
    private String baseUrl;

    @BeforeMethod
    public void startAnAgentWithATaskAtItsWorker() {
        outcomes.clear();
        written.clear();
        executor = new ManualExecutor();
        worker = new WillingWorker();
        agent = BestEffortAgent.create(
                executor,
                executor.timeSource(),
                worker,
                RoutingStateCache.create((event, details) -> {}),
                (event, details) -> {});
        agent.memberConnected(
                new Member(ENTRY, Member.Role.ENTRY, AvailabilityZone.of("sofia"), "127.0.0.1", 1), recording());
        agent.contactConfirmed(ENTRY, executor.timeSource().nanoTime());
        server = GrizzlyHttpServer.create("127.0.0.1", 0, 1, (event, details) -> {});
        WorkerReportResource.register(
                server, agent::workerReported, agent::workerLeft, (event, details) -> written.add(event));
        httpClient = HttpClient.create();
        baseUrl = "http://127.0.0.1:" + server.start();
        post(
                "/Instances.Heartbeat/i-7f3a91c2",
                "{\"service\":\"s\",\"zone\":\"sofia\",\"state\":\"ready\",\"capacity\":{\"cpu\":8000,\"memMb\":1000},"
                        + "\"sequence\":1,\"born\":" + PRESENT_START_MILLIS + "}");
        agent.jobMessageReceived(ENTRY, new AssignTasks(List.of(assignment(0))));
    }

    @AfterMethod
    public void stopServer() {
        httpClient.close();
        server.close();
    }

    private Connection recording() {
        return new Connection() {
            @Override
            public void send(Message message) {
                if (message instanceof AgentReport report) {
                    report.results().stream().map(RunResult::outcome).forEach(outcomes::add);
                }
            }

            @Override
            public void close() {}
        };
    }

    private static TaskAssignment assignment(int index) {
        return new TaskAssignment(
                BestEffortTaskId.of(JOB, index),
                RunNumber.FIRST,
                "text",
                RouteName.of("route"),
                Resources.of(3000, 10, 0),
                Duration.ofMillis(100),
                Duration.ofMillis(500),
                Duration.ofMillis(100),
                false);
    }

    private void post(String path, String body) {
        httpClient
                .post(baseUrl + path, Map.of(), body.getBytes(StandardCharsets.UTF_8), TIMEOUT)
                .join();
    }

    // Guards against two runs of one task: a worker deregisters before it ends, and its runs counted as lost at once.
    @Test
    public void theRunsOfAWorkerThatDeregistersAreStoppedAndLostOnceItDoesNotListThem() {
        executor.advance(1);
        post("/Instances.Deregister/i-7f3a91c2", "{\"born\":" + PRESENT_START_MILLIS + "}");
        assertEquals(worker.stopped, List.of(TASK));
        executor.advance(1);
        worker.listNothing();
        assertEquals(outcomes, List.of());
        executor.advance(1);
        worker.listNothing();
        assertEquals(outcomes, List.of(RunOutcome.LOST));
        assertEquals(written, List.of());
    }

    // Guards against two runs of one task: the deregistration of an earlier incarnation arrived late, and the runs of
    // the present one, which has the same id, counted as lost.
    @Test
    public void aLateDeregistrationOfAnEarlierIncarnationLeavesTheRunsOfThePresentOneAlone() {
        post("/Instances.Deregister/i-7f3a91c2", "{\"born\":" + EARLIER_START_MILLIS + "}");
        assertEquals(outcomes, List.of());
    }

    // Guards against two runs of one task: a deregistration has no body where the platform does not report the start.
    @Test
    public void aDeregistrationWithoutABodyLeavesTheRunsAloneAndReturnsNewTasks() {
        post("/Instances.Deregister/i-7f3a91c2", "");
        assertEquals(outcomes, List.of());
        agent.jobMessageReceived(ENTRY, new AssignTasks(List.of(assignment(1))));
        assertEquals(outcomes, List.of(RunOutcome.NOT_STARTED));
        assertEquals(written, List.of());
    }

    @DataProvider
    public Object[][] bodiesWithoutAStartTime() {
        return new Object[][] {
            {"{}"},
            {"?"},
            {"{\"born\":\"" + PRESENT_START_MILLIS + "\"}"},
            {"{\"born\":null}"},
            {"{\"born\":-1}"},
            {"{\"born\":18446744073709551617}"},
            {"{\"a\":".repeat(100_000)},
        };
    }

    // Guards against two runs of one task: it is not known which incarnation such a deregistration is of.
    @Test(dataProvider = "bodiesWithoutAStartTime")
    public void aDeregistrationWithoutAStartTimeIsLoggedAndLeavesTheRunsAlone(String body) {
        post("/Instances.Deregister/i-7f3a91c2", body);
        assertEquals(outcomes, List.of());
        assertEquals(written, List.of(Event.MESSAGE_UNREADABLE));
    }
}
