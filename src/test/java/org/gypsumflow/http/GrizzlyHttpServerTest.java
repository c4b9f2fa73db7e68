package org.gypsumflow.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class GrizzlyHttpServerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int CHUNK_BYTES = 60_000;
    private static final Pattern CONTENT_LENGTH = Pattern.compile("Content-Length: (\\d+)");

    private GrizzlyHttpServer server;
    private HttpClient httpClient;
    private int port;

    @BeforeMethod
    public void startAServerThatAnswersWithTheLengthOfTheBody() {
        server = GrizzlyHttpServer.create("127.0.0.1", 0, 1, (event, details) -> {});
        server.addHandler(
                "POST",
                "/length",
                request -> CompletableFuture.completedFuture(
                        ServerResponse.text(200, Integer.toString(request.body().length))));
        port = server.start();
        httpClient = HttpClient.create();
    }

    @AfterMethod
    public void stopServer() {
        httpClient.close();
        server.close();
    }

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {{0}, {1}, {65_536}, {200_000}, {1_000_000}, {GrizzlyHttpServer.MAX_BODY_BYTES}};
    }

    // Guards against a request that is never answered: its body arrived in more than two parts.
    @Test(dataProvider = "lengths")
    public void aBodyUpToTheLimitIsReadWhole(int length) {
        ClientResponse response = httpClient
                .post("http://127.0.0.1:" + port + "/length", Map.of(), new byte[length], TIMEOUT)
                .join();
        assertEquals(new String(response.body(), StandardCharsets.UTF_8), Integer.toString(length));
    }

    @Test
    public void aBodyBeyondTheLimitIsRejected() {
        ClientResponse response = httpClient
                .post(
                        "http://127.0.0.1:" + port + "/length",
                        Map.of(),
                        new byte[GrizzlyHttpServer.MAX_BODY_BYTES + 1],
                        TIMEOUT)
                .join();
        assertEquals(response.status(), 413);
    }

    // Guards against an entry that serves nobody: its HTTP thread waited for a client that sent further requests and
    // read no response, and with it all other requests and the calls of the entry to the store.
    @Test
    public void aClientThatReadsNoResponseDoesNotHoldUpTheOthers() throws IOException {
        server.addHandler(
                "GET",
                "/large",
                request -> CompletableFuture.completedFuture(ServerResponse.text(200, "x".repeat(8_000_000))));
        try (Socket unread = new Socket()) {
            unread.setReceiveBufferSize(4096);
            unread.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            String requests = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n".repeat(3);
            unread.getOutputStream().write(requests.getBytes(StandardCharsets.UTF_8));
            unread.getOutputStream().flush();
            assertTrue(unread.getInputStream().read() > 0);
            ClientResponse response = httpClient
                    .post("http://127.0.0.1:" + port + "/length", Map.of(), new byte[7], TIMEOUT)
                    .join();
            assertEquals(response.status(), 200);
        }
    }

    @Test(timeOut = 60_000)
    public void aBodyInChunksIsReadWhole() throws IOException {
        assertTrue(answerToChunks(20).endsWith("\r\n" + 20 * CHUNK_BYTES));
    }

    @Test(timeOut = 60_000)
    public void aBodyInChunksBeyondTheLimitIsRejected() throws IOException {
        assertTrue(answerToChunks(GrizzlyHttpServer.MAX_BODY_BYTES / CHUNK_BYTES + 1)
                .startsWith("HTTP/1.1 413"));
    }

    // Guards against a connection that stays open although its response said otherwise: the limit was exceeded before
    // the end of the body arrived.
    @Test(timeOut = 60_000)
    public void aBodyInChunksBeyondTheLimitIsRejectedAndItsConnectionClosedBeforeItsEndArrives() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            sendChunks(socket.getOutputStream(), GrizzlyHttpServer.MAX_BODY_BYTES / CHUNK_BYTES + 1);
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 413"));
            assertTrue(answer.contains("Connection: close"));
        }
    }

    // Guards against a connection of which only one direction is closed, and which a client can keep for ever.
    @Test(timeOut = 60_000)
    public void theConnectionOfABodyBeyondTheLimitIsClosedInBothDirections() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            OutputStream output = socket.getOutputStream();
            sendChunks(output, GrizzlyHttpServer.MAX_BODY_BYTES / CHUNK_BYTES + 1);
            assertThrows(IOException.class, () -> {
                while (true) {
                    output.write(new byte[CHUNK_BYTES]);
                }
            });
        }
    }

    // Guards against a request that is never answered: its body arrived after its head, on a connection that had been
    // used before, and the handler completes on a thread of its own.
    @Test(timeOut = 60_000)
    public void eachRequestOfAConnectionIsAnsweredIfItsBodyArrivesAfterItsHead() throws IOException {
        server.addHandler(
                "POST",
                "/later",
                request -> CompletableFuture.supplyAsync(
                        () -> ServerResponse.text(200, Integer.toString(request.body().length)),
                        CompletableFuture.delayedExecutor(1, TimeUnit.MILLISECONDS)));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            for (int length = 100; length < 200; length++) {
                sendInTwoParts(socket.getOutputStream(), "/later", length);
                assertEquals(readBody(socket.getInputStream()), Integer.toString(length));
            }
        }
    }

    // Guards against a server that never recovers from an overload: it handled requests whose clients had left while
    // their
    // requests waited, so that those of the others waited as long.
    @Test(timeOut = 60_000)
    public void aRequestWhoseClientLeftWhileTheServerWasBusyIsNotHandled() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch clientLeft = new CountDownLatch(1);
        AtomicInteger handled = new AtomicInteger();
        server.addHandler("POST", "/busy", request -> {
            busy.countDown();
            Uninterruptibles.awaitUninterruptibly(clientLeft);
            return CompletableFuture.completedFuture(ServerResponse.text(200, ""));
        });
        server.addHandler("POST", "/counted", request -> {
            handled.incrementAndGet();
            return CompletableFuture.completedFuture(ServerResponse.text(200, ""));
        });
        CompletableFuture<ClientResponse> first;
        try (Socket leaving = openConnection()) {
            first = post("/busy");
            assertTrue(busy.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
            sendInTwoParts(leaving.getOutputStream(), "/counted", 100);
        }
        clientLeft.countDown();
        assertEquals(first.join().status(), 200);
        assertEquals(post("/counted").join().status(), 200);
        assertEquals(post("/counted").join().status(), 200);
        assertEquals(handled.get(), 2);
    }

    /** Opens a connection that the server has accepted. */
    private Socket openConnection() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        sendInTwoParts(socket.getOutputStream(), "/length", 100);
        readBody(socket.getInputStream());
        return socket;
    }

    private CompletableFuture<ClientResponse> post(String path) {
        return httpClient.post("http://127.0.0.1:" + port + path, Map.of(), new byte[0], TIMEOUT);
    }

    private static void sendInTwoParts(OutputStream output, String path, int length) throws IOException {
        String head = "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.UTF_8));
        output.flush();
        Uninterruptibles.sleepUninterruptibly(2, TimeUnit.MILLISECONDS);
        output.write(new byte[length]);
        output.flush();
    }

    private static String readBody(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            assertTrue(next >= 0, "the connection was closed");
            head.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        assertTrue(length.find());
        return new String(input.readNBytes(Integer.parseInt(length.group(1))), StandardCharsets.UTF_8);
    }

    private String answerToChunks(int chunks) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            OutputStream output = socket.getOutputStream();
            sendChunks(output, chunks);
            endChunks(output);
            byte[] answer = socket.getInputStream().readAllBytes();
            return new String(answer, StandardCharsets.UTF_8);
        }
    }

    private static void sendChunks(OutputStream output, int chunks) throws IOException {
        output.write("POST /length HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.UTF_8));
        String head = Integer.toHexString(CHUNK_BYTES) + "\r\n";
        for (int chunk = 0; chunk < chunks; chunk++) {
            output.write(head.getBytes(StandardCharsets.UTF_8));
            output.write(new byte[CHUNK_BYTES]);
            output.write("\r\n".getBytes(StandardCharsets.UTF_8));
        }
        output.flush();
    }

    private static void endChunks(OutputStream output) throws IOException {
        output.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
