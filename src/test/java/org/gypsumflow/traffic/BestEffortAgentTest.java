package org.gypsumflow.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.model.WorkerReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class BestEffortAgentTest {
    private static final MemberName ENTRY = MemberName.of("entry");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("sofia");
    private static final BestEffortTaskId TASK = BestEffortTaskId.of(JobId.of("00000000000000aa"), 0);
    private static final long STARTED_AT_MILLIS = 1;

    /** A worker that starts every task, unless its connections are closed, and lists its tasks when the test says so. */
    private static final class ManualWorker implements WorkerClient {
        private CompletableFuture<TaskListing> renewal = new CompletableFuture<>();
        private boolean closesConnections;

        @Override
        public CompletableFuture<StartResponse> start(
                BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken) {
            return closesConnections
                    ? CompletableFuture.failedFuture(new IOException("the connection was closed"))
                    : CompletableFuture.completedFuture(new StartResponse(StartStatus.STARTED, 0));
        }

        @Override
        public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<TaskListing> renew(LeaseRenewal request) {
            renewal = closesConnections
                    ? CompletableFuture.failedFuture(new IOException("the connection was closed"))
                    : new CompletableFuture<>();
            return renewal;
        }

        private void completeRenewal(FinishedTask... finished) {
            renewal.complete(new TaskListing(STARTED_AT_MILLIS, 0, List.of(), List.of(finished)));
        }
    }

    private ManualExecutor executor;
    private ManualWorker worker;
    private RecordingConnection entry;
    private BestEffortAgent agent;

    @BeforeMethod
    public void startAnAgentWithAWorkerAndAnEntry() {
        executor = new ManualExecutor();
        worker = new ManualWorker();
        entry = RecordingConnection.create();
        agent = BestEffortAgent.create(
                executor,
                executor.timeSource(),
                worker,
                RoutingStateCache.create((event, details) -> {}),
                (event, details) -> {});
        agent.start();
        agent.memberConnected(new Member(ENTRY, Member.Role.ENTRY, ZONE, "127.0.0.1", 1), entry);
        agent.workerReported(report());
        worker.completeRenewal();
        executor.advance(200);
    }

    private static WorkerReport report() {
        return new WorkerReport(
                "worker",
                STARTED_AT_MILLIS,
                ServiceName.of("service"),
                ZONE,
                Resources.of(8000, 1000, 0),
                "rack",
                false,
                1);
    }

    private void assignTask() {
        TaskAssignment assignment = new TaskAssignment(
                TASK,
                RunNumber.FIRST,
                "text",
                Resources.of(3000, 10, 0),
                Duration.ofMillis(100),
                Duration.ofMillis(500),
                Duration.ofMillis(100),
                true);
        agent.jobMessageReceived(ENTRY, new AssignTasks(List.of(assignment)));
    }

    private List<RunOutcome> reportedOutcomes() {
        return entry.sent().stream()
                .filter(AgentReport.class::isInstance)
                .flatMap(message -> ((AgentReport) message).results().stream())
                .map(RunResult::outcome)
                .toList();
    }

    @Test
    public void aResultIsReportedAsSoonAsTheWorkerListsTheFinishedTask() {
        assignTask();
        worker.completeRenewal(new FinishedTask(1, TASK, RunNumber.FIRST, RunOutcome.DONE));
        assertEquals(reportedOutcomes(), List.of(RunOutcome.DONE));
    }

    // Guards against two runs of one task: an agent that had not contacted its worker for longer than a lease took the
    // lease of a run that it had just started for expired.
    @Test
    public void aRunThatJustStartedIsNotLostAlthoughItsWorkerWasIdleForLongerThanALease() {
        executor.advance(5000);
        worker.closesConnections = true;
        assignTask();
        assertEquals(reportedOutcomes(), List.of());
    }

    @Test
    public void aNewlyConnectedEntryImmediatelyReceivesTheWorkerStatus() {
        RecordingConnection second = RecordingConnection.create();
        agent.memberConnected(new Member(MemberName.of("second"), Member.Role.ENTRY, ZONE, "127.0.0.1", 2), second);
        assertTrue(second.sent().get(0) instanceof AgentReport report
                && report.workerStatus().acceptsTasks());
    }

    @Test
    public void entriesImmediatelyReceiveTheStatusOfANewWorker() {
        agent.workerLeft("worker", STARTED_AT_MILLIS);
        entry.sent().clear();
        agent.workerReported(new WorkerReport(
                "worker",
                STARTED_AT_MILLIS + 1,
                ServiceName.of("service"),
                ZONE,
                Resources.of(8000, 1000, 0),
                "rack",
                false,
                1));
        assertTrue(entry.sent().stream()
                .anyMatch(message -> message instanceof AgentReport report
                        && report.workerStatus().acceptsTasks()));
    }
}
