package org.gypsumflow.standin;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * A stand-in for a target: a task runs for as many milliseconds as its payload says.
 *
 * <p>Each start adds a line to a journal file: task, worker, zone, wall-clock time in milliseconds since the epoch.
 */
public final class TargetStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int THREADS = 4;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final long ANNOUNCE_INTERVAL_SECONDS = 1;

    /** How the target responds to tasks. */
    public enum Mode {
        /** Runs each task for the duration in its payload. */
        NORMAL,
        /** Fails each task immediately. */
        FAIL,
        /** Runs each task ten times as long as its payload says. */
        SLOW,
        /** Starts each task and never responds. */
        UNRESPONSIVE,
        /** Responds with text that is not JSON. */
        MALFORMED_RESPONSE
    }

    private static final int SLOWDOWN_FACTOR = 10;

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final HttpClient httpClient = HttpClient.create();
    private final WorkerName worker;
    private final AvailabilityZone zone;
    private final BufferedWriter journal;
    private final GrizzlyHttpServer server;
    private final int port;
    private volatile Mode mode = Mode.NORMAL;

    private TargetStandIn(WorkerName worker, AvailabilityZone zone, Path journal) {
        this.worker = worker;
        this.zone = zone;
        try {
            this.journal = Files.newBufferedWriter(journal, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        this.server = GrizzlyHttpServer.create("127.0.0.1", 0, THREADS, EventLog.none());
        server.addHandler("POST", "/run", this::run);
        this.port = server.start();
    }

    /**
     * Starts a target on the loopback address, on any free port.
     *
     * @param worker name of its worker, for the journal
     * @param zone availability zone, for the journal
     * @param journal file to which a line is appended for each start
     * @return the running target
     */
    public static TargetStandIn start(WorkerName worker, AvailabilityZone zone, Path journal) {
        return new TargetStandIn(worker, zone, journal);
    }

    /**
     * Announces the target to its agent immediately and then every second.
     *
     * @param agentUrl base URL of the agent
     * @param service service that the target provides
     */
    public void announceTo(String agentUrl, ServiceName service) {
        byte[] body = ("{\"service\":\"" + service + "\",\"url\":\"http://127.0.0.1:" + port + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        timer.scheduleWithFixedDelay(
                () -> httpClient.post(agentUrl + "/v1/commands/announcements", Map.of(), body, CALL_TIMEOUT),
                0,
                ANNOUNCE_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
    }

    /**
     * Sets how the target responds to tasks that start from now on.
     *
     * @param newMode the mode
     */
    public void setMode(Mode newMode) {
        this.mode = newMode;
    }

    @Override
    public void close() {
        server.close();
        timer.shutdownNow();
        httpClient.close();
    }

    private CompletableFuture<ServerResponse> run(ServerRequest request) {
        String task = request.headers().apply("Task-Id");
        appendToJournal(task);
        return switch (mode) {
            case NORMAL -> respondAfter(task, payloadMillis(request));
            case SLOW -> respondAfter(task, payloadMillis(request) * SLOWDOWN_FACTOR);
            case FAIL ->
                CompletableFuture.completedFuture(ServerResponse.text(SERVER_ERROR, "this target fails every task"));
            case UNRESPONSIVE -> new CompletableFuture<>();
            case MALFORMED_RESPONSE -> CompletableFuture.completedFuture(ServerResponse.text(OK, "%!garbage"));
        };
    }

    private CompletableFuture<ServerResponse> respondAfter(String task, long payloadMillis) {
        CompletableFuture<ServerResponse> response = new CompletableFuture<>();
        ServerResponse success =
                ServerResponse.json(OK, Map.of("task", task, "result", "ran " + payloadMillis + " ms on " + worker));
        timer.schedule(() -> response.complete(success), payloadMillis, TimeUnit.MILLISECONDS);
        return response;
    }

    private static long payloadMillis(ServerRequest request) {
        return Long.parseLong(new String(request.body(), StandardCharsets.UTF_8).strip());
    }

    private synchronized void appendToJournal(String task) {
        try {
            journal.write(task + " " + worker + " " + zone + " " + System.currentTimeMillis() + "\n");
            journal.flush();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
