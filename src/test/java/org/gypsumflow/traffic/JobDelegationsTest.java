package org.gypsumflow.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.balancing.DelegationTarget;
import org.gypsumflow.command.balancing.DelegationTarget.Cause;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.DelegateJob;
import org.gypsumflow.model.BestEffortMessage.DelegationEnded;
import org.gypsumflow.model.BestEffortMessage.EntryLoad;
import org.gypsumflow.model.BestEffortMessage.JobAbandoned;
import org.gypsumflow.model.BestEffortMessage.RequestJobs;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.Verdict;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class JobDelegationsTest {
    private static final MemberName AGENT = MemberName.of("agent");
    private static final MemberName PEER = MemberName.of("peer");
    private static final MemberName OTHER_PEER = MemberName.of("other-peer");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("sofia");
    private static final JobId JOB = JobId.of("00000000000000b1");
    private static final long ROUTES_VERSION = 4;
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final Duration ESTIMATE = Duration.ofMillis(300);
    private static final Resources RESOURCES = Resources.of(1000, 10, 0);
    private static final Route ROUTE = new Route(
            RouteName.of("r"), "", "/", ServiceName.of("s"), 0, 2, 1.6, Duration.ofMillis(60), Duration.ofSeconds(2));

    private ManualExecutor executor;
    private RecordingConnection agent;
    private RecordingConnection peer;
    private RecordingConnection otherPeer;
    private BestEffortEntry entry;
    private CompletableFuture<Void> disconnected;

    /** The entry hands each new job over to the peer as soon as that has told its load. */
    @BeforeMethod
    public void startAnEntryWithAnAgentAndTwoPeers() {
        executor = new ManualExecutor();
        disconnected = new CompletableFuture<>();
        agent = RecordingConnection.create();
        peer = RecordingConnection.create();
        otherPeer = RecordingConnection.create();
        startEntry();
        entry.peersDiscovered(Set.of());
        entry.memberConnected(member(AGENT, Member.Role.AGENT), agent);
        reportOfAgent(List.of());
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        entry.memberConnected(member(OTHER_PEER, Member.Role.ENTRY), otherPeer);
        peer.sent().clear();
        otherPeer.sent().clear();
    }

    private void startEntry() {
        RoutingStateCache routingState = RoutingStateCache.create((event, details) -> {});
        routingState.update(
                new ShareRoutingState(new RoutingTable(ROUTES_VERSION, List.of(ROUTE), Set.of()), ClosedZones.NONE),
                "the test");
        entry = BestEffortEntry.create(
                executor,
                executor.timeSource(),
                EarliestFinishPlacement.policy(),
                routingState,
                (event, details) -> {},
                JobObserver.none(),
                CapacityShares.disabled(),
                new DispatchFeatures(false, true, false, false, false),
                DecisionCounter.none());
        entry.balanceJobs(ZONE, (balancer, nowNanos) -> balancer.freshPeers(nowNanos).stream()
                .findFirst()
                .map(name -> new DelegationTarget(name, Cause.BUSY)));
        entry.start();
    }

    private static Member member(MemberName name, Member.Role role) {
        return new Member(name, role, ZONE, "127.0.0.1", 1);
    }

    private void reportOfAgent(List<RunResult> results) {
        Resources capacity = Resources.of(32_000, 100_000, 0);
        entry.jobMessageReceived(
                AGENT,
                new AgentReport(
                        results,
                        new WorkerStatus(
                                true,
                                "s",
                                "sofia",
                                capacity,
                                capacity,
                                capacity,
                                Resources.NONE,
                                ESTIMATE,
                                1,
                                0,
                                0,
                                0)));
    }

    private void receive(MemberName from, BestEffortMessage message) {
        entry.jobMessageReceived(from, message);
    }

    private void tellLoadOfPeer() {
        receive(PEER, new EntryLoad(Duration.ZERO, 0, 0, 1, OptionalInt.of(nowMicros()), Duration.ZERO));
    }

    private int nowMicros() {
        return (int) (executor.timeSource().nanoTime() / 1000);
    }

    private CompletableFuture<BestEffortOutcome> submit() {
        BestEffortJob job = new BestEffortJob(JOB, ROUTE, ROUTES_VERSION, "x", 1, RESOURCES, ESTIMATE);
        return entry.submit(job, PATIENCE, disconnected);
    }

    private CompletableFuture<BestEffortOutcome> handOver() {
        tellLoadOfPeer();
        CompletableFuture<BestEffortOutcome> outcome = submit();
        assertEquals(sent(peer, DelegateJob.class).size(), 1);
        assertEquals(assignments(), List.of());
        return outcome;
    }

    private static DelegateJob delegation(RouteName route, long routesVersion) {
        return new DelegateJob(
                JOB, route, routesVersion, "x", 1, RESOURCES, ESTIMATE, PATIENCE, Duration.ofMillis(20), ZONE);
    }

    private static DelegateJob delegation() {
        return delegation(ROUTE.name(), ROUTES_VERSION);
    }

    private static Optional<Verdict> verdict(CompletableFuture<BestEffortOutcome> outcome) {
        return Optional.ofNullable(outcome.getNow(null)).map(BestEffortOutcome::verdict);
    }

    private static <T> List<T> sent(RecordingConnection connection, Class<T> kind) {
        return connection.sent().stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    private List<TaskAssignment> assignments() {
        return sent(agent, AssignTasks.class).stream()
                .flatMap(message -> message.assignments().stream())
                .toList();
    }

    private void completeAssignment() {
        TaskAssignment assignment = assignments().get(0);
        reportOfAgent(List.of(new RunResult(assignment.task(), assignment.runNumber(), RunOutcome.DONE, ESTIMATE)));
    }

    private void disconnectPeer() {
        entry.memberDisconnected(
                member(PEER, Member.Role.ENTRY), executor.timeSource().nanoTime());
    }

    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {
            {BestEffortOutcome.completed()},
            {BestEffortOutcome.failed("reason")},
            {BestEffortOutcome.mayHaveRun("reason")},
            {BestEffortOutcome.notRun("reason", Duration.ofSeconds(1))},
        };
    }

    @Test(dataProvider = "outcomes")
    public void theCallerOfAJobThatWasHandedOverGetsTheOutcomeThatThePeerTells(BestEffortOutcome outcome) {
        CompletableFuture<BestEffortOutcome> response = handOver();
        executor.advance(300);
        assertEquals(verdict(response), Optional.empty());
        receive(PEER, new DelegationEnded(JOB, outcome));
        assertEquals(response.join(), outcome);
        assertEquals(assignments(), List.of());
    }

    @Test
    public void aJobThatThePeerDoesNotTakeRunsHere() {
        CompletableFuture<BestEffortOutcome> response = handOver();
        receive(PEER, DelegationEnded.refused(JOB, "reason"));
        completeAssignment();
        assertEquals(verdict(response), Optional.of(Verdict.COMPLETED));
    }

    @Test
    public void anOutcomeFromAnotherEntryThanTheOneThatRunsTheJobIsIgnored() {
        CompletableFuture<BestEffortOutcome> response = handOver();
        receive(OTHER_PEER, DelegationEnded.refused(JOB, "reason"));
        assertEquals(verdict(response), Optional.empty());
        assertEquals(assignments(), List.of());
    }

    // Guards against two runs of one task: the peer may go on with the job for a while after its connection is lost.
    @Test
    public void ifThePeerIsLostTheCallerIsToldAtOnceAndTheJobStartsHereOnlyWhenItsRunsHaveEnded() {
        CompletableFuture<BestEffortOutcome> response = handOver();
        disconnectPeer();
        assertEquals(verdict(response), Optional.of(Verdict.MAY_HAVE_RUN));
        executor.advance(200);
        assertTrue(sent(otherPeer, ShareJobs.class).contains(new ShareJobs(List.of(JOB))));
        submit();
        executor.advance(BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toMillis() - 300);
        assertEquals(assignments(), List.of());
        executor.advance(200);
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void ifTheCallerDisconnectsThePeerIsAskedToAbandonTheJob() {
        handOver();
        disconnected.complete(null);
        assertTrue(sent(peer, AbandonJob.class).contains(new AbandonJob(JOB, false)));
    }

    @Test
    public void aCancelledJobIsCancelledAtThePeerAndItsCallerIsToldAtOnce() {
        CompletableFuture<BestEffortOutcome> response = handOver();
        assertTrue(entry.cancel(JOB).join());
        assertTrue(sent(peer, AbandonJob.class).contains(new AbandonJob(JOB, true)));
        assertEquals(response.join(), BestEffortOutcome.ofCancelled());
    }

    @Test
    public void theCallerIsToldBeforeItsDeadlineIfThePeerTellsNoOutcome() {
        CompletableFuture<BestEffortOutcome> response = handOver();
        executor.advance(PATIENCE.toMillis() - 1);
        assertEquals(verdict(response), Optional.of(Verdict.MAY_HAVE_RUN));
    }

    // Guards against two runs of one task: the entry that is asked runs nothing itself, but the peer does.
    @Test
    public void anEntryThatAsksForAJobGetsItWhenThePeerHasAbandonedIt() {
        CompletableFuture<BestEffortOutcome> response = handOver();
        receive(OTHER_PEER, new AbandonJob(JOB, false));
        assertEquals(verdict(response), Optional.of(Verdict.MAY_HAVE_RUN));
        assertEquals(sent(peer, AbandonJob.class), List.of(new AbandonJob(JOB, false)));
        executor.advance(1000);
        assertEquals(sent(otherPeer, JobAbandoned.class), List.of());
        receive(PEER, new JobAbandoned(JOB, true));
        assertEquals(sent(otherPeer, JobAbandoned.class).size(), 1);
    }

    @Test
    public void aDrainingEntryWaitsForTheJobsThatPeersRunForIt() {
        handOver();
        CompletableFuture<Void> drained = entry.drain(Duration.ZERO);
        executor.advance(500);
        assertFalse(drained.isDone());
        receive(PEER, new DelegationEnded(JOB, BestEffortOutcome.completed()));
        assertTrue(drained.isDone());
    }

    @Test
    public void aJobOfAPeerRunsHereAndIsAnnouncedAndThePeerIsToldItsOutcome() {
        receive(PEER, delegation());
        executor.advance(200);
        assertTrue(sent(otherPeer, ShareJobs.class).contains(new ShareJobs(List.of(JOB))));
        completeAssignment();
        assertEquals(
                sent(peer, DelegationEnded.class), List.of(new DelegationEnded(JOB, BestEffortOutcome.completed())));
    }

    @Test
    public void theObjectiveOfAJobOfAPeerCountsFromItsArrivalThere() {
        receive(PEER, delegation());
        Duration slackOfNewJob = ROUTE.latencyAllowance().plusMillis(180);
        assertEquals(
                assignments().get(0).slack(), slackOfNewJob.minus(delegation().age()));
    }

    @Test
    public void aJobOfAPeerIsNeverHandedOn() {
        tellLoadOfPeer();
        receive(OTHER_PEER, delegation());
        assertEquals(sent(peer, DelegateJob.class), List.of());
        assertEquals(assignments().size(), 1);
    }

    @Test
    public void theTasksOfAJobOfAPeerAreStoppedWhenThePeerIsLost() {
        receive(PEER, delegation());
        disconnectPeer();
        assertEquals(sent(agent, StopTasks.class).size(), 1);
    }

    @Test
    public void aJobWhoseRoutesAreNotKnownHereIsNotTaken() {
        receive(PEER, delegation(ROUTE.name(), ROUTES_VERSION + 1));
        receive(PEER, delegation(RouteName.of("unknown"), ROUTES_VERSION));
        assertTrue(sent(peer, DelegationEnded.class).stream().allMatch(DelegationEnded::isRefused));
        assertEquals(sent(peer, DelegationEnded.class).size(), 2);
        assertEquals(assignments(), List.of());
    }

    // Guards against two runs of one task: a job arrives on a slow connection after its origin has taken it back on
    // another path, and started it elsewhere.
    @Test
    public void aJobThatIsOvertakenByTheRequestToAbandonItIsNotTaken() {
        receive(PEER, new AbandonJob(JOB, false));
        receive(PEER, delegation());
        assertTrue(sent(peer, DelegationEnded.class).get(0).isRefused());
        assertEquals(assignments(), List.of());
    }

    // Guards against two runs of one task: an entry that has just started, or was paused, does not know whether the job
    // has
    // started elsewhere.
    @Test
    public void anEntryThatDoesNotKnowTheJobsOfItsPeersTakesNoneOfThem() {
        startEntry();
        entry.memberConnected(member(PEER, Member.Role.ENTRY), peer);
        receive(PEER, delegation());
        assertTrue(sent(peer, DelegationEnded.class).get(0).isRefused());
        assertEquals(assignments(), List.of());
    }

    @Test
    public void aDrainingEntryTakesNoJobsAndTellsNoLoad() {
        submit();
        receive(PEER, new RequestJobs(1, true));
        entry.drain(Duration.ZERO);
        executor.advance(1000);
        receive(PEER, delegation());
        assertTrue(sent(peer, DelegationEnded.class).get(0).isRefused());
        assertEquals(sent(peer, EntryLoad.class), List.of());
    }

    @Test
    public void onlyAPeerThatHasSaidThatItExchangesLoadsIsToldTheLoadOfAnEntryThatRunsJobs() {
        receive(PEER, new RequestJobs(1, true));
        receive(OTHER_PEER, new RequestJobs(1));
        executor.advance(1000);
        assertEquals(sent(peer, EntryLoad.class), List.of());
        submit();
        executor.advance(1000);
        int loads = sent(peer, EntryLoad.class).size();
        assertTrue(loads >= 4 && loads <= 6, loads + " loads");
        assertEquals(sent(otherPeer, EntryLoad.class), List.of());
    }
}
