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
 * A stand-in for a target: runs a task for the number of milliseconds that its payload names.
 *
 * <p>It appends one line for each start to a journal file: task, worker, zone, wall clock in milliseconds.
 */
public final class TargetStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int THREADS = 4;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final long ANNOUNCE_SECONDS = 1;

    /** How the target treats tasks. */
    public enum Mode {
        /** Runs them. */
        NORMAL,
        /** Fails them at once. */
        FAIL,
        /** Takes ten times as long. */
        SLOW,
        /** Starts them and never answers. */
        UNRESPONSIVE,
        /** Answers with something that is no answer. */
        MALFORMED_RESPONSE
    }

    private static final int SLOWDOWN_FACTOR = 10;

    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2);
    private final HttpClient caller = HttpClient.create();
    private final WorkerName worker;
    private final AvailabilityZone zone;
    private final BufferedWriter journal;
    private final GrizzlyHttpServer front;
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
        this.front = GrizzlyHttpServer.create("127.0.0.1", 0, THREADS, EventLog.none());
        front.addHandler("POST", "/run", this::run);
        this.port = front.start();
    }

    /**
     * Starts a target on loopback.
     *
     * @param worker worker it runs on, for the journal
     * @param zone availability zone, for the journal
     * @param journal file that gets one line for each start
     * @return the running target
     */
    public static TargetStandIn start(WorkerName worker, AvailabilityZone zone, Path journal) {
        return new TargetStandIn(worker, zone, journal);
    }

    /**
     * Announces the target to its agent now and every second.
     *
     * @param agentUrl where the agent serves HTTP
     * @param service service of the target
     */
    public void announceTo(String agentUrl, ServiceName service) {
        byte[] body = ("{\"service\":\"" + service + "\",\"url\":\"http://127.0.0.1:" + port + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        clock.scheduleWithFixedDelay(
                () -> caller.post(agentUrl + "/v1/commands/announcements", Map.of(), body, CALL_TIMEOUT),
                0,
                ANNOUNCE_SECONDS,
                TimeUnit.SECONDS);
    }

    /**
     * Changes how the target treats tasks.
     *
     * @param changed the new mode
     */
    public void setMode(Mode changed) {
        this.mode = changed;
    }

    @Override
    public void close() {
        front.close();
        clock.shutdownNow();
        caller.close();
    }

    private CompletableFuture<ServerResponse> run(ServerRequest call) {
        String task = call.headers().apply("Task-Id");
        record(task);
        return switch (mode) {
            case NORMAL -> later(task, millis(call));
            case SLOW -> later(task, millis(call) * SLOWDOWN_FACTOR);
            case FAIL ->
                CompletableFuture.completedFuture(ServerResponse.text(SERVER_ERROR, "this target fails everything"));
            case UNRESPONSIVE -> new CompletableFuture<>();
            case MALFORMED_RESPONSE -> CompletableFuture.completedFuture(ServerResponse.text(OK, "%!garbage"));
        };
    }

    private CompletableFuture<ServerResponse> later(String task, long millis) {
        CompletableFuture<ServerResponse> answer = new CompletableFuture<>();
        ServerResponse reply =
                ServerResponse.json(OK, Map.of("task", task, "result", "ran " + millis + " ms on " + worker));
        clock.schedule(() -> answer.complete(reply), millis, TimeUnit.MILLISECONDS);
        return answer;
    }

    private static long millis(ServerRequest call) {
        return Long.parseLong(new String(call.body(), StandardCharsets.UTF_8).strip());
    }

    private synchronized void record(String task) {
        try {
            journal.write(task + " " + worker + " " + zone + " " + System.currentTimeMillis() + "\n");
            journal.flush();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
