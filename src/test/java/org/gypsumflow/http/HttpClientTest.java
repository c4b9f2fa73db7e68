package org.gypsumflow.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests to a server that the test plays itself on a socket, so that it decides on the order of events. */
public final class HttpClientTest {
    /** Ends a test that hangs; no result depends on it. */
    private static final Duration HANG_GUARD = Duration.ofSeconds(20);

    /** Timeout of a request that gets no response; whatever happens before or after it, the result is the same. */
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

    private static final String KEEP_ALIVE = "";
    private static final String CLOSE = "Connection: close\r\n";

    private ServerSocket server;
    private GrizzlyHttpServer transportOwner;
    private HttpClient client;
    private volatile Consumer<Connection<?>> whenConnected;
    private volatile Runnable whenRead;
    private volatile Runnable whenWritten;
    private volatile Runnable whenClosed;

    @BeforeMethod
    public void startAServerAndAClientWithOneConnection() throws IOException {
        whenConnected = connection -> {};
        whenRead = () -> {};
        whenWritten = () -> {};
        whenClosed = () -> {};
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) HANG_GUARD.toMillis());
        transportOwner = GrizzlyHttpServer.create("127.0.0.1", 0, 1, (event, details) -> {});
        transportOwner.start();
        transportOwner.transport().getConnectionMonitoringConfig().addProbes(new ConnectionProbe.Adapter() {
            // Grizzly declares its probes with the raw type.
            @Override
            @SuppressWarnings("rawtypes")
            public void onConnectEvent(Connection connection) {
                whenConnected.accept(connection);
            }

            @Override
            @SuppressWarnings("rawtypes")
            public void onReadEvent(Connection connection, Buffer data, int size) {
                whenRead.run();
            }

            @Override
            @SuppressWarnings("rawtypes")
            public void onWriteEvent(Connection connection, Buffer data, long size) {
                whenWritten.run();
            }

            @Override
            @SuppressWarnings("rawtypes")
            public void onCloseEvent(Connection connection) {
                whenClosed.run();
            }
        });
        client = HttpClient.createOnTransportOf(transportOwner, 1);
    }

    @AfterMethod
    public void stop() throws IOException {
        client.close();
        transportOwner.close();
        server.close();
    }

    private CompletableFuture<ClientResponse> post(String path) {
        return post(path, HANG_GUARD);
    }

    private CompletableFuture<ClientResponse> post(String path, Duration timeout) {
        return client.post("http://127.0.0.1:" + server.getLocalPort() + path, Map.of(), new byte[0], timeout);
    }

    /** Returns the path of the next request on a connection. */
    private static String readRequest(Socket connection) throws IOException {
        connection.setSoTimeout((int) HANG_GUARD.toMillis());
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        String requestLine = reader.readLine();
        String header = requestLine;
        while (header != null && !header.isEmpty()) {
            header = reader.readLine();
        }
        return requestLine == null
                ? "closed"
                : requestLine.substring(requestLine.indexOf(' ') + 1, requestLine.lastIndexOf(' '));
    }

    private static void respond(Socket connection, String body, String headers) throws IOException {
        String response = "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    private static String bodyOf(CompletableFuture<ClientResponse> response) {
        return new String(response.join().body(), StandardCharsets.US_ASCII);
    }

    /** Returns a filter that runs an action when its connection is closed, before any listener learns of the close. */
    private static BaseFilter closeFilter(Runnable action) {
        return new BaseFilter() {
            @Override
            public NextAction handleClose(FilterChainContext context) {
                action.run();
                return context.getInvokeAction();
            }
        };
    }

    private static Optional<Throwable> failureOf(CompletableFuture<ClientResponse> response) {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        CompletableFuture<ClientResponse> unused = response.whenComplete((ignored, cause) -> failure.set(cause));
        return Optional.ofNullable(failure.get());
    }

    @Test
    public void requestsInTurnUseTheSameConnection() throws IOException {
        CompletableFuture<ClientResponse> first = post("/first");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
            respond(connection, "one", KEEP_ALIVE);
            assertEquals(bodyOf(first), "one");
            CompletableFuture<ClientResponse> second = post("/second");
            assertEquals(readRequest(connection), "/second");
            respond(connection, "two", KEEP_ALIVE);
            assertEquals(bodyOf(second), "two");
        }
    }

    // Guards against requests without response: a request on a connection that the server had said it would close.
    @Test
    public void aConnectionThatTheServerAnnouncesToCloseIsNotUsedAgain() throws IOException {
        CompletableFuture<ClientResponse> first = post("/first");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
            respond(connection, "one", CLOSE);
            assertEquals(bodyOf(first), "one");
            CompletableFuture<ClientResponse> second = post("/second");
            try (Socket nextConnection = server.accept()) {
                assertEquals(readRequest(nextConnection), "/second");
                respond(nextConnection, "two", KEEP_ALIVE);
                assertEquals(bodyOf(second), "two");
            }
        }
    }

    // Guards against requests without response: an idle connection whose close has arrived must leave the pool at once.
    @Test
    public void anIdleConnectionThatTheServerHasClosedIsNotUsedAgain() throws IOException {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        whenClosed = () -> closed.complete(null);
        CompletableFuture<ClientResponse> first = post("/first");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
            respond(connection, "one", KEEP_ALIVE);
            assertEquals(bodyOf(first), "one");
        }
        closed.join();
        CompletableFuture<ClientResponse> second = post("/second");
        try (Socket nextConnection = server.accept()) {
            assertEquals(readRequest(nextConnection), "/second");
            respond(nextConnection, "two", KEEP_ALIVE);
            assertEquals(bodyOf(second), "two");
        }
    }

    // Guards against starts without response: a request whose pooled connection was found closed before the write was
    // given up, although nothing of it had been sent.
    @Test
    public void aRequestWhoseIdleConnectionIsJustBeingClosedGoesOutOnAnotherConnection() throws IOException {
        CompletableFuture<CompletableFuture<ClientResponse>> second = new CompletableFuture<>();
        whenConnected = connection -> {
            whenConnected = later -> {};
            connection.setProcessor(FilterChainBuilder.stateless()
                    .addAll((FilterChain) connection.getProcessor())
                    .add(closeFilter(() -> second.complete(post("/second"))))
                    .build());
        };
        CompletableFuture<ClientResponse> first = post("/first");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
            respond(connection, "one", KEEP_ALIVE);
            assertEquals(bodyOf(first), "one");
        }
        CompletableFuture<ClientResponse> response = second.join();
        assertEquals(failureOf(response), Optional.empty());
        try (Socket nextConnection = server.accept()) {
            assertEquals(readRequest(nextConnection), "/second");
            respond(nextConnection, "two", KEEP_ALIVE);
            assertEquals(bodyOf(response), "two");
        }
    }

    // Guards against two runs of one task: a request that may have arrived must never be sent again.
    @Test
    public void aRequestThatWasSentFailsWithItsConnectionAndIsNotSentAgain() throws IOException {
        CompletableFuture<ClientResponse> first = post("/first");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
        }
        assertTrue(first.handle((response, failure) -> failure instanceof IOException)
                .join());
        CompletableFuture<ClientResponse> second = post("/second");
        try (Socket nextConnection = server.accept()) {
            assertEquals(readRequest(nextConnection), "/second");
            respond(nextConnection, "two", KEEP_ALIVE);
            assertEquals(bodyOf(second), "two");
        }
    }

    // Guards against crossed responses: the late response to a request that timed out is taken for that to the next.
    @Test
    public void theLateResponseToATimedOutRequestIsNotTakenForThatToTheNext() throws IOException {
        CompletableFuture<ClientResponse> first = post("/first");
        CompletableFuture<ClientResponse> second = post("/second");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
            first.completeExceptionally(new TimeoutException());
            try (Socket nextConnection = server.accept()) {
                assertEquals(readRequest(nextConnection), "/second");
                assertEquals(readRequest(connection), "closed");
                respond(connection, "one", KEEP_ALIVE);
                respond(nextConnection, "two", KEEP_ALIVE);
                assertEquals(bodyOf(second), "two");
            }
        }
    }

    // Guards against starts without response: a timeout that fired while the response was being handled closed the
    // connection, which already carried the next request.
    @Test
    public void aTimeoutAfterTheResponseHasArrivedDoesNotFailTheNextRequestOnTheConnection() throws IOException {
        CompletableFuture<ClientResponse> first = post("/first");
        CompletableFuture<ClientResponse> second = post("/second");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
            whenRead = () -> whenWritten = () -> first.completeExceptionally(new TimeoutException());
            respond(connection, "one", KEEP_ALIVE);
            assertEquals(readRequest(connection), "/second");
            respond(connection, "two", KEEP_ALIVE);
            assertEquals(bodyOf(second), "two");
        }
        assertTrue(first.isCompletedExceptionally());
    }

    // Guards against changes that are followed late: when the connections to a server go silent, each idle one costs
    // the
    // timeout of another request.
    @Test
    public void aTimeoutAlsoClosesTheConnectionsThatHaveBeenIdleSinceBeforeTheRequest() throws IOException {
        client = HttpClient.createOnTransportOf(transportOwner, 2);
        CompletableFuture<ClientResponse> first = post("/first");
        try (Socket connection = server.accept()) {
            assertEquals(readRequest(connection), "/first");
            CompletableFuture<ClientResponse> second = post("/second");
            try (Socket otherConnection = server.accept()) {
                assertEquals(readRequest(otherConnection), "/second");
                respond(connection, "one", KEEP_ALIVE);
                assertEquals(bodyOf(first), "one");
                respond(otherConnection, "two", KEEP_ALIVE);
                assertEquals(bodyOf(second), "two");
                assertTrue(post("/third", SHORT_TIMEOUT)
                        .handle((response, failure) -> failure instanceof TimeoutException)
                        .join());
                assertEquals(readRequest(connection), "closed");
            }
        }
        CompletableFuture<ClientResponse> fourth = post("/fourth");
        try (Socket nextConnection = server.accept()) {
            assertEquals(readRequest(nextConnection), "/fourth");
            respond(nextConnection, "four", KEEP_ALIVE);
            assertEquals(bodyOf(fourth), "four");
        }
    }

    @Test
    public void aTimeoutLeavesAConnectionAloneThatHasCarriedAResponseSinceTheRequest() throws IOException {
        client = HttpClient.createOnTransportOf(transportOwner, 2);
        CompletableFuture<ClientResponse> first = post("/first", SHORT_TIMEOUT);
        try (Socket connection = server.accept()) {
            CompletableFuture<ClientResponse> second = post("/second");
            try (Socket otherConnection = server.accept()) {
                assertEquals(readRequest(otherConnection), "/second");
                respond(otherConnection, "two", KEEP_ALIVE);
                assertEquals(bodyOf(second), "two");
                assertTrue(first.handle((response, failure) -> failure instanceof TimeoutException)
                        .join());
                assertEquals(failureOf(second), Optional.empty());
                CompletableFuture<ClientResponse> third = post("/third");
                assertEquals(readRequest(otherConnection), "/third");
                respond(otherConnection, "three", KEEP_ALIVE);
                assertEquals(bodyOf(third), "three");
            }
        }
    }
}
