package org.gypsumflow.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The load: a few percent of the calls get no response and are carried out late; one call is made to be such a call. */
public final class RecoveringWorkerClientTest {
    private static final BestEffortTaskId TASK = BestEffortTaskId.of(JobId.of("00000000000000aa"), 0);
    private static final LeaseRenewal RENEWAL = new LeaseRenewal(1, 0, 900, Duration.ofMillis(300));

    /** Records the copies of each call, which the test answers. */
    private static final class RecordingClient implements WorkerClient {
        private final List<CompletableFuture<StartResponse>> starts = new ArrayList<>();
        private final List<CompletableFuture<Void>> stops = new ArrayList<>();
        private final List<CompletableFuture<TaskListing>> listings = new ArrayList<>();
        private final List<LeaseRenewal> renewals = new ArrayList<>();
        private final List<Long> leases = new ArrayList<>();

        @Override
        public CompletableFuture<StartResponse> start(
                BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken) {
            assertEquals(run, RunNumber.FIRST);
            leases.add(leaseUntilMillis);
            return record(starts);
        }

        @Override
        public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken) {
            return record(stops);
        }

        @Override
        public CompletableFuture<TaskListing> renew(LeaseRenewal renewal) {
            renewals.add(renewal);
            return record(listings);
        }

        private static <T> CompletableFuture<T> record(List<CompletableFuture<T>> copies) {
            copies.add(new CompletableFuture<>());
            return copies.get(copies.size() - 1);
        }
    }

    private ManualExecutor executor;
    private RecordingClient worker;
    private RecoveringWorkerClient client;
    private OptionalLong nextLease;

    @BeforeMethod
    public void createClient() {
        executor = new ManualExecutor();
        worker = new RecordingClient();
        nextLease = OptionalLong.of(950);
        client = RecoveringWorkerClient.create(
                executor,
                executor.timeSource(),
                worker,
                (task, number) -> nextLease,
                (event, details) -> {},
                DecisionCounter.none());
    }

    private CompletableFuture<StartResponse> start() {
        return client.start(TASK, RunNumber.FIRST, "text", 900, 1);
    }

    private static StartResponse response(StartStatus status) {
        return new StartResponse(status, 1);
    }

    @Test
    public void aStartWithoutAResponseIsSentAgainUnderTheSameRunNumberWithALeaseOfItsOwn() {
        CompletableFuture<StartResponse> start = start();
        executor.advance(31);
        worker.starts.get(1).complete(response(StartStatus.STARTED));
        assertEquals(start.join().status(), StartStatus.STARTED);
        assertEquals(worker.leases, List.of(900L, 950L));
    }

    @Test
    public void aRepeatedStartThatTheWorkerCallsOldCountsAsStarted() {
        CompletableFuture<StartResponse> start = start();
        executor.advance(31);
        worker.starts.get(1).complete(response(StartStatus.OLD_RUN));
        assertEquals(start.join().status(), StartStatus.STARTED);
    }

    // Guards against two runs of one task: the first copy of a start may act although the second one was rejected.
    @Test
    public void aRejectionOfARepeatedStartDoesNotCountForTheFirstCopy() {
        CompletableFuture<StartResponse> start = start();
        executor.advance(31);
        worker.starts.get(1).complete(response(StartStatus.NO_ROOM));
        assertEquals(start.join().status(), StartStatus.UNDECIDED);
    }

    // Guards against two runs of one task: a refused copy does not prove that the worker did not receive the first one.
    @Test
    public void aRefusedCopyOfAStartIsNoEvidenceThatTheWorkerReceivedNothing() {
        CompletableFuture<StartResponse> start = start();
        executor.advance(31);
        worker.starts.get(1).completeExceptionally(new ConnectException());
        start.whenComplete((response, failure) -> assertFalse(failure instanceof ConnectException));
        assertTrue(start.isCompletedExceptionally());
    }

    // Guards against two runs of one task: a copy must not extend the lease of a worker whose lease is to end.
    @Test
    public void aStartIsNotSentAgainWhileTheLeaseMustNotBeExtendedNorAfterItsStop() {
        nextLease = OptionalLong.empty();
        start();
        executor.advance(500);
        nextLease = OptionalLong.of(950);
        start();
        client.stop(TASK, RunNumber.FIRST, 1);
        executor.advance(500);
        assertEquals(worker.starts.size(), 2);
    }

    @Test
    public void aListedRunWhoseStartGotNoResponseCountsAsStarted() {
        CompletableFuture<StartResponse> start = start();
        CompletableFuture<TaskListing> listing = client.renew(RENEWAL);
        executor.advance(31);
        worker.listings
                .get(0)
                .complete(new TaskListing(1, 5, List.of(new RunningTask(TASK, RunNumber.FIRST, 0)), List.of()));
        assertTrue(listing.isDone());
        assertEquals(start.join().status(), StartStatus.STARTED);
    }

    @Test
    public void aLostRenewalIsReplacedBeforeTheLeaseEndsByOneThatDoesNotWaitAndLeavesTheLease() {
        CompletableFuture<TaskListing> listing = client.renew(RENEWAL);
        executor.advance(331);
        assertEquals(worker.renewals.get(1), new LeaseRenewal(1, 0, -1, Duration.ZERO));
        worker.listings.get(1).complete(new TaskListing(1, 5, List.of(), List.of()));
        assertTrue(listing.isDone());
    }

    @Test
    public void aStopWhoseConnectionIsClosedIsSentAgainAtOnceAndFailsWhenEachIsClosed() {
        CompletableFuture<Void> stop = client.stop(TASK, RunNumber.FIRST, 1);
        for (int copy = 0; copy < 4; copy++) {
            assertFalse(stop.isDone());
            worker.stops.get(copy).completeExceptionally(new IOException("closed"));
        }
        assertTrue(stop.isCompletedExceptionally());
    }

    @Test
    public void aCallFailsWhenSeveralCopiesGotNoResponseFor400Milliseconds() {
        CompletableFuture<StartResponse> start = start();
        executor.advance(399);
        assertFalse(start.isDone());
        executor.advance(20);
        assertTrue(start.isCompletedExceptionally());
        assertEquals(worker.starts.size(), 4);
    }
}
