package org.gypsumflow.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.Relay;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.model.WorkerReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class BestEffortAgentTest {
    private static final MemberName ANOTHER_ENTRY = MemberName.of("another-entry");
    private static final MemberName ENTRY = MemberName.of("entry");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("sofia");
    private static final Member ENTRY_MEMBER = new Member(ENTRY, Member.Role.ENTRY, ZONE, "127.0.0.1", 1);
    private static final BestEffortTaskId TASK = BestEffortTaskId.of(JobId.of("00000000000000aa"), 0);
    private static final JobId OTHER_JOB = JobId.of("00000000000000bb");
    private static final long STARTED_AT_MILLIS = 1;
    private static final long CLOCK_DELAY_MILLIS = 5000;

    /** A worker that starts every task, unless its connections are closed, and lists its tasks when the test says so. */
    private static final class ManualWorker implements WorkerClient {
        private final List<BestEffortTaskId> started = new ArrayList<>();
        private final List<BestEffortTaskId> stopped = new ArrayList<>();
        private CompletableFuture<TaskListing> renewal = new CompletableFuture<>();
        private final List<Long> startTokens = new ArrayList<>();
        private final List<Long> startLeases = new ArrayList<>();
        private final List<Long> stopTokens = new ArrayList<>();
        private final List<LeaseRenewal> renewals = new ArrayList<>();
        private boolean closesConnections;
        private CompletableFuture<StartResponse> startResponse =
                CompletableFuture.completedFuture(new StartResponse(StartStatus.STARTED, 0));

        @Override
        public CompletableFuture<StartResponse> start(
                BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken) {
            started.add(task);
            startTokens.add(fencingToken);
            startLeases.add(leaseUntilMillis);
            return closesConnections
                    ? CompletableFuture.failedFuture(new IOException("the connection was closed"))
                    : startResponse;
        }

        @Override
        public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken) {
            stopped.add(task);
            stopTokens.add(fencingToken);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<TaskListing> renew(LeaseRenewal request) {
            renewals.add(request);
            renewal = closesConnections
                    ? CompletableFuture.failedFuture(new IOException("the connection was closed"))
                    : new CompletableFuture<>();
            return renewal;
        }

        private void completeRenewal(FinishedTask... finished) {
            renewal.complete(new TaskListing(STARTED_AT_MILLIS, 0, List.of(), List.of(finished)));
        }

        private void completeRenewalWithRunning(BestEffortTaskId task) {
            RunningTask running = new RunningTask(task, RunNumber.FIRST, 0);
            renewal.complete(new TaskListing(STARTED_AT_MILLIS, 0, List.of(running), List.of()));
        }

        private boolean lastRenewalExtendsLease() {
            return renewals.get(renewals.size() - 1).leaseUntilMillis() >= 0;
        }
    }

    private final List<Event> events = new ArrayList<>();
    private ManualExecutor executor;
    private ManualWorker worker;
    private RecordingConnection entry;
    private BestEffortAgent agent;
    private boolean entryEchoesHeartbeats;
    /** Clock readings after which the clock advances by {@link #CLOCK_DELAY_MILLIS}; negative for no delay. */
    private int readingsUntilDelay;

    /** Time for which each log line about the end of a task holds up its writer. */
    private long logDelayMillis;

    @BeforeMethod
    public void startAnAgentWithAWorkerAndAnEntry() {
        events.clear();
        logDelayMillis = 0;
        readingsUntilDelay = -1;
        executor = new ManualExecutor();
        worker = new ManualWorker();
        entry = RecordingConnection.create();
        agent = BestEffortAgent.create(
                executor,
                new TimeSource(this::readClock, executor.timeSource().epochMillis()),
                worker,
                RoutingStateCache.create((event, details) -> {}),
                this::writeEvent);
        agent.start();
        entryEchoesHeartbeats = true;
        agent.memberConnected(ENTRY_MEMBER, entry);
        confirmContact();
        executor.scheduleWithFixedDelay(BestEffortTimings.CONNECTION_CHECK_INTERVAL, () -> {
            if (entryEchoesHeartbeats) {
                confirmContact();
            }
            return true;
        });
        agent.workerReported(report());
        worker.completeRenewal();
        executor.advance(200);
    }

    /** Reads the clock; the process may be held up right after that. */
    private long readClock() {
        long nanos = executor.timeSource().nanoTime();
        if (readingsUntilDelay == 0) {
            executor.advanceClockOnly(CLOCK_DELAY_MILLIS);
        }
        readingsUntilDelay--;
        return nanos;
    }

    private void writeEvent(Event event, Object... details) {
        events.add(event);
        if (event == Event.TASK_ENDED) {
            executor.advanceClockOnly(logDelayMillis);
        }
    }

    private void confirmContact() {
        agent.contactConfirmed(ENTRY, executor.timeSource().nanoTime());
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
                1,
                -1);
    }

    private void assignTask() {
        assignTask(TASK);
    }

    private void assignTask(BestEffortTaskId task) {
        TaskAssignment assignment = new TaskAssignment(
                task,
                RunNumber.FIRST,
                "text",
                RouteName.of("route"),
                Resources.of(3000, 10, 0),
                Duration.ofSeconds(2),
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

    private WorkerStatus lastReportedStatus() {
        List<AgentReport> reports = entry.sent().stream()
                .filter(AgentReport.class::isInstance)
                .map(AgentReport.class::cast)
                .toList();
        return reports.get(reports.size() - 1).workerStatus();
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
    public void aRunCountsAsLostOnceTheLeaseHasExpiredAtAWorkerThatDoesNotRespond() {
        assignTask();
        worker.closesConnections = true;
        worker.renewal.completeExceptionally(new IOException("the connection was closed"));
        executor.advance(900);
        assertEquals(reportedOutcomes(), List.of());
        executor.advance(300);
        assertEquals(reportedOutcomes(), List.of(RunOutcome.LOST));
    }

    // Guards against two runs of one task: a worker carries out a start late, after its task has started elsewhere.
    @Test
    public void aStartWithoutResponseIsFencedByTheStopThatFollows() {
        worker.closesConnections = true;
        assignTask();
        assertTrue(worker.stopTokens.get(0) > worker.startTokens.get(0));
    }

    // Guards against an agent that never gets its worker back after the wall clock of its host was set back.
    @Test
    public void aRenewalThatTheWorkerFencesIsSentAgainWithAHigherToken() {
        assignTask();
        LeaseRenewal fenced = worker.renewals.get(worker.renewals.size() - 1);
        worker.renewal.completeExceptionally(WorkerClient.FencedException.create());
        executor.advance(150);
        LeaseRenewal next = worker.renewals.get(worker.renewals.size() - 1);
        assertTrue(next.fencingToken() - fenced.fencingToken()
                >= Duration.ofHours(1).toMillis());
    }

    // Guards against tasks that go to and fro between an entry and an agent that cannot start them.
    @Test
    public void noTasksAreAcceptedWhileTheWorkerDoesNotRespondAlthoughItReports() {
        worker.closesConnections = true;
        assignTask();
        agent.workerReported(report());
        assertFalse(lastReportedStatus().acceptsTasks());
        worker.closesConnections = false;
        executor.advance(150);
        worker.completeRenewal();
        executor.advance(150);
        assertTrue(lastReportedStatus().acceptsTasks());
    }

    // Guards against two runs of one task: a refused connection counted a run as lost that was starting at the worker
    // which had restarted meanwhile.
    @Test
    public void aRefusedConnectionLeavesARunAloneWhoseStartIsStillUnanswered() {
        worker.startResponse = new CompletableFuture<>();
        assignTask();
        worker.renewal.completeExceptionally(new ConnectException("Connection refused"));
        assertEquals(reportedOutcomes(), List.of());
        worker.startResponse.complete(new StartResponse(StartStatus.STARTED, 0));
        executor.advance(150);
        worker.completeRenewal(new FinishedTask(1, TASK, RunNumber.FIRST, RunOutcome.DONE));
        assertEquals(reportedOutcomes(), List.of(RunOutcome.DONE));
    }

    @Test
    public void runsThatTheWorkerHadConfirmedAreLostWhenItRefusesConnections() {
        assignTask();
        executor.advance(1);
        worker.completeRenewalWithRunning(TASK);
        worker.renewal.completeExceptionally(new ConnectException("Connection refused"));
        assertEquals(reportedOutcomes(), List.of(RunOutcome.LOST));
    }

    // Guards against renewals without a pause to a new incarnation of the worker whose report has not arrived.
    @Test
    public void aListingOfAnotherIncarnationIsFollowedByAPause() {
        assignTask();
        int renewals = worker.renewals.size();
        worker.renewal.complete(new TaskListing(STARTED_AT_MILLIS + 1, 0, List.of(), List.of()));
        assertEquals(worker.renewals.size(), renewals);
        executor.advance(150);
        assertEquals(worker.renewals.size(), renewals + 1);
    }

    // Guards against a lease that never expires because unanswered renewals extend it.
    @Test
    public void aRenewalDoesNotExtendTheLeaseWhileTheWorkerDoesNotRespond() {
        assignTask();
        worker.closesConnections = true;
        worker.renewal.completeExceptionally(new IOException("the connection was closed"));
        executor.advance(150);
        assertFalse(worker.lastRenewalExtendsLease());
    }

    // Guards against two runs of one task: a stop without effect left the run of a lost entry at a worker whose lease
    // was renewed for other runs, while the entry started the task elsewhere.
    @Test
    public void theLeaseIsNotExtendedWhileARunOfALostEntryGoesOn() {
        assignTask();
        agent.memberDisconnected(ENTRY_MEMBER, executor.timeSource().nanoTime());
        worker.completeRenewalWithRunning(TASK);
        assertTrue(worker.lastRenewalExtendsLease());
        executor.advance(250);
        worker.completeRenewalWithRunning(TASK);
        assertFalse(worker.lastRenewalExtendsLease());
    }

    // Guards against two runs of one task: an agent that noticed the loss of an entry late gave its runs as much time
    // to
    // stop as one that noticed it in time.
    @Test
    public void theLeaseIsNotExtendedWhenTheLossOfTheEntryIsNoticedLate() {
        assignTask();
        entryEchoesHeartbeats = false;
        confirmContact();
        executor.advance(BestEffortTimings.CONFIRMED_CONTACT_LIMIT.toMillis());
        executor.advanceClockOnly(BestEffortTimings.PAUSE_THRESHOLD.toMillis() - 10);
        worker.completeRenewalWithRunning(TASK);
        assertFalse(worker.lastRenewalExtendsLease());
    }

    // Guards against two runs of one task: a restarted agent renewed the lease of a run that it did not know.
    @Test
    public void theLeaseIsNotExtendedWhileTheWorkerListsARunThatTheAgentDoesNotTrack() {
        assignTask();
        worker.completeRenewalWithRunning(BestEffortTaskId.of(JobId.of("00000000000000bb"), 0));
        assertFalse(worker.lastRenewalExtendsLease());
        worker.completeRenewalWithRunning(TASK);
        assertTrue(worker.lastRenewalExtendsLease());
    }

    @Test
    public void aNewlyConnectedEntryReceivesTheWorkerStatusImmediatelyAfterItsFirstEcho() {
        MemberName secondName = MemberName.of("second");
        RecordingConnection second = RecordingConnection.create();
        agent.memberConnected(new Member(secondName, Member.Role.ENTRY, ZONE, "127.0.0.1", 2), second);
        agent.workerReported(report());
        executor.advance(1500);
        assertEquals(second.sent(), List.of());
        agent.contactConfirmed(secondName, executor.timeSource().nanoTime());
        assertTrue(second.sent().get(0) instanceof AgentReport report
                && report.workerStatus().acceptsTasks());
    }

    // Guards against two runs of one task: an assignment that waited in the buffers while its agent was paused started
    // after the entry had assigned the task elsewhere.
    @Test
    public void anAssignmentFoundAfterAPauseIsReturnedUntilAHeartbeatSentAfterItIsEchoed() {
        long beforePauseNanos = executor.timeSource().nanoTime();
        executor.advanceClockOnly(500);
        assignTask();
        agent.contactConfirmed(ENTRY, beforePauseNanos);
        assignTask();
        assertEquals(worker.started, List.of());
        assertEquals(reportedOutcomes(), List.of(RunOutcome.NOT_STARTED, RunOutcome.NOT_STARTED));
        confirmContact();
        assignTask();
        assertEquals(worker.started, List.of(TASK));
    }

    // Guards against two runs of one task: an agent started what an entry had assigned on a connection that had ended.
    @Test
    public void anAssignmentOfAnEntryThatIsNotConnectedDoesNotStart() {
        agent.memberDisconnected(ENTRY_MEMBER, executor.timeSource().nanoTime());
        assignTask();
        assertEquals(worker.started, List.of());
    }

    // Guards against two runs of one task: an agent whose messages did not reach the entry went on until the entry
    // closed the connection, however late.
    @Test
    public void runsAreStoppedWhenTheEntryReceivesNothingAlthoughItsMessagesArriveAndItDoesNotClose() {
        assignTask();
        entryEchoesHeartbeats = false;
        confirmContact();
        long limitMillis = BestEffortTimings.CONFIRMED_CONTACT_LIMIT.toMillis();
        long endMillis = limitMillis + BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis();
        for (long elapsed = 0; elapsed < endMillis; elapsed += 50) {
            assertEquals(worker.stopped.isEmpty(), elapsed <= limitMillis, elapsed + " ms without an echo");
            executor.advance(50);
            agent.jobMessageReceived(ENTRY, new StopTasks(OTHER_JOB, List.of(0)));
        }
        assertEquals(worker.stopped, List.of(TASK));
        assertTrue(entry.closed().get());
    }

    // Guards against two runs of one task: as above, while nothing arrives from the entry either.
    @Test
    public void runsAreStoppedWithinACheckIntervalAfterTheConfirmedContactEnded() {
        assignTask();
        entryEchoesHeartbeats = false;
        confirmContact();
        executor.advance(BestEffortTimings.CONFIRMED_CONTACT_LIMIT.toMillis());
        assertEquals(worker.stopped, List.of());
        executor.advance(BestEffortTimings.CONNECTION_CHECK_INTERVAL.toMillis());
        assertEquals(worker.stopped, List.of(TASK));
    }

    @Test
    public void runsGoOnWhileTheEntryEchoesHeartbeats() {
        assignTask();
        executor.advance(1500);
        assertEquals(worker.stopped, List.of());
        assertFalse(entry.closed().get());
    }

    // Guards against a pause that went unnoticed: the wall clock was set back while the host was suspended.
    @Test
    public void aPauseIsDetectedAlthoughTheWallClockWasSetBackMeanwhile() {
        executor.advanceClockOnly(5000);
        executor.stepWallClock(-5000);
        executor.advance(200);
        assertTrue(events.contains(Event.PROCESS_PAUSED));
    }

    // Guards against two runs of one task: the monotonic clock of a suspended host may stand still, so that a contact
    // from before the suspension looked recent.
    @Test
    public void runsAreStoppedAfterASuspensionThatTheMonotonicClockDidNotCount() {
        assignTask();
        executor.stepWallClock(5000);
        executor.advance(100);
        assertEquals(worker.stopped, List.of(TASK));
    }

    // Guards against two runs of one task: a result that waited while its agent was paused let a waiting task start
    // before the pause was noticed.
    @Test
    public void aWaitingTaskDoesNotStartWhenAResultIsFoundAfterAPause() {
        assignTask(TASK);
        assignTask(BestEffortTaskId.of(OTHER_JOB, 1));
        assignTask(BestEffortTaskId.of(OTHER_JOB, 2));
        int startedBefore = worker.started.size();
        executor.advanceClockOnly(460);
        worker.completeRenewal(new FinishedTask(1, TASK, RunNumber.FIRST, RunOutcome.DONE));
        assertEquals(worker.started.size(), startedBefore);
        assertTrue(reportedOutcomes().contains(RunOutcome.NOT_STARTED));
    }

    // Guards against two runs of one task: an agent that was held up by its log after it had decided on a start made
    // the
    // call seconds later, while the task ran elsewhere.
    @Test
    public void aTaskDoesNotStartWhenTheAgentWasHeldUpSinceItDecidedOnTheStart() {
        assignTask(TASK);
        assignTask(BestEffortTaskId.of(OTHER_JOB, 1));
        assignTask(BestEffortTaskId.of(OTHER_JOB, 2));
        int startedBefore = worker.started.size();
        logDelayMillis = 3200;
        worker.completeRenewal(new FinishedTask(1, TASK, RunNumber.FIRST, RunOutcome.DONE));
        assertEquals(worker.started.size(), startedBefore);
    }

    // Guards against two runs of one task: as above, for a delay after which the contact to the entry is still kept.
    @Test
    public void aTaskGoesBackWhenTheAgentWasHeldUpBrieflySinceItDecidedOnTheStart() {
        assignTask(TASK);
        assignTask(BestEffortTaskId.of(OTHER_JOB, 1));
        assignTask(BestEffortTaskId.of(OTHER_JOB, 2));
        confirmContact();
        int startedBefore = worker.started.size();
        logDelayMillis = BestEffortTimings.PAUSE_THRESHOLD.toMillis() + 50;
        worker.completeRenewal(new FinishedTask(1, TASK, RunNumber.FIRST, RunOutcome.DONE));
        assertEquals(worker.started.size(), startedBefore);
        assertEquals(reportedOutcomes(), List.of(RunOutcome.DONE, RunOutcome.NOT_STARTED));
    }

    // Guards against two runs of one task: as above, for a delay between any two steps up to the call. A worker rejects
    // a
    // start whose lease has ended.
    @Test
    public void aDelayAfterAnyReadingOfTheClockPreventsTheStartOrEndsItsLeaseBeforeTheCall() {
        for (int readings = 0; readings < 40; readings++) {
            startAnAgentWithAWorkerAndAnEntry();
            readingsUntilDelay = readings;
            assignTask();
            for (long leaseUntilMillis : worker.startLeases) {
                assertTrue(leaseUntilMillis <= CLOCK_DELAY_MILLIS, "after reading " + readings);
            }
        }
    }

    // Guards against two runs of one task: an agent that was held up before a renewal extended the lease of a run whose
    // entry it had lost meanwhile.
    @Test
    public void theLeaseIsNotExtendedWhenTheAgentWasHeldUpBeforeTheRenewal() {
        assignTask(TASK);
        assignTask(BestEffortTaskId.of(OTHER_JOB, 1));
        logDelayMillis = 3200;
        worker.completeRenewal(new FinishedTask(1, TASK, RunNumber.FIRST, RunOutcome.DONE));
        assertFalse(worker.lastRenewalExtendsLease());
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
                1,
                -1));
        assertTrue(entry.sent().stream()
                .anyMatch(message -> message instanceof AgentReport report
                        && report.workerStatus().acceptsTasks()));
    }

    private RecordingConnection connectAnotherEntry(MemberName name) {
        RecordingConnection another = RecordingConnection.create();
        agent.memberConnected(new Member(name, Member.Role.ENTRY, ZONE, "127.0.0.1", 2), another);
        return another;
    }

    private static <T> List<T> sentTo(RecordingConnection connection, Class<T> kind) {
        return connection.sent().stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    @Test
    public void entriesInContactAreToldOfEachOther() {
        entry.sent().clear();
        RecordingConnection another = connectAnotherEntry(ANOTHER_ENTRY);
        assertTrue(sentTo(entry, ContactsChanged.class).isEmpty());
        agent.contactConfirmed(ANOTHER_ENTRY, executor.timeSource().nanoTime());
        assertEquals(sentTo(another, ContactsChanged.class), List.of(new ContactsChanged(List.of(ENTRY), List.of())));
        assertEquals(
                sentTo(entry, ContactsChanged.class), List.of(new ContactsChanged(List.of(ANOTHER_ENTRY), List.of())));
    }

    @Test
    public void anEntryIsToldWhenAnotherOneIsNotInContactAnyMore() {
        connectAnotherEntry(ANOTHER_ENTRY);
        agent.contactConfirmed(ANOTHER_ENTRY, executor.timeSource().nanoTime());
        entry.sent().clear();
        executor.advance(BestEffortTimings.CONFIRMED_CONTACT_LIMIT
                .plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL)
                .toMillis());
        assertEquals(
                sentTo(entry, ContactsChanged.class), List.of(new ContactsChanged(List.of(), List.of(ANOTHER_ENTRY))));
    }

    @Test
    public void aMessageBetweenTwoEntriesInContactIsPassedOnWithTheNameOfItsSender() {
        RecordingConnection another = connectAnotherEntry(ANOTHER_ENTRY);
        Relay message = new Relay(ANOTHER_ENTRY, new AbandonJob(OTHER_JOB, false));
        agent.jobMessageReceived(ENTRY, message);
        assertTrue(sentTo(another, Relay.class).isEmpty());
        agent.contactConfirmed(ANOTHER_ENTRY, executor.timeSource().nanoTime());
        agent.jobMessageReceived(ENTRY, message);
        assertEquals(sentTo(another, Relay.class), List.of(new Relay(ENTRY, new AbandonJob(OTHER_JOB, false))));
    }

    // Guards against a reply that is awaited for ever: the entry it was expected from had restarted unnoticed.
    @Test
    public void anEntryThatConnectsAgainIsFirstLostThenGained() {
        connectAnotherEntry(ANOTHER_ENTRY);
        agent.contactConfirmed(ANOTHER_ENTRY, executor.timeSource().nanoTime());
        entry.sent().clear();
        agent.memberDisconnected(
                new Member(ANOTHER_ENTRY, Member.Role.ENTRY, ZONE, "127.0.0.1", 2),
                executor.timeSource().nanoTime());
        connectAnotherEntry(ANOTHER_ENTRY);
        agent.contactConfirmed(ANOTHER_ENTRY, executor.timeSource().nanoTime());
        assertEquals(
                sentTo(entry, ContactsChanged.class),
                List.of(
                        new ContactsChanged(List.of(), List.of(ANOTHER_ENTRY)),
                        new ContactsChanged(List.of(ANOTHER_ENTRY), List.of())));
    }
}
