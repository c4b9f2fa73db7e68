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

/** A small stand-in for a worker of the platform: runs each task for a fixed time and remembers every start. */
public final class WorkerStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private record Key(String task, int run) {}

    private final Duration runTime;
    private final GrizzlyHttpServer front;
    private final HttpClient caller = HttpClient.create(1);
    private final int port;
    private final long bornMillis = System.currentTimeMillis();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(action -> {
        Thread thread = new Thread(action, "worker-stand-in");
        thread.setDaemon(true);
        return thread;
    });
    private final List<String> starts = new ArrayList<>();
    private final Map<Key, Boolean> running = new HashMap<>();
    private final Map<Long, List<Object>> finished = new HashMap<>();
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private long ends;
    private long sequence;

    private WorkerStandIn(String host, Duration runTime) {
        this.runTime = runTime;
        this.front = GrizzlyHttpServer.create(host, 0, 1, (event, details) -> {});
        front.addHandler("POST", "/run-start", this::start)
                .addHandler("POST", "/run-stop", this::stop)
                .addHandler("POST", "/hold", this::hold);
        this.port = front.start();
    }

    /**
     * Starts a stand-in.
     *
     * @param host IP number to listen on
     * @param runTime how long a task runs
     * @return the stand-in
     */
    public static WorkerStandIn start(String host, Duration runTime) {
        return new WorkerStandIn(host, runTime);
    }

    /**
     * Returns the port on which it takes orders.
     *
     * @return the TCP port
     */
    public int port() {
        return port;
    }

    /**
     * Returns the names of all tasks that were started, in order.
     *
     * @return the names
     */
    public synchronized List<String> startedTasks() {
        return List.copyOf(starts);
    }

    /**
     * Reports itself to an agent.
     *
     * @param url where the agent takes reports
     * @param service its service
     * @param zone its availability zone
     * @param state "ready" or "draining"
     * @return completes with the status of the answer
     */
    public CompletableFuture<Integer> report(String url, String service, String zone, String state) {
        Map<String, Object> body = new HashMap<>(
                Map.of("service", service, "address", "127.0.0.1:" + port, "zone", zone, "state", state, "slots", 8));
        body.put("capacity", Map.of("cpu", 32_000, "memMb", 131_072, "gpu", 0));
        body.put("labels", List.of("a", "r1-1"));
        body.put("born", bornMillis);
        body.put("sequence", ++sequence);
        return caller.post(
                        url + "/Instances.Heartbeat/i-1",
                        Map.of("Content-Type", "application/json"),
                        write(body),
                        CALL_TIMEOUT)
                .thenApply(HttpClient.ClientResponse::status);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        front.close();
        caller.close();
    }

    private CompletableFuture<ServerResponse> start(ServerRequest call) {
        JsonNode body = read(call);
        Key key = new Key(body.path("task").asText(), body.path("run").asInt());
        synchronized (this) {
            if (running.putIfAbsent(key, true) == null) {
                starts.add(key.task());
                timer.schedule(() -> end(key, "done"), runTime.toMillis(), TimeUnit.MILLISECONDS);
            }
        }
        return answer(Map.of());
    }

    private CompletableFuture<ServerResponse> stop(ServerRequest call) {
        JsonNode body = read(call);
        end(new Key(body.path("task").asText(), body.path("run").asInt()), "stopped");
        return answer(Map.of());
    }

    private synchronized void end(Key key, String how) {
        if (running.remove(key) != null) {
            ends++;
            finished.put(ends, List.of(ends, key.task(), key.run(), how, ""));
            List.copyOf(waiting).forEach(each -> each.complete(null));
            waiting.clear();
        }
    }

    private CompletableFuture<ServerResponse> hold(ServerRequest call) {
        JsonNode body = read(call);
        CompletableFuture<Void> ready = new CompletableFuture<>();
        synchronized (this) {
            long acknowledged = body.path("ackedThrough").asLong();
            finished.keySet().removeIf(number -> number <= acknowledged);
            if (finished.isEmpty() && body.path("waitMs").asLong() > 0) {
                waiting.add(ready);
            } else {
                ready.complete(null);
            }
        }
        return ready.completeOnTimeout(null, body.path("waitMs").asLong(), TimeUnit.MILLISECONDS)
                .thenCompose(nothing -> account());
    }

    private synchronized CompletableFuture<ServerResponse> account() {
        List<List<Object>> rows = new ArrayList<>();
        running.keySet().forEach(key -> rows.add(List.of(key.task(), key.run(), "", 50, 0)));
        return answer(Map.of("running", rows, "finished", List.copyOf(finished.values())));
    }

    private CompletableFuture<ServerResponse> answer(Map<String, Object> content) {
        Map<String, Object> body = new HashMap<>(content);
        body.put("clockMs", System.currentTimeMillis() - bornMillis);
        body.put("born", bornMillis);
        return CompletableFuture.completedFuture(ServerResponse.json(OK, body));
    }

    private static JsonNode read(ServerRequest call) {
        try {
            return JSON.readTree(new String(call.body(), StandardCharsets.UTF_8));
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
