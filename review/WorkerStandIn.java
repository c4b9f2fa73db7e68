package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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

/**
 * Stand-in for a worker: it starts and stops tasks, keeps the lease, lists what runs and what has ended, and reports itself
 * to its agent: every heartbeat interval, and again soon if a report was not acknowledged. A task takes as long as its
 * specification says, as in "ms=2000".
 */
final class WorkerStandIn {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MILLIS = 1000;
    private static final long HEARTBEAT_MILLIS = 1500;
    private static final long REPORT_AGAIN_MILLIS = 100;
    private static final long EXPIRY_CHECK_MILLIS = 2;
    private static final long STOP_MILLIS = 20;
    private static final long LATE_MILLIS = 2000;

    /** One run of a task, with the seconds of the record at which it began and ended. */
    static final class Run {
        final String worker;
        final String task;
        final int number;
        final double startedSeconds;
        volatile double endedSeconds = Double.POSITIVE_INFINITY;
        private long endsAtMillis;

        private Run(String worker, String task, int number, double startedSeconds) {
            this.worker = worker;
            this.task = task;
            this.number = number;
            this.startedSeconds = startedSeconds;
        }
    }

    final String id;
    private final String zone;
    private final String service;
    private final int cpu;
    private final int reportsPort;
    private final Record record;
    private final List<Run> history;
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    private HttpServer server;
    final int port;

    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<Object[]> finished = new ArrayList<>();
    private long born;
    private long bornNanos;
    private long sequence;
    private long endNumber;
    private long highestToken;
    private long leaseUntilMillis;
    private volatile long lastReportNanos;
    private String lateTask = "";
    private int lateOrdersLeft;

    WorkerStandIn(
            String id, String zone, String service, int cpu, int reportsPort, Record record, List<Run> history)
            throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.cpu = cpu;
        this.reportsPort = reportsPort;
        this.record = record;
        this.history = history;
        this.born = System.currentTimeMillis();
        this.bornNanos = System.nanoTime();
        this.server = Http.start(0, this::handle);
        this.port = server.getAddress().getPort();
        loop(() -> {
            expire();
            return EXPIRY_CHECK_MILLIS;
        });
        loop(() -> report() ? HEARTBEAT_MILLIS : REPORT_AGAIN_MILLIS);
    }

    /** Milliseconds until the next report of the worker about itself. */
    long untilNextReportMillis() {
        return HEARTBEAT_MILLIS - (System.nanoTime() - lastReportNanos) / 1_000_000;
    }

    /** Milliseconds until the lease ends. */
    synchronized long leaseLeftMillis() {
        return leaseUntilMillis - clockMillis();
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
        switch (exchange.getRequestURI().getPath()) {
            case "/run-start" -> {
                String reason = start(body);
                Http.respond(
                        exchange,
                        reason.isEmpty() ? 200 : 409,
                        reason.isEmpty() ? clock() + "}" : clock() + ",\"reason\":\"" + reason + "\"}");
            }
            case "/run-stop" -> {
                if (isCarriedOutLate(body)) {
                    pause(LATE_MILLIS);
                    stop(body);
                    endStopped(body.path("task").asText(), body.path("run").asInt());
                    return;
                }
                boolean fenced = stop(body);
                pause(STOP_MILLIS);
                endStopped(body.path("task").asText(), body.path("run").asInt());
                Http.respond(exchange, fenced ? 409 : 200, fenced ? clock() + ",\"reason\":\"fence\"}" : clock() + "}");
            }
            case "/hold" -> hold(exchange, body);
            default -> Http.respond(exchange, 404, "{}");
        }
    }

    /** The next stop orders for one of the tasks of a job that run get no answer, and are carried out late. */
    synchronized void carryOutLate(String job, int orders) {
        lateTask = running.keySet().stream()
                .filter(task -> task.startsWith(job + "."))
                .findFirst()
                .orElseThrow();
        lateOrdersLeft = orders;
    }

    private synchronized boolean isCarriedOutLate(JsonNode body) {
        String task = body.path("task").asText();
        boolean late = task.equals(lateTask) && lateOrdersLeft > 0;
        if (late) {
            lateOrdersLeft--;
        }
        record.add("worker " + id + " gets the order to stop " + task
                + (late ? ", does not answer and carries it out " + LATE_MILLIS + " ms later" : ""));
        return late;
    }

    private synchronized String clock() {
        return "{\"clockMs\":" + clockMillis() + ",\"born\":" + born;
    }

    private long clockMillis() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private boolean isFenced(JsonNode body) {
        long token = body.path("fencingToken").asLong();
        if (token < highestToken) {
            return true;
        }
        highestToken = token;
        return false;
    }

    private void extendLease(JsonNode body) {
        if (body.has("untilMs")) {
            long until = Math.min(body.path("untilMs").asLong(), clockMillis() + HOLD_MAX_MILLIS);
            leaseUntilMillis = Math.max(leaseUntilMillis, until);
        }
    }

    private synchronized String start(JsonNode body) {
        if (isFenced(body)) {
            return "fence";
        }
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (body.path("untilMs").asLong() <= clockMillis()) {
            return "late";
        }
        Run current = running.get(task);
        if (current != null && current.number == number) {
            return "";
        }
        extendLease(body);
        if (current != null || number <= highestEnded.getOrDefault(task, 0)) {
            return "old";
        }
        if ((running.size() + 1) * 1000 > cpu) {
            return "room";
        }
        Run run = new Run(id, task, number, record.seconds());
        run.endsAtMillis = clockMillis() + Long.parseLong(body.path("spec").asText().replace("ms=", ""));
        running.put(task, run);
        synchronized (history) {
            history.add(run);
        }
        record.add("worker " + id + " starts " + task + " run " + number);
        return "";
    }

    private synchronized boolean stop(JsonNode body) {
        if (isFenced(body)) {
            return true;
        }
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        highestEnded.merge(task, number, Math::max);
        return false;
    }

    private synchronized void endStopped(String task, int number) {
        if (running.containsKey(task) && running.get(task).number <= number) {
            end(task, "stopped");
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void hold(HttpExchange exchange, JsonNode body) throws IOException {
        String response;
        synchronized (this) {
            if (isFenced(body)) {
                response = null;
            } else {
                extendLease(body);
                long acknowledged = body.path("ackedThrough").asLong();
                finished.removeIf(row -> (long) row[0] <= acknowledged);
                long deadline = System.nanoTime() + body.path("waitMs").asLong() * 1_000_000;
                while (finished.isEmpty() && deadline - System.nanoTime() > 1_000_000) {
                    try {
                        wait((deadline - System.nanoTime()) / 1_000_000);
                    } catch (InterruptedException interrupted) {
                        return;
                    }
                }
                List<Object> rows = new ArrayList<>();
                running.forEach((task, run) -> rows.add(new Object[] {task, run.number, "", 50, 1000}));
                response = clock() + ",\"running\":" + JSON.writeValueAsString(rows) + ",\"finished\":"
                        + JSON.writeValueAsString(finished) + "}";
            }
        }
        Http.respond(exchange, response == null ? 409 : 200, response == null ? clock() + ",\"reason\":\"fence\"}" : response);
    }

    private void end(String task, String how) {
        Run run = running.remove(task);
        run.endedSeconds = record.seconds();
        highestEnded.merge(task, run.number, Math::max);
        finished.add(new Object[] {++endNumber, task, run.number, how, ""});
        record.add("worker " + id + " ends " + task + " run " + run.number + ": " + how);
        notifyAll();
    }

    private synchronized void expire() {
        long now = clockMillis();
        List.copyOf(running.values()).forEach(run -> {
            if (now >= run.endsAtMillis) {
                end(run.task, "done");
            } else if (now >= leaseUntilMillis) {
                end(run.task, "lapsed");
            }
        });
    }

    private boolean report() {
        String body;
        synchronized (this) {
            lastReportNanos = System.nanoTime();
            body = clock() + ",\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":" + cpu
                    + ",\"memMb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"sequence\":" + ++sequence + "}";
        }
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + reportsPort + "/Instances.Heartbeat/" + id))
                    .timeout(Duration.ofSeconds(1))
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException unreachable) {
            return false;
        } catch (InterruptedException interrupted) {
            return false;
        }
    }

    /** Does something again and again, and returns after how many milliseconds the next time is due. */
    private interface Step {
        long run();
    }

    private static void loop(Step step) {
        Thread thread = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                pause(step.run());
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
