package second;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for a worker: keeps leases, fence numbers, run numbers, ends and incarnations as PROTOCOL.md says.
 *
 * <p>The text of a task tells how long it runs: {@code ms=1500}. Every start and end goes to the journal.
 *
 * <p>Arguments: listen address, control address of the agent, id, service, zone, journal file.
 */
public final class WorkerServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MILLIS = 1000;
    private static final long BEAT_MILLIS = 1500;
    private static final int ENDS_AT_A_TIME = 500;

    private record Run(int number, long endsAtMillis) {}

    private final long startNanos = System.nanoTime();
    private final long bornMillis = System.currentTimeMillis();
    private final String id;
    private final PrintWriter journal;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final TreeMap<Long, List<Object>> ends = new TreeMap<>();
    private long lastEnd;
    private long highestFence;
    private long leaseUntilMillis;

    private WorkerServer(String id, Path journal) throws IOException {
        this.id = id;
        this.journal = new PrintWriter(
                Files.newBufferedWriter(journal, StandardOpenOption.CREATE, StandardOpenOption.APPEND), true);
    }

    public static void main(String[] arguments) throws Exception {
        String[] listen = arguments[0].split(":");
        WorkerServer worker = new WorkerServer(arguments[2], Path.of(arguments[5]));
        HttpServer server =
                HttpServer.create(new InetSocketAddress(listen[0], Integer.parseInt(listen[1])), 50);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/run-start", exchange -> worker.serve(exchange, worker::start));
        server.createContext("/run-stop", exchange -> worker.serve(exchange, worker::stop));
        server.createContext("/hold", exchange -> worker.serve(exchange, worker::hold));
        server.start();
        worker.log("UP", "-", 0, "");
        Thread clock = new Thread(worker::watchRuns, "runs");
        clock.setDaemon(true);
        clock.start();
        worker.beat(arguments[0], arguments[1], arguments[3], arguments[4]);
    }

    private interface Call {
        /** Returns the status, and fills in the response. */
        int answer(JsonNode request, Map<String, Object> response);
    }

    private void serve(HttpExchange exchange, Call call) throws IOException {
        JsonNode request = JSON.readTree(exchange.getRequestBody().readAllBytes());
        String intended = exchange.getRequestHeaders().getFirst("Expect-Instance");
        Map<String, Object> response = new HashMap<>();
        int status = intended != null && !intended.equals(id) ? 421 : call.answer(request, response);
        response.put("clockMs", clockMillis());
        byte[] body = JSON.writeValueAsBytes(response);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static int conflict(Map<String, Object> response, String reason) {
        response.put("reason", reason);
        return 409;
    }

    /** Returns whether a call with this fence number is to be carried out. */
    private boolean passesFence(JsonNode request) {
        long fence = request.path("fencingToken").asLong();
        highestFence = Math.max(highestFence, fence);
        return fence >= highestFence;
    }

    private void extendLease(long untilMillis) {
        leaseUntilMillis = Math.max(leaseUntilMillis, Math.min(untilMillis, clockMillis() + HOLD_MAX_MILLIS));
    }

    private synchronized int start(JsonNode request, Map<String, Object> response) {
        String task = request.path("task").asText();
        int number = request.path("run").asInt();
        long untilMillis = request.path("untilMs").asLong();
        if (!passesFence(request)) {
            return conflict(response, "fence");
        }
        if (untilMillis <= clockMillis()) {
            return conflict(response, "late");
        }
        extendLease(untilMillis);
        Run present = running.get(task);
        if (present != null && present.number == number) {
            return 200;
        }
        if (number <= highestEnded.getOrDefault(task, 0) || present != null) {
            return conflict(response, "old");
        }
        String specification = request.path("spec").asText();
        long duration = Long.parseLong(specification.replaceAll(".*ms=([0-9]+).*", "$1"));
        running.put(task, new Run(number, clockMillis() + duration));
        log("START", task, number, specification);
        return 200;
    }

    private synchronized int stop(JsonNode request, Map<String, Object> response) {
        if (!passesFence(request)) {
            return conflict(response, "fence");
        }
        String task = request.path("task").asText();
        int number = request.path("run").asInt();
        Run present = running.get(task);
        if (present != null && present.number <= number) {
            end(task, "stopped");
        }
        highestEnded.merge(task, number, Math::max);
        return 200;
    }

    private synchronized int hold(JsonNode request, Map<String, Object> response) {
        if (!passesFence(request)) {
            return conflict(response, "fence");
        }
        ends.headMap(request.path("ackedThrough").asLong(), true).clear();
        if (request.has("untilMs")) {
            extendLease(request.path("untilMs").asLong());
        }
        long answerBy = clockMillis() + request.path("waitMs").asLong();
        while (ends.isEmpty() && clockMillis() < answerBy) {
            await(answerBy - clockMillis());
        }
        List<Object> runs = new ArrayList<>();
        running.forEach((task, run) -> runs.add(List.of(task, run.number, "", 50, 0)));
        response.put("running", runs);
        response.put("finished", ends.values().stream().limit(ENDS_AT_A_TIME).toList());
        response.put("born", bornMillis);
        return 200;
    }

    private void end(String task, String how) {
        Run run = running.remove(task);
        highestEnded.merge(task, run.number, Math::max);
        lastEnd++;
        ends.put(lastEnd, List.of(lastEnd, task, run.number, how, ""));
        log("END", task, run.number, how);
        notifyAll();
    }

    private synchronized void watchRuns() {
        while (true) {
            long now = clockMillis();
            List.copyOf(running.entrySet()).stream()
                    .filter(run -> run.getValue().endsAtMillis <= now)
                    .forEach(run -> end(run.getKey(), "done"));
            if (now > leaseUntilMillis) {
                List.copyOf(running.keySet()).forEach(task -> end(task, "lapsed"));
            }
            await(2);
        }
    }

    private void await(long millis) {
        try {
            wait(Math.max(1, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private long clockMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private synchronized void log(String event, String task, int run, String detail) {
        journal.println(System.currentTimeMillis() + " " + id + " " + event + " " + task + " " + run + " " + detail);
    }

    private void beat(String address, String agent, String service, String zone) throws Exception {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build();
        for (long sequence = 1; ; sequence++) {
            Map<String, Object> body = new HashMap<>(Map.of(
                    "service", service, "address", address, "zone", zone, "version", "v1", "slots", 8, "state", "ready"));
            body.put("coldLeftMs", 0);
            body.put("capacity", Map.of("cpu", 16_000, "memMb", 32_768, "gpu", 0));
            body.put("labels", List.of("a", "r1-1"));
            body.put("clockMs", clockMillis());
            body.put("sequence", sequence);
            body.put("born", bornMillis);
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + agent + "/Instances.Heartbeat/" + id))
                    .timeout(Duration.ofSeconds(1))
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(body), StandardCharsets.UTF_8))
                    .build();
            try {
                client.send(request, HttpResponse.BodyHandlers.discarding());
                Thread.sleep(BEAT_MILLIS);
            } catch (IOException notReached) {
                Thread.sleep(200);
            }
        }
    }
}
