package org.gypsumflow.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.traffic.WorkerClient;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class HttpWorkerClientTest {
    private static final BestEffortTaskId TASK = BestEffortTaskId.of(JobId.of("5c0e7a21d94b36f8"), 9);

    private final List<Event> logged = new ArrayList<>();
    private final EventLog events = (event, details) -> logged.add(event);

    @BeforeMethod
    public void forgetEvents() {
        logged.clear();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @DataProvider
    public Object[][] startResponses() {
        return new Object[][] {
            {200, "{\"clockMs\":5}", StartStatus.STARTED},
            {409, "{\"clockMs\":5,\"reason\":\"fence\"}", StartStatus.FENCED},
            {409, "{\"clockMs\":5,\"reason\":\"old\"}", StartStatus.OLD_RUN},
            {409, "{\"clockMs\":5,\"reason\":\"late\"}", StartStatus.TOO_LATE},
            {409, "{\"clockMs\":5,\"reason\":\"room\"}", StartStatus.NO_ROOM},
            {409, "{\"clockMs\":5,\"reason\":\"mood\"}", StartStatus.REFUSED},
            {400, "", StartStatus.REFUSED},
            {429, "{}", StartStatus.REFUSED},
            {503, "", StartStatus.REFUSED},
        };
    }

    @Test(dataProvider = "startResponses")
    public void eachResponseToAStartMapsToOneStatus(int status, String body, StartStatus startStatus) {
        assertEquals(
                HttpWorkerClient.parseStartResponse(new ClientResponse(status, bytes(body)))
                        .status(),
                startStatus);
    }

    @Test
    public void aTaskListingIsParsedWithAllFields() {
        TaskListing listing = HttpWorkerClient.parseTaskListing(
                Json.parseObject(bytes("{\"clockMs\":482113,\"born\":7,\"running\":["
                        + "[\"5c0e7a21d94b36f8.0.0.9\",2,\"\",41,3]],\"finished\":[[58,\"5c0e7a21d94b36f8.0.0.9\",1,"
                        + "\"stopped\",\"\"],[59,\"5c0e7a21d94b36f8.0.0.9\",3,\"done\",\"\"]]}")),
                events);
        assertEquals(listing.workerStartedAtMillis(), 7);
        assertEquals(listing.running(), List.of(new RunningTask(TASK, RunNumber.of(2), 41)));
        assertEquals(
                listing.finished(),
                List.of(
                        new FinishedTask(58, TASK, RunNumber.of(1), RunOutcome.LOST),
                        new FinishedTask(59, TASK, RunNumber.of(3), RunOutcome.DONE)));
    }

    @DataProvider
    public Object[][] oddListings() {
        String listing = "{\"clockMs\":1,\"born\":7,\"running\":[%s],\"finished\":[%s]}";
        String task = "\"5c0e7a21d94b36f8.0.0.9\"";
        return new Object[][] {
            {String.format(listing, "[" + task + ",4294967298,\"\",41,3]", "")},
            {String.format(listing, "[" + task + ",18446744073709551618,\"\",41,3]", "")},
            {String.format(listing, "[" + task + ",0,\"\",41,3]", "")},
            {String.format(listing, "[" + task + ",\"2\",\"\",41,3]", "")},
            {String.format(listing, "[" + task + "]", "")},
            {String.format(listing, "", "[9223372036854775808," + task + ",1,\"done\",\"\"]")},
            {String.format(listing, "", "[18446744073709551674," + task + ",1,\"done\",\"\"]")},
            {String.format(listing, "", "[\"58\"," + task + ",1,\"done\",\"\"]")},
            {String.format(listing, "", "[58," + task + ",4294967297,\"done\",\"\"]")},
            {listing.replace("\"clockMs\":1", "\"clockMs\":18446744073709551617")},
            {listing.replace("\"born\":7", "\"born\":18446744073709551623")},
            {"{\"clockMs\":1,\"running\":7}"},
            {"{\"clockMs\":1,\"finished\":{\"a\":7}}"},
            {String.format(listing, "[".repeat(100_000) + "]".repeat(100_000), "")},
        };
    }

    // Guards against a run or an end that is taken for another one: a number of the listing was cut off.
    @Test(dataProvider = "oddListings")
    public void anOddTaskListingIsRejected(String body) {
        assertThrows(
                ValidationException.class,
                () -> HttpWorkerClient.parseTaskListing(Json.parseObject(bytes(body)), events));
    }

    @DataProvider
    public Object[][] oddProgress() {
        return new Object[][] {{"4294967296", 100}, {"1e999", 100}, {"-1", 0}, {"\"\"", 0}, {"[]", 0}, {"41.5", 41}};
    }

    @Test(dataProvider = "oddProgress")
    public void aProgressIsReadAsAShareOfAHundred(String progress, int percent) {
        TaskListing listing = HttpWorkerClient.parseTaskListing(
                Json.parseObject(
                        bytes("{\"clockMs\":1,\"running\":[[\"5c0e7a21d94b36f8.0.0.9\",2,\"\"," + progress + "]]}")),
                events);
        assertEquals(listing.running(), List.of(new RunningTask(TASK, RunNumber.of(2), percent)));
    }

    // Guards against two runs of one task: a row of a task that this system cannot have started made every renewal of
    // the
    // lease fail, and once the lease was taken for expired all runs counted as lost, while the worker went on.
    @Test
    public void aRowOfATaskOfAnotherKindIsSkippedAndTheOthersHold() {
        TaskListing listing = HttpWorkerClient.parseTaskListing(
                Json.parseObject(bytes("{\"clockMs\":1,\"running\":["
                        + "[\"5c0e7a21d94b36f8.0.1.17\",2,\"\",41],[\"5c0e7a21d94b36f8.0.0.9\",2,\"\",41],7],\"finished\":["
                        + "[58,\"?\",1,\"done\",\"\"],[59,\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"]]}")),
                events);
        assertEquals(listing.running(), List.of(new RunningTask(TASK, RunNumber.of(2), 41)));
        assertEquals(listing.finished(), List.of(new FinishedTask(59, TASK, RunNumber.of(1), RunOutcome.DONE)));
        assertEquals(logged, Collections.nCopies(3, Event.MESSAGE_UNREADABLE));
    }

    @Test
    public void aTaskListingWithoutAClockIsRejected() {
        assertThrows(
                ValidationException.class,
                () -> HttpWorkerClient.parseTaskListing(Json.parseObject(bytes("{\"running\":[]}")), events));
    }

    @DataProvider
    public Object[][] calls() {
        Function<WorkerClient, CompletableFuture<?>> start =
                worker -> worker.start(TASK, RunNumber.FIRST, "text", 100, 1);
        Function<WorkerClient, CompletableFuture<?>> stop = worker -> worker.stop(TASK, RunNumber.FIRST, 1);
        Function<WorkerClient, CompletableFuture<?>> renewal =
                worker -> worker.renew(new LeaseRenewal(1, 0, 100, Duration.ZERO));
        return new Object[][] {{start}, {stop}, {renewal}};
    }

    private static Throwable failureOf(Function<WorkerClient, CompletableFuture<?>> call, String address) {
        try (HttpClient httpClient = HttpClient.create()) {
            CompletableFuture<?> response = call.apply(HttpWorkerClient.create(httpClient, address, EventLog.none()));
            return expectThrows(CompletionException.class, response::join).getCause();
        }
    }

    @Test(dataProvider = "calls")
    public void aRefusedConnectionProvesThatNoProcessListens(Function<WorkerClient, CompletableFuture<?>> call)
            throws IOException {
        int closedPort;
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = listener.getLocalPort();
        }
        Throwable failure = failureOf(call, "127.0.0.1:" + closedPort);
        assertTrue(failure instanceof ConnectException, failure.toString());
    }

    // Guards against two runs of one task: an agent whose connection failed for a reason of its own, such as too many
    // open files, took the worker for ended. The broadcast address of the loopback network cannot be connected to.
    @Test(dataProvider = "calls")
    public void aWorkerThatCannotBeReachedIsNotTakenForEnded(Function<WorkerClient, CompletableFuture<?>> call) {
        Throwable failure = failureOf(call, "127.255.255.255:9");
        assertFalse(failure instanceof ConnectException, failure.toString());
        assertTrue(failure instanceof WorkerClient.NotReceivedException, failure.toString());
    }

    @DataProvider
    public Object[][] failuresThatLeaveTheWorkerRunning() {
        return new Object[][] {
            {new TimeoutException()},
            {new SocketException("Too many open files")},
            {new SocketException("Connection reset")},
            {new NoRouteToHostException("No route to host")},
            {new ConnectException("Connection timed out")},
            {new IllegalStateException("the transport is stopped")},
        };
    }

    // Guards against two runs of one task: each failure to connect counted as the end of the worker.
    @Test(dataProvider = "failuresThatLeaveTheWorkerRunning")
    public void aFailureToConnectThatIsNotARefusalProvesOnlyThatTheCallWasNotReceived(Throwable cause) {
        ConnectException failure = new ConnectException("cannot connect");
        failure.initCause(cause);
        Throwable proof = HttpWorkerClient.proofOf(failure);
        assertTrue(proof instanceof WorkerClient.NotReceivedException, proof.toString());
    }

    @Test
    public void aFailureAfterTheConnectionIsPassedOnUnchanged() {
        IOException failure = new IOException("the connection was closed before the response");
        assertEquals(HttpWorkerClient.proofOf(failure), failure);
    }
}
