package org.gypsumflow.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.http.HttpClient;

/** A minimal stand-in for a worker of the platform: runs each task for a fixed time and records every start. */
public final class WorkerStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private record TaskRun(String task, int run) {}

    private final Duration runDuration;
    private final GrizzlyHttpServer server;
    private final HttpClient httpClient = HttpClient.create(1);
    private final int port;
    private final long startedAtMillis = System.currentTimeMillis();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(action -> {
        Thread thread = new Thread(action, "worker-stand-in");
        thread.setDaemon(true);
        return thread;
    });
    private final List<String> startedTasks = new ArrayList<>();
    private final Map<TaskRun, Boolean> runningTasks = new HashMap<>();
    private final Map<Long, List<Object>> finishedRuns = new HashMap<>();
    private final List<CompletableFuture<Void>> waitingRenewals = new ArrayList<>();
    private long lastSequenceNumber;
    private long reportSequence;

    private WorkerStandIn(String host, Duration runDuration) {
        this.runDuration = runDuration;
        this.server = GrizzlyHttpServer.create(host, 0, 1, (event, details) -> {});
        server.addHandler("POST", "/run-start", this::start)
                .addHandler("POST", "/run-stop", this::stop)
                .addHandler("POST", "/hold", this::renewLease);
        this.port = server.start();
    }

    /**
     * Starts a worker on any free port.
     *
     * @param host IP address to bind
     * @param runDuration how long each task runs
     * @return the running worker
     */
    public static WorkerStandIn start(String host, Duration runDuration) {
        return new WorkerStandIn(host, runDuration);
    }

    /**
     * Returns the TCP port on which the worker takes requests of its agent.
     *
     * @return the port that was bound
     */
    public int port() {
        return port;
    }

    /**
     * Returns the ids of all tasks that were started, in order; a task that ran twice occurs twice.
     *
     * @return the ids as the platform writes them
     */
    public synchronized List<String> startedTasks() {
        return List.copyOf(startedTasks);
    }

    /**
     * Sends a report of this worker to an agent.
     *
     * @param url base URL at which the agent receives reports
     * @param service service of the worker
     * @param zone availability zone of the worker
     * @param state "ready" or "draining"
     * @return completes with the HTTP status of the response
     */
    public CompletableFuture<Integer> report(String url, String service, String zone, String state) {
        Map<String, Object> body = new HashMap<>(
                Map.of("service", service, "address", "127.0.0.1:" + port, "zone", zone, "state", state, "slots", 8));
        body.put("capacity", Map.of("cpu", 32_000, "memMb", 131_072, "gpu", 0));
        body.put("labels", List.of("a", "r1-1"));
        body.put("born", startedAtMillis);
        body.put("sequence", ++reportSequence);
        return httpClient
                .post(
                        url + "/Instances.Heartbeat/i-1",
                        Map.of("Content-Type", "application/json"),
                        write(body),
                        CALL_TIMEOUT)
                .thenApply(HttpClient.ClientResponse::status);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
        httpClient.close();
    }

    private CompletableFuture<ServerResponse> start(ServerRequest request) {
        JsonNode body = read(request);
        TaskRun taskRun =
                new TaskRun(body.path("task").asText(), body.path("run").asInt());
        synchronized (this) {
            if (runningTasks.putIfAbsent(taskRun, true) == null) {
                startedTasks.add(taskRun.task());
                timer.schedule(() -> finish(taskRun, "done"), runDuration.toMillis(), TimeUnit.MILLISECONDS);
            }
        }
        return respond(Map.of());
    }

    private CompletableFuture<ServerResponse> stop(ServerRequest request) {
        JsonNode body = read(request);
        finish(new TaskRun(body.path("task").asText(), body.path("run").asInt()), "stopped");
        return respond(Map.of());
    }

    private synchronized void finish(TaskRun taskRun, String outcome) {
        if (runningTasks.remove(taskRun) != null) {
            lastSequenceNumber++;
            finishedRuns.put(
                    lastSequenceNumber, List.of(lastSequenceNumber, taskRun.task(), taskRun.run(), outcome, ""));
            List.copyOf(waitingRenewals).forEach(renewal -> renewal.complete(null));
            waitingRenewals.clear();
        }
    }

    /**
     * Responds when a run has finished that is not acknowledged yet, or when the wait that the request allows is over.
     */
    private CompletableFuture<ServerResponse> renewLease(ServerRequest request) {
        JsonNode body = read(request);
        CompletableFuture<Void> runFinished = new CompletableFuture<>();
        synchronized (this) {
            long acknowledged = body.path("ackedThrough").asLong();
            finishedRuns.keySet().removeIf(sequenceNumber -> sequenceNumber <= acknowledged);
            if (finishedRuns.isEmpty() && body.path("waitMs").asLong() > 0) {
                waitingRenewals.add(runFinished);
            } else {
                runFinished.complete(null);
            }
        }
        return runFinished
                .completeOnTimeout(null, body.path("waitMs").asLong(), TimeUnit.MILLISECONDS)
                .thenCompose(ignored -> taskListing());
    }

    /** Responds with the running tasks, each as half done, and the finished runs that are not acknowledged yet. */
    private synchronized CompletableFuture<ServerResponse> taskListing() {
        List<List<Object>> rows = new ArrayList<>();
        runningTasks.keySet().forEach(taskRun -> rows.add(List.of(taskRun.task(), taskRun.run(), "", 50, 0)));
        return respond(Map.of("running", rows, "finished", List.copyOf(finishedRuns.values())));
    }

    private CompletableFuture<ServerResponse> respond(Map<String, Object> content) {
        Map<String, Object> body = new HashMap<>(content);
        body.put("clockMs", System.currentTimeMillis() - startedAtMillis);
        body.put("born", startedAtMillis);
        return CompletableFuture.completedFuture(ServerResponse.json(OK, body));
    }

    private static JsonNode read(ServerRequest request) {
        try {
            return JSON.readTree(new String(request.body(), StandardCharsets.UTF_8));
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }

    private static byte[] write(Object content) {
        try {
            return JSON.writeValueAsBytes(content);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }
}
