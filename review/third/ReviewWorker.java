import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A worker as the pages describe it, as a process of its own: fence numbers, one lease for all that runs, runs that are
 * never repeated, ends that are listed until they are acknowledged. It prints a line for each start and each end.
 *
 * <p>Arguments: host, port, id, service, zone, URL of the agent, and the number of cores in thousandths. The text of a
 * task says how long it works: {@code work=MILLIS}.
 */
public final class ReviewWorker {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MILLIS = 1000;
    private static final long HEARTBEAT_MILLIS = 1500;

    private record Run(String task, int number, long startedMillis, long workMillis) {}

    private final long bornMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEndedRun = new HashMap<>();
    private final TreeMap<Long, List<Object>> finished = new TreeMap<>();
    private long highestFence;
    private long leaseEndMillis;
    private long lastEnd;
    private long sequence;
    private volatile String state = "ready";

    public static void main(String[] arguments) throws Exception {
        new ReviewWorker().serve(arguments);
    }

    private void serve(String[] arguments) throws Exception {
        String host = arguments[0];
        int port = Integer.parseInt(arguments[1]);
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 128);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/run-start", exchange -> respond(exchange, this::start));
        server.createContext("/run-stop", exchange -> respond(exchange, this::stop));
        server.createContext("/hold", exchange -> respond(exchange, this::hold));
        server.start();
        say("up", bornMillis);
        Thread ticker = new Thread(() -> {
            while (true) {
                tick();
                sleep(2);
            }
        });
        ticker.start();
        report(arguments);
    }

    private void report(String[] arguments) {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build();
        int cpu = Integer.parseInt(arguments[6]);
        while (true) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("service", arguments[3]);
            body.put("address", arguments[0] + ":" + arguments[1]);
            body.put("zone", arguments[4]);
            body.put("version", "v1");
            body.put("slots", 8);
            body.put("state", state);
            body.put("coldLeftMs", 0);
            body.put("capacity", Map.of("cpu", cpu, "memMb", 131_072, "gpu", 0));
            body.put("labels", List.of("a", "r1-1"));
            body.put("clockMs", clockMillis());
            body.put("sequence", ++sequence);
            body.put("born", bornMillis);
            long pause = HEARTBEAT_MILLIS;
            try {
                HttpResponse<String> answer = client.send(
                        HttpRequest.newBuilder(URI.create(arguments[5] + "/Instances.Heartbeat/" + arguments[2]))
                                .header("Content-Type", "application/json")
                                .timeout(Duration.ofSeconds(1))
                                .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(body)))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() / 100 != 2) {
                    pause = 300;
                }
            } catch (IOException notAcknowledged) {
                pause = 300;
            } catch (InterruptedException ended) {
                return;
            }
            sleep(pause);
        }
    }

    private interface Handler {
        Object[] handle(JsonNode body) throws Exception;
    }

    private void respond(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
            JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
            Object[] answer;
            if (expected != null && !expected.contains(Long.toString(bornMillis))) {
                // How an incarnation is written there is not said; nothing in this project sends the header.
                answer = new Object[] {421, Map.of()};
            } else {
                answer = handler.handle(body);
            }
            Map<String, Object> content = new LinkedHashMap<>();
            content.put("clockMs", clockMillis());
            content.put("born", bornMillis);
            ((Map<?, ?>) answer[1]).forEach((name, value) -> content.put((String) name, value));
            byte[] bytes = JSON.writeValueAsBytes(content);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders((Integer) answer[0], bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException failure) {
            throw failure;
        } catch (Exception failure) {
            throw new IOException(failure);
        }
    }

    private static Object[] conflict(String reason) {
        return new Object[] {409, Map.of("reason", reason)};
    }

    private boolean isFenced(JsonNode body) {
        long fence = body.path("fencingToken").asLong(0);
        if (fence < highestFence) {
            return true;
        }
        highestFence = fence;
        return false;
    }

    private void extendLease(JsonNode body) {
        if (body.has("untilMs")) {
            long until = Math.min(body.path("untilMs").asLong(), clockMillis() + HOLD_MAX_MILLIS);
            leaseEndMillis = Math.max(leaseEndMillis, until);
        }
    }

    private synchronized Object[] start(JsonNode body) {
        expire();
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (isFenced(body)) {
            return conflict("fence");
        }
        extendLease(body);
        Run present = running.get(task + "/" + number);
        if (present != null) {
            return new Object[] {200, Map.of()};
        }
        if (number <= highestEndedRun.getOrDefault(task, 0)) {
            return conflict("old");
        }
        if (body.path("untilMs").asLong() <= clockMillis()) {
            return conflict("late");
        }
        String specification = body.path("spec").asText();
        long work = Long.parseLong(specification.replaceAll(".*work=(\\d+).*", "$1"));
        running.put(task + "/" + number, new Run(task, number, clockMillis(), work));
        say("start " + task + " " + number, System.currentTimeMillis());
        return new Object[] {200, Map.of()};
    }

    private synchronized Object[] stop(JsonNode body) {
        expire();
        if (isFenced(body)) {
            return conflict("fence");
        }
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        highestEndedRun.merge(task, number, Math::max);
        List.copyOf(running.values()).stream()
                .filter(run -> run.task().equals(task) && run.number() <= number)
                .forEach(run -> end(run, "stopped"));
        return new Object[] {200, Map.of()};
    }

    private synchronized Object[] hold(JsonNode body) throws InterruptedException {
        expire();
        if (isFenced(body)) {
            return conflict("fence");
        }
        extendLease(body);
        long acknowledged = body.path("ackedThrough").asLong();
        finished.headMap(acknowledged, true).clear();
        long waitUntil = clockMillis() + Math.min(2000, body.path("waitMs").asLong(0));
        while (finished.isEmpty() && clockMillis() < waitUntil) {
            wait(Math.max(1, waitUntil - clockMillis()));
        }
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(99, (clockMillis() - run.startedMillis()) * 100 / Math.max(1, run.workMillis()));
            rows.add(List.of(run.task(), run.number(), "", percent, 1000));
        }
        return new Object[] {200, Map.of("running", rows, "finished", List.copyOf(finished.values()))};
    }

    private synchronized void tick() {
        expire();
        long now = clockMillis();
        List.copyOf(running.values()).stream()
                .filter(run -> now - run.startedMillis() >= run.workMillis())
                .forEach(run -> end(run, "done"));
    }

    private synchronized void expire() {
        if (clockMillis() > leaseEndMillis) {
            List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task() + "/" + run.number());
        highestEndedRun.merge(run.task(), run.number(), Math::max);
        lastEnd++;
        finished.put(lastEnd, List.of(lastEnd, run.task(), run.number(), how, ""));
        say("end " + run.task() + " " + run.number() + " " + how, System.currentTimeMillis());
        notifyAll();
    }

    private long clockMillis() {
        return 1000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static void say(String what, long whenMillis) {
        System.out.println(whenMillis + " " + what);
        System.out.flush();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
