package org.gypsumflow.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.JobAbandoned;
import org.gypsumflow.model.BestEffortMessage.JobList;
import org.gypsumflow.model.BestEffortMessage.PeerMessage;
import org.gypsumflow.model.BestEffortMessage.Relay;
import org.gypsumflow.model.BestEffortMessage.RequestJobs;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.Verdict;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class BestEffortEntryTest {
    private static final MemberName AGENT = MemberName.of("agent");
    private static final MemberName PEER = MemberName.of("peer");
    private static final MemberName OTHER_PEER = MemberName.of("other-peer");
    private static final JobId JOB = JobId.of("00000000000000b1");
    private static final Route ROUTE = new Route(
            RouteName.of("r"), "", "/", ServiceName.of("s"), 0, 2, 1.6, Duration.ofMillis(60), Duration.ofSeconds(2));
    private static final Duration REMAINING_TIME = Duration.ofSeconds(5);

    private ManualExecutor executor;
    private RecordingConnection agent;
    private RecordingConnection peer;
    private BestEffortEntry entry;

    @BeforeMethod
    public void startAnEntryWithAnAgentAndAPeer() {
        executor = new ManualExecutor();
        agent = RecordingConnection.create();
        peer = RecordingConnection.create();
        startEntry();
        entry.peersDiscovered(Set.of());
        connectAgent();
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        peer.sent().clear();
    }

    private void startEntry() {
        startEntry(DispatchFeatures.none());
    }

    private void startEntry(DispatchFeatures features) {
        entry = BestEffortEntry.create(
                executor,
                executor.timeSource(),
                EarliestFinishPlacement.policy(),
                RoutingStateCache.create((event, details) -> {}),
                (event, details) -> {},
                JobObserver.none(),
                CapacityShares.disabled(),
                features,
                DecisionCounter.none());
        entry.start();
    }

    private void connectAgent() {
        entry.memberConnected(member(AGENT, Member.Role.AGENT), agent);
        entry.jobMessageReceived(AGENT, new AgentReport(List.of(), freeWorkerStatus()));
    }

    private static Member member(MemberName name, Member.Role role) {
        return new Member(name, role, AvailabilityZone.of("sofia"), "127.0.0.1", 1);
    }

    private static WorkerStatus freeWorkerStatus() {
        Resources capacity = Resources.of(32_000, 100_000, 0);
        return new WorkerStatus(
                true, "s", "sofia", capacity, capacity, capacity, Resources.NONE, Duration.ofMillis(100), 1, 0, 0, 0);
    }

    private CompletableFuture<BestEffortOutcome> submit(String id, CompletableFuture<Void> disconnected) {
        BestEffortJob job =
                new BestEffortJob(JobId.of(id), ROUTE, 1, "", 1, Resources.of(1000, 10, 0), Duration.ofMillis(300));
        return entry.submit(job, REMAINING_TIME, disconnected);
    }

    private CompletableFuture<BestEffortOutcome> submit(JobId id) {
        return submit(id.value(), new CompletableFuture<>());
    }

    private void report(TaskAssignment assignment, RunOutcome outcome) {
        RunResult result = new RunResult(assignment.task(), assignment.runNumber(), outcome, Duration.ofMillis(100));
        entry.jobMessageReceived(AGENT, new AgentReport(List.of(result), freeWorkerStatus()));
    }

    private RecordingConnection connectOtherPeer() {
        RecordingConnection otherPeer = RecordingConnection.create();
        entry.memberConnected(member(OTHER_PEER, Member.Role.ENTRY), otherPeer);
        otherPeer.sent().clear();
        return otherPeer;
    }

    private void disconnect(MemberName name, Member.Role role) {
        entry.memberDisconnected(member(name, role), executor.timeSource().nanoTime());
    }

    private static Verdict verdict(CompletableFuture<BestEffortOutcome> outcome) {
        return outcome.thenApply(BestEffortOutcome::verdict).getNow(null);
    }

    private static <T extends Message> List<T> sentTo(RecordingConnection connection, Class<T> kind) {
        return connection.sent().stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    private List<TaskAssignment> assignments() {
        return agent.sent().stream()
                .filter(AssignTasks.class::isInstance)
                .flatMap(message -> ((AssignTasks) message).assignments().stream())
                .toList();
    }

    @Test
    public void aDrainingEntryAcceptsJobsForAWhileThenRejectsThemAndCompletesTheActiveOnes() {
        CompletableFuture<Void> drained = entry.drain(Duration.ofSeconds(2));
        CompletableFuture<BestEffortOutcome> early = submit("00000000000000a1", new CompletableFuture<>());
        executor.advance(2000);
        assertEquals(assignments().size(), 1);
        assertFalse(drained.isDone());
        assertEquals(
                submit("00000000000000a2", new CompletableFuture<>()).join().verdict(), Verdict.NOT_RUN);
        TaskAssignment assignment = assignments().get(0);
        RunResult result =
                new RunResult(assignment.task(), assignment.runNumber(), RunOutcome.DONE, Duration.ofMillis(100));
        entry.jobMessageReceived(AGENT, new AgentReport(List.of(result), freeWorkerStatus()));
        assertEquals(early.join(), BestEffortOutcome.completed());
        assertTrue(drained.isDone());
    }

    @Test
    public void aJobOwnedByAnotherEntryStartsOnlyAfterThatEntryHasAbandonedIt() {
        JobId job = JobId.of("00000000000000a3");
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(job)));
        submit(job.value(), new CompletableFuture<>());
        assertEquals(peer.sent(), List.of(new AbandonJob(job, false)));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
        entry.jobMessageReceived(PEER, new JobAbandoned(job, true));
        assertEquals(assignments().size(), 1);
    }

    // Guards against tasks that start in an evacuated zone: an agent that is connected to one entry only did not hear
    // of
    // closed zones that another entry had read first.
    @Test
    public void aRoutingStateThatAnotherEntrySentIsPassedOnToTheAgents() {
        ShareRoutingState closed =
                new ShareRoutingState(RoutingTable.UNKNOWN, new ClosedZones(1, Set.of(AvailabilityZone.of("sofia"))));
        entry.routingStateReceived(PEER, closed);
        entry.routingStateReceived(OTHER_PEER, closed);
        assertEquals(sentTo(agent, ShareRoutingState.class), List.of(closed));
    }

    @Test
    public void acceptedJobsAreAnnouncedToTheOtherEntries() {
        submit("00000000000000a4", new CompletableFuture<>());
        executor.advance(150);
        assertEquals(peer.sent(), List.of(new ShareJobs(List.of(JobId.of("00000000000000a4")))));
    }

    // Guards against two runs of one task: peers forget the owner of a job that is announced only when it is accepted.
    @Test
    public void aJobIsAnnouncedAgainAsLongAsARunOfItMayBeLeft() {
        submit(JOB);
        executor.advance(BestEffortTimings.MAX_ANNOUNCEMENT_INTERVAL.toMillis());
        long longestGap = BestEffortTimings.REPEATED_ANNOUNCEMENT_INTERVAL
                .multipliedBy(2)
                .plus(BestEffortTimings.REPORT_INTERVAL.multipliedBy(2))
                .toMillis();
        for (int gap = 0; gap < 6; gap++) {
            peer.sent().clear();
            executor.advance(longestGap);
            assertTrue(sentTo(peer, ShareJobs.class).contains(new ShareJobs(List.of(JOB))), "gap " + gap);
        }
        report(assignments().get(0), RunOutcome.LOST);
        peer.sent().clear();
        executor.advance(longestGap);
        assertEquals(sentTo(peer, ShareJobs.class), List.of());
    }

    @Test
    public void aJobThatEndsWithinTheIntervalOfRepeatedAnnouncementsIsAnnouncedOnce() {
        executor.advance(BestEffortTimings.REPEATED_ANNOUNCEMENT_INTERVAL.toMillis() - 300);
        submit(JOB);
        executor.advance(600);
        report(assignments().get(0), RunOutcome.DONE);
        executor.advance(BestEffortTimings.REPEATED_ANNOUNCEMENT_INTERVAL.toMillis() * 3);
        assertEquals(sentTo(peer, ShareJobs.class), List.of(new ShareJobs(List.of(JOB))));
    }

    @Test
    public void aJobThatAPeerHasTakenOverIsLeftToItsAnnouncementsUntilThePeerIsLost() {
        RecordingConnection otherPeer = connectOtherPeer();
        submit(JOB);
        executor.advance(200);
        entry.jobMessageReceived(PEER, new AbandonJob(JOB, false));
        otherPeer.sent().clear();
        executor.advance(6000);
        assertEquals(sentTo(otherPeer, ShareJobs.class), List.of());
        disconnect(PEER, Member.Role.ENTRY);
        executor.advance(BestEffortTimings.REPORT_INTERVAL.toMillis() * 2);
        assertEquals(sentTo(otherPeer, ShareJobs.class), List.of(new ShareJobs(List.of(JOB))));
    }

    @Test
    public void anEntryThatAsksIsAlsoToldTheJobsThatAreBeingTakenOver() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        submit(JOB);
        RecordingConnection otherPeer = connectOtherPeer();
        entry.jobMessageReceived(OTHER_PEER, new RequestJobs(8));
        assertEquals(sentTo(otherPeer, JobList.class), List.of(new JobList(8, List.of(JOB))));
    }

    @Test
    public void anEntryAmongManyTellsThemOfItsJobsLessOftenButBeforeTheirCallersSendThemAgain() {
        for (int index = 0; index < 14; index++) {
            MemberName name = MemberName.of("other-" + index);
            entry.memberConnected(member(name, Member.Role.ENTRY), RecordingConnection.create());
        }
        peer.sent().clear();
        for (int job = 0; job < 20; job++) {
            submit("00000000000000" + (job + 10), new CompletableFuture<>());
            executor.advance(100);
        }
        executor.advance(BestEffortTimings.MAX_ANNOUNCEMENT_INTERVAL.toMillis());
        List<ShareJobs> announcements = sentTo(peer, ShareJobs.class);
        assertEquals(
                announcements.stream()
                        .mapToInt(message -> message.acceptedJobs().size())
                        .sum(),
                20);
        assertTrue(announcements.size() <= 11, announcements.toString());
    }

    @Test
    public void tasksAreStoppedWhenTheOnlyWaitingCallerDisconnects() {
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        CompletableFuture<BestEffortOutcome> outcome = submit("00000000000000a5", disconnected);
        int messagesBefore = agent.sent().size();
        disconnected.complete(null);
        assertEquals(agent.sent().size(), messagesBefore + 1);
        assertFalse(outcome.isDone());
    }

    @Test
    public void anEntryThatWasPausedAbandonsItsActiveJobs() {
        CompletableFuture<BestEffortOutcome> outcome = submit("00000000000000a6", new CompletableFuture<>());
        executor.advanceClockOnly(4000);
        executor.advance(200);
        assertEquals(outcome.join().verdict(), Verdict.MAY_HAVE_RUN);
    }

    // Guards against an entry that serves nobody: the processor of a small host that has just started is held up again
    // and
    // again for half a second, and each time the entry abandoned its jobs.
    @Test
    public void anEntryThatWasHeldUpBrieflyGoesOnWithItsJobs() {
        CompletableFuture<BestEffortOutcome> outcome = submit("00000000000000a7", new CompletableFuture<>());
        executor.advanceClockOnly(BestEffortTimings.ENTRY_PAUSE_THRESHOLD.toMillis() - 10);
        executor.advance(1);
        assertFalse(outcome.isDone());
    }

    // Guards against jobs that were abandoned because the time of day was set.
    @Test
    public void aStepOfTheWallClockEndsNoJobThatNoPeerHasTakenOver() {
        CompletableFuture<BestEffortOutcome> outcome = submit("00000000000000a7", new CompletableFuture<>());
        executor.stepWallClock(3000);
        executor.advance(200);
        tellJobsOfPeer(JOB);
        executor.advance(200);
        assertFalse(outcome.isDone());
        report(assignments().get(0), RunOutcome.DONE);
        assertEquals(verdict(outcome), Verdict.COMPLETED);
    }

    // Guards against two runs of one task: the monotonic clock stood still while the host was suspended, and a peer
    // took
    // the job over.
    @Test
    public void aJobThatAPeerTookOverDuringASuspensionIsAbandoned() {
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        executor.stepWallClock(3000);
        executor.advance(200);
        tellJobsOfPeer(JOB);
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
    }

    @Test
    public void noTaskIsAssignedAgainAfterAPossibleSuspensionBeforeThePeersHaveToldTheirJobs() {
        submit(JOB);
        executor.stepWallClock(3000);
        executor.advance(200);
        report(assignments().get(0), RunOutcome.FAILED);
        executor.advance(100);
        assertEquals(assignments().size(), 1);
        tellJobsOfPeer(JobId.of("00000000000000b9"));
        assertEquals(assignments().size(), 2);
    }

    @Test
    public void jobsAreAbandonedAfterAPossibleSuspensionIfAPeerDoesNotTellItsJobs() {
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        executor.stepWallClock(3000);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() + 200);
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
    }

    // Guards against a pause that went unnoticed: the wall clock was set back while the host was suspended.
    @Test
    public void anEntryThatWasPausedAbandonsItsActiveJobsAlthoughTheWallClockWasSetBackMeanwhile() {
        CompletableFuture<BestEffortOutcome> outcome = submit("00000000000000a7", new CompletableFuture<>());
        executor.advanceClockOnly(4000);
        executor.stepWallClock(-4000);
        executor.advance(200);
        assertEquals(outcome.thenApply(BestEffortOutcome::verdict).getNow(Verdict.COMPLETED), Verdict.MAY_HAVE_RUN);
    }

    // Guards against two runs of one task: an entry that had restarted did not know which jobs its peers were running.
    @Test
    public void aPeerThatConnectsIsInformedOfTheJobsWhoseRunsHaveNotEnded() {
        submit(JOB);
        executor.advance(200);
        peer.sent().clear();
        disconnect(PEER, Member.Role.ENTRY);
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        assertEquals(sentTo(peer, ShareJobs.class), List.of(new ShareJobs(List.of(JOB))));
    }

    // Guards against a second start elsewhere while the stops of the first runs are unanswered or late.
    @Test
    public void anEntryConfirmsThatItAbandonedAJobOnlyAfterEveryRunHasEnded() {
        submit(JOB);
        entry.jobMessageReceived(PEER, new AbandonJob(JOB, false));
        executor.advance(1000);
        assertTrue(sentTo(peer, JobAbandoned.class).isEmpty());
        report(assignments().get(0), RunOutcome.LOST);
        assertEquals(sentTo(peer, JobAbandoned.class), List.of(new JobAbandoned(JOB, true)));
    }

    // Guards against a second start elsewhere while an agent that is out of contact may still run the task.
    @Test
    public void anEntryConfirmsThatItAbandonedAJobOfALostAgentOnlyAfterTheReassignmentTime() {
        submit(JOB);
        entry.jobMessageReceived(PEER, new AbandonJob(JOB, false));
        disconnect(AGENT, Member.Role.AGENT);
        executor.advance(BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(sentTo(peer, JobAbandoned.class).isEmpty());
        executor.advance(150);
        assertEquals(sentTo(peer, JobAbandoned.class).size(), 1);
    }

    @Test
    public void anEntryThatDoesNotKnowAJobConfirmsItsAbandonmentAtOnce() {
        entry.jobMessageReceived(PEER, new AbandonJob(JOB, false));
        assertEquals(peer.sent(), List.of(new JobAbandoned(JOB, false)));
    }

    // Guards against a second start while a lost owner's agents have not stopped its tasks yet.
    @Test
    public void aJobWhoseOwnerIsLostStartsOnlyWhenTheAgentsOfTheOwnerHaveStoppedItsTasks() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        disconnect(PEER, Member.Role.ENTRY);
        executor.advance(1300);
        submit(JOB);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1301);
        assertTrue(assignments().isEmpty());
        executor.advance(5);
        assertEquals(assignments().size(), 1);
    }

    // Guards against a second start when the owner is lost during the wait for its reply.
    @Test
    public void aJobWhoseOwnerIsLostDuringTheHandoverStartsOnlyWhenItsTasksHaveBeenStopped() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        submit(JOB);
        disconnect(PEER, Member.Role.ENTRY);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(assignments().isEmpty());
        executor.advance(5);
        assertEquals(assignments().size(), 1);
    }

    // Guards against a second start because a restarted owner, which knows nothing of its former tasks, replies.
    @Test
    public void theReplyOfARestartedOwnerDoesNotProveThatTheTasksOfItsFormerIncarnationHaveEnded() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        disconnect(PEER, Member.Role.ENTRY);
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        submit(JOB);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, false));
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(assignments().isEmpty());
        executor.advance(5);
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void anOwnerThatConnectsAgainDuringTheHandoverIsAskedAgainAndItsReplyIsAwaited() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        submit(JOB);
        disconnect(PEER, Member.Role.ENTRY);
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        assertEquals(sentTo(peer, AbandonJob.class).size(), 2);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() + 100);
        assertTrue(assignments().isEmpty());
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void aCallerWhoseTimeCannotSufficeForTheHandoverIsToldThatTheJobMayHaveRun() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        executor.advance(REMAINING_TIME.toMillis() - 500);
        assertFalse(outcome.isDone());
        executor.advance(200);
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        assertTrue(assignments().isEmpty());
    }

    // Guards against a second start because an entry other than the owner replied, as to a cancellation.
    @Test
    public void theReplyOfAnEntryThatIsNotTheOwnerDoesNotStartTheJob() {
        entry.memberConnected(member(OTHER_PEER, Member.Role.ENTRY), RecordingConnection.create());
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        submit(JOB);
        entry.jobMessageReceived(OTHER_PEER, new JobAbandoned(JOB, false));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
    }

    // Guards against the start of a job after its cancellation was confirmed.
    @Test
    public void aJobThatIsCancelledDuringTheHandoverDoesNotStart() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        assertTrue(entry.cancel(JOB).getNow(false));
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
        assertEquals(outcome.getNow(null), BestEffortOutcome.ofCancelled());
    }

    // Guards against a second start beside that of an entry which accepted the job during the handover.
    @Test
    public void anEntryThatAcceptedTheJobDuringTheHandoverIsAskedToAbandonItAsWell() {
        RecordingConnection otherPeer = connectOtherPeer();
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        submit(JOB);
        executor.advance(1);
        entry.jobMessageReceived(OTHER_PEER, new ShareJobs(List.of(JOB)));
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
        assertEquals(sentTo(otherPeer, AbandonJob.class), List.of(new AbandonJob(JOB, false)));
        entry.jobMessageReceived(OTHER_PEER, new JobAbandoned(JOB, true));
        assertEquals(assignments().size(), 1);
    }

    // Guards against two entries that ask each other at the same time and both start the job, or neither replies.
    @Test
    public void anEntryThatIsAskedByTheOwnerDuringTheHandoverGivesWayAndRepliesAtOnce() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        entry.jobMessageReceived(PEER, new AbandonJob(JOB, false));
        assertEquals(sentTo(peer, JobAbandoned.class).size(), 1);
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, false));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
    }

    // Guards against a second start by a third entry while the owner's runs have not ended.
    @Test
    public void aThirdEntryThatAsksDuringTheHandoverGetsAReplyOnlyAfterTheOwnerReplied() {
        RecordingConnection otherPeer = connectOtherPeer();
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        assertEquals(otherPeer.sent(), List.of(new ShareJobs(List.of(JOB))));
        entry.jobMessageReceived(OTHER_PEER, new AbandonJob(JOB, false));
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
        assertTrue(sentTo(otherPeer, JobAbandoned.class).isEmpty());
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        assertEquals(sentTo(otherPeer, JobAbandoned.class).size(), 1);
        assertTrue(assignments().isEmpty());
    }

    // Guards against a second start by an entry whose pause was so long that others took the job over.
    @Test
    public void anEntryThatWasPausedDuringTheHandoverDoesNotStartTheJob() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        executor.advanceClockOnly(1000);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
        assertTrue(assignments().isEmpty());
    }

    @Test
    public void severalRequestsDuringTheHandoverAskTheOwnerOnceAndStartTheJobOnce() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        CompletableFuture<BestEffortOutcome> first = submit(JOB);
        CompletableFuture<BestEffortOutcome> second = submit(JOB);
        assertEquals(sentTo(peer, AbandonJob.class).size(), 1);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        assertEquals(assignments().size(), 1);
        report(assignments().get(0), RunOutcome.DONE);
        assertEquals(first.getNow(null), BestEffortOutcome.completed());
        assertEquals(second.getNow(null), BestEffortOutcome.completed());
    }

    @Test
    public void aJobWhoseCallerDisconnectsDuringTheHandoverDoesNotStart() {
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        submit(JOB.value(), disconnected);
        disconnected.complete(null);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
    }

    @Test
    public void aDrainingEntryWaitsForTheJobsThatItTakesOver() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        submit(JOB);
        CompletableFuture<Void> drained = entry.drain(Duration.ZERO);
        executor.advance(200);
        assertFalse(drained.isDone());
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        report(assignments().get(0), RunOutcome.DONE);
        assertTrue(drained.isDone());
    }

    // Guards against a second start because this entry was paused and takes its own silence for that of the owner.
    @Test
    public void anEntryThatWasPausedDoesNotCountThePauseAsSilenceOfTheOwner() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        long lastMessageNanos = executor.timeSource().nanoTime();
        executor.advanceClockOnly(5000);
        entry.memberDisconnected(member(PEER, Member.Role.ENTRY), lastMessageNanos);
        submit(JOB);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(assignments().isEmpty());
        executor.advance(300);
        assertEquals(assignments().size(), 1);
    }

    /** Replaces the entry by one that has just started and read the name of its peer in the store. */
    private void restartEntry() {
        startEntry();
        entry.peersDiscovered(Set.of(PEER));
        connectAgent();
    }

    private void connectPeer() {
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
    }

    /** Lets the peer answer the newest question. */
    private void tellJobsOfPeer(JobId... jobs) {
        List<RequestJobs> questions = sentTo(peer, RequestJobs.class);
        long number = questions.get(questions.size() - 1).number();
        entry.jobMessageReceived(PEER, new JobList(number, List.of(jobs)));
    }

    // Guards against two runs of one task: an entry that had just started did not know the jobs of its peers yet.
    @Test
    public void anEntryThatHasJustStartedHoldsAJobUntilEachPeerInTheStoreHasToldItsJobs() {
        restartEntry();
        submit(JOB);
        assertTrue(entry.isActive(JOB).getNow(false));
        executor.advance(500);
        connectPeer();
        executor.advance(500);
        assertTrue(assignments().isEmpty());
        tellJobsOfPeer();
        executor.advance(BestEffortTimings.REPORT_INTERVAL.toMillis());
        assertEquals(assignments().size(), 1);
    }

    // Guards against two runs of one task: the peer that told its jobs last was the owner.
    @Test
    public void aJobThatWasHeldIsStartedOnlyAfterTheOwnerThatBecameKnownHasAbandonedIt() {
        restartEntry();
        submit(JOB);
        connectPeer();
        tellJobsOfPeer(JOB);
        assertEquals(sentTo(peer, AbandonJob.class), List.of(new AbandonJob(JOB, false)));
        executor.advance(3000);
        assertTrue(assignments().isEmpty());
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, true));
        assertEquals(assignments().size(), 1);
    }

    // Guards against two runs of one task: a list of jobs from before the question did not contain a job accepted
    // since.
    @Test
    public void neitherAnAnswerToAnEarlierQuestionNorNewsOfAcceptedJobsReleasesAJob() {
        restartEntry();
        submit(JOB);
        connectPeer();
        long number = sentTo(peer, RequestJobs.class).get(0).number();
        entry.jobMessageReceived(PEER, new JobList(number - 1, List.of()));
        entry.jobMessageReceived(PEER, new ShareJobs(List.of()));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
    }

    // Guards against two runs of one task: two entries held the job, and both started it when the last peer told its
    // jobs.
    @Test
    public void twoEntriesThatHoldTheSameJobTellEachOtherBeforeTheyStartIt() {
        restartEntry();
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        connectPeer();
        tellJobsOfPeer();
        assertTrue(peer.sent().contains(new ShareJobs(List.of(JOB))));
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        executor.advance(BestEffortTimings.REPORT_INTERVAL.toMillis());
        assertTrue(peer.sent().contains(new AbandonJob(JOB, false)));
        entry.jobMessageReceived(PEER, new AbandonJob(JOB, false));
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, false));
        executor.advance(1000);
        assertTrue(assignments().isEmpty());
    }

    // Guards against two runs of one task: a job that had arrived during a pause of the entry started beside the run of
    // the peer to which the caller had sent it meanwhile.
    @Test
    public void anEntryThatWasPausedAsksItsPeersForTheirJobsBeforeItStartsAnother() {
        executor.advance(200);
        executor.advanceClockOnly(3000);
        submit(JOB);
        executor.advance(500);
        assertTrue(assignments().isEmpty());
        tellJobsOfPeer(JOB);
        assertEquals(sentTo(peer, AbandonJob.class), List.of(new AbandonJob(JOB, false)));
        assertTrue(assignments().isEmpty());
    }

    // Guards against two runs of one task: the entry was paused just before it started the jobs that it had held, and a
    // peer had taken one over meanwhile.
    @Test
    public void anEntryThatWasPausedBeforeItReleasesHeldJobsAsksItsPeersAgain() {
        restartEntry();
        submit(JOB);
        executor.advance(190);
        connectPeer();
        tellJobsOfPeer();
        executor.advanceClockOnly(3000);
        executor.advance(1);
        assertTrue(assignments().isEmpty());
        tellJobsOfPeer(JOB);
        executor.advance(BestEffortTimings.REPORT_INTERVAL.toMillis());
        assertTrue(assignments().isEmpty());
    }

    // Guards against two runs of one task: the time after which a lost owner's runs have ended passed during a pause.
    @Test
    public void anEntryThatWasPausedBeforeATakeOverAsksItsPeersFirst() {
        RecordingConnection otherPeer = connectOtherPeer();
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        disconnect(PEER, Member.Role.ENTRY);
        submit(JOB);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 50);
        executor.advanceClockOnly(1000);
        executor.advance(1);
        assertTrue(assignments().isEmpty());
        assertFalse(sentTo(otherPeer, RequestJobs.class).isEmpty());
    }

    // Guards against two runs of one task: the entry counted its own pause as silence of the peer.
    @Test
    public void theTimeThatAJobIsHeldCountsAnewAfterAPause() {
        restartEntry();
        executor.advance(200);
        executor.advanceClockOnly(3000);
        submit(JOB);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(assignments().isEmpty());
        executor.advance(300);
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void anEntryThatHasNotReadTheStoreHoldsJobs() {
        startEntry();
        connectAgent();
        submit(JOB);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() + 200);
        assertTrue(assignments().isEmpty());
        entry.peersDiscovered(Set.of());
        executor.advance(BestEffortTimings.REPORT_INTERVAL.toMillis());
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void aJobIsHeldNoLongerThanTheJobsOfAPeerThatHasEndedCanRun() {
        restartEntry();
        submit(JOB);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(assignments().isEmpty());
        executor.advance(300);
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void anEntryThatOnceKnewTheJobsOfItsPeersHoldsNoJobWhenAPeerIsLost() {
        disconnect(PEER, Member.Role.ENTRY);
        submit(JOB);
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void aCallerWhoseTimeRunsOutWhileItsJobIsHeldIsToldBeforeThat() {
        restartEntry();
        CompletableFuture<BestEffortOutcome> outcome = entry.submit(
                new BestEffortJob(JOB, ROUTE, 1, "", 1, Resources.of(1000, 10, 0), Duration.ofMillis(300)),
                Duration.ofMillis(1000),
                new CompletableFuture<>());
        executor.advance(500);
        assertFalse(outcome.isDone());
        executor.advance(200);
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
    }

    @Test
    public void aJobThatIsCancelledWhileItIsHeldDoesNotStart() {
        restartEntry();
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        assertTrue(entry.cancel(JOB).getNow(false));
        assertEquals(outcome.getNow(null), BestEffortOutcome.ofCancelled());
        executor.advance(3000);
        assertTrue(assignments().isEmpty());
    }

    // Guards against two entries that wait for each other: both have just started, and the caller went to both.
    @Test
    public void anEntryThatIsAskedForAJobThatItHoldsRepliesAtOnceAndLeavesItToTheOther() {
        restartEntry();
        CompletableFuture<BestEffortOutcome> outcome = submit(JOB);
        connectPeer();
        entry.jobMessageReceived(PEER, new AbandonJob(JOB, false));
        assertEquals(sentTo(peer, JobAbandoned.class), List.of(new JobAbandoned(JOB, false)));
        assertEquals(verdict(outcome), Verdict.MAY_HAVE_RUN);
        tellJobsOfPeer();
        executor.advance(500);
        assertTrue(assignments().isEmpty());
    }

    @Test
    public void anEntryTellsAllItsUnendedJobsWhenAPeerAsks() {
        submit(JOB);
        entry.jobMessageReceived(PEER, new RequestJobs(7));
        assertEquals(sentTo(peer, JobList.class), List.of(new JobList(7, List.of(JOB))));
    }

    private void loseTheConnectionToAPeerThatTheAgentIsInContactWith() {
        entry.jobMessageReceived(AGENT, new ContactsChanged(List.of(PEER), List.of()));
        disconnect(PEER, Member.Role.ENTRY);
    }

    private List<PeerMessage> relayedToPeer() {
        return sentTo(agent, Relay.class).stream()
                .filter(relay -> relay.entry().equals(PEER))
                .map(Relay::message)
                .toList();
    }

    // Guards against two runs of one task: an entry could not learn that a job had an owner, from which it was
    // separated since before the owner accepted it.
    @Test
    public void anEntryLearnsTheOwnerOfAJobThroughAnAgentWhenItIsNotConnectedToTheOwner() {
        loseTheConnectionToAPeerThatTheAgentIsInContactWith();
        entry.jobMessageReceived(AGENT, new Relay(PEER, new ShareJobs(List.of(JOB))));
        submit(JOB);
        assertTrue(relayedToPeer().contains(new AbandonJob(JOB, false)));
        executor.advance(3000);
        assertTrue(assignments().isEmpty());
        entry.jobMessageReceived(AGENT, new Relay(PEER, new JobAbandoned(JOB, true)));
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void anOwnerRepliesThroughTheAgentThatRelayedTheRequest() {
        entry.jobMessageReceived(AGENT, new Relay(PEER, new AbandonJob(JOB, false)));
        assertEquals(relayedToPeer(), List.of(new JobAbandoned(JOB, false)));
        assertTrue(peer.sent().isEmpty());
    }

    @Test
    public void acceptedJobsAreAnnouncedThroughAnAgentToAPeerThatIsNotConnected() {
        submit(JOB);
        loseTheConnectionToAPeerThatTheAgentIsInContactWith();
        assertTrue(relayedToPeer().contains(new ShareJobs(List.of(JOB))));
        submit("00000000000000b2", new CompletableFuture<>());
        executor.advance(150);
        assertTrue(relayedToPeer().contains(new ShareJobs(List.of(JOB, JobId.of("00000000000000b2")))));
    }

    // Guards against a second start while the runs of an owner that the last agent lost have not been stopped.
    @Test
    public void aJobWhoseOwnerIsLostByTheLastAgentStartsOnlyAfterItsRunsHaveEnded() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        loseTheConnectionToAPeerThatTheAgentIsInContactWith();
        submit(JOB);
        executor.advance(300);
        entry.jobMessageReceived(AGENT, new ContactsChanged(List.of(), List.of(PEER)));
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(assignments().isEmpty());
        executor.advance(5);
        assertEquals(assignments().size(), 1);
    }

    // Guards against two runs of one task: the reply of a restarted owner was taken for that of its former incarnation,
    // because an agent was still in contact with that when the connection ended.
    @Test
    public void theReplyOfARestartedOwnerProvesNothingWhenAnAgentWasStillInContactWithItsFormerIncarnation() {
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        loseTheConnectionToAPeerThatTheAgentIsInContactWith();
        connectPeer();
        submit(JOB);
        entry.jobMessageReceived(PEER, new JobAbandoned(JOB, false));
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 1);
        assertTrue(assignments().isEmpty());
        executor.advance(5);
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void anOwnerIsAskedAgainThroughAnotherAgentWhenTheFirstOneLosesIt() {
        MemberName otherAgentName = MemberName.of("other-agent");
        RecordingConnection otherAgent = RecordingConnection.create();
        entry.memberConnected(member(otherAgentName, Member.Role.AGENT), otherAgent);
        entry.jobMessageReceived(otherAgentName, new ContactsChanged(List.of(PEER), List.of()));
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        loseTheConnectionToAPeerThatTheAgentIsInContactWith();
        submit(JOB);
        entry.jobMessageReceived(AGENT, new ContactsChanged(List.of(), List.of(PEER)));
        assertTrue(otherAgent.sent().contains(new Relay(PEER, new AbandonJob(JOB, false))));
        disconnect(otherAgentName, Member.Role.AGENT);
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() + 1);
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void aDirectConnectionIsPreferredToAnAgent() {
        loseTheConnectionToAPeerThatTheAgentIsInContactWith();
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        agent.sent().clear();
        entry.jobMessageReceived(AGENT, new ContactsChanged(List.of(), List.of(PEER)));
        entry.jobMessageReceived(AGENT, new ContactsChanged(List.of(PEER), List.of()));
        submit(JOB);
        executor.advance(150);
        assertTrue(relayedToPeer().isEmpty());
        assertTrue(peer.sent().contains(new ShareJobs(List.of(JOB))));
    }

    private void startOverloadedEntry() {
        startEntry(new DispatchFeatures(true, false, false, false, false));
        entry.peersDiscovered(Set.of());
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        connectAgent();
        submitArrivedBefore(JobId.of("00000000000000f0"), 0);
        for (int step = 0; step < 6; step++) {
            executor.advance(50);
            entry.recordTimerDelay(Duration.ofMillis(50));
        }
        assertTrue(entry.standingDelay().compareTo(Duration.ZERO) > 0);
    }

    private CompletableFuture<BestEffortOutcome> submitArrivedBefore(JobId id, long millis) {
        BestEffortJob job = new BestEffortJob(id, ROUTE, 1, "", 1, Resources.of(1000, 10, 0), Duration.ofMillis(300));
        long arrivedNanos =
                executor.timeSource().nanoTime() - Duration.ofMillis(millis).toNanos();
        return entry.submit(job, arrivedNanos, REMAINING_TIME, new CompletableFuture<>());
    }

    // Load: more requests than the processor carries.
    @Test
    public void anOverloadedEntryRejectsAJobWhoseResultWouldHaveNoValueAsNotRun() {
        startOverloadedEntry();
        agent.sent().clear();
        CompletableFuture<BestEffortOutcome> late = submitArrivedBefore(JOB, 1400);
        executor.advance(10);
        assertEquals(verdict(late), Verdict.NOT_RUN);
        assertEquals(assignments(), List.of());
        assertTrue(entry.rejectIfTooLate(JOB, ROUTE.name(), 0).join().isPresent());
    }

    @Test
    public void anOverloadedEntryDoesNotCallAJobNotRunThatAPeerOwns() {
        startOverloadedEntry();
        entry.jobMessageReceived(PEER, new ShareJobs(List.of(JOB)));
        assertTrue(entry.rejectIfTooLate(JOB, ROUTE.name(), 0).join().isEmpty());
        CompletableFuture<BestEffortOutcome> late = submitArrivedBefore(JOB, 1400);
        executor.advance(10);
        assertFalse(late.isDone());
        assertEquals(sentTo(peer, AbandonJob.class).size(), 1);
    }

    // Guards against a cancelled job that runs: it still waited for its turn, where the cancellation did not look.
    @Test
    public void aJobThatIsCancelledBeforeItsTurnDoesNotStart() {
        startOverloadedEntry();
        agent.sent().clear();
        CompletableFuture<BestEffortOutcome> outcome = submitArrivedBefore(JOB, 0);
        assertTrue(entry.isActive(JOB).join());
        assertTrue(entry.cancel(JOB).join());
        executor.advance(100);
        assertTrue(outcome.join().cancelled());
        assertEquals(assignments(), List.of());
    }
}
