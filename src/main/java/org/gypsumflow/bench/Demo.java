package org.gypsumflow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.gypsumflow.http.HttpClient;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The demonstration: sends jobs to running processes, kills one of them, and checks what the system guarantees. */
public final class Demo {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EXIT_CHECK_FAILED = 1;
    private static final int EXIT_NOT_STARTED = 2;
    private static final int TASKS = 180;
    private static final int WARM_UP_JOBS = 5;
    private static final int TASK_MILLIS = 100;
    private static final int SLOTS = 8;
    private static final int ONE_WAY_LATENCY_MILLIS = 1;
    private static final int OK = 200;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration MAX_CLOSING_TIME = Duration.ofSeconds(3);
    private static final Duration APPLY_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(35);
    private static final String CLOSED_ZONE = "sofia";

    @Option(name = "--first", required = true, usage = "URL of the first entry")
    private String first;

    @Option(name = "--second", required = true, usage = "URL of the second entry")
    private String second;

    @Option(name = "--journals", required = true, usage = "folder of the targets' journals")
    private Path journals;

    @Option(name = "--workers", required = true, usage = "number of workers to wait for")
    private int workers;

    @Option(name = "--second-process", required = true, usage = "process id of the second entry, which will be killed")
    private long secondProcess;

    private final HttpClient httpClient = HttpClient.create();
    private boolean checkFailed;

    private Demo() {}

    /**
     * Runs the demonstration and exits with 0 if all checks pass, 1 if one fails, 2 if it could not start.
     *
     * @param arguments options of the command line
     */
    public static void main(String[] arguments) {
        Demo demo = new Demo();
        try {
            new CmdLineParser(demo).parseArgument(arguments);
        } catch (CmdLineException invalid) {
            System.err.println(invalid.getMessage());
            System.exit(EXIT_NOT_STARTED);
        }
        System.exit(demo.run());
    }

    private int run() {
        if (!await(START_TIMEOUT, () -> isReady(first) && isReady(second))) {
            System.out.println("the system did not start within " + START_TIMEOUT.toSeconds() + " s");
            return EXIT_NOT_STARTED;
        }
        String key = "demo-" + System.currentTimeMillis();
        for (int index = 0; index < WARM_UP_JOBS; index++) {
            long warmUpStartNanos = System.nanoTime();
            runJob(first, key + "-warm-up-" + index);
            System.out.printf("warm-up job %d: %.0f ms%n", index, (System.nanoTime() - warmUpStartNanos) / 1e6);
        }
        long startNanos = System.nanoTime();
        JsonNode response = runJob(first, key);
        double millis = (System.nanoTime() - startNanos) / 1e6;
        TaskStartJournal journal = TaskStartJournal.in(journals);
        int startsBefore = journal.readStarts().size();
        System.out.printf(
                "job of %d tasks at the first entry: %s, %d task outcomes%n",
                TASKS, response.path("verdict").asText(), response.path("tasks").size());
        check("the response is complete", isComplete(response));
        JsonNode resubmitted = runJob(second, key);
        check("the same key at the second entry gives the same response", resubmitted.equals(response));
        check("the resubmission starts nothing", journal.readStarts().size() == startsBefore);
        drainZone();
        long closedAt = System.currentTimeMillis() + MAX_CLOSING_TIME.toMillis();
        await(MAX_CLOSING_TIME, () -> false);
        JsonNode drained = runJob(second, key + "-drained");
        check("a job during the drain is complete", isComplete(drained));
        long lateStarts = journal.readStarts().stream()
                .filter(start -> start.zone().equals(CLOSED_ZONE) && start.atMillis() > closedAt)
                .count();
        System.out.printf(
                "starts in zone %s after the confirmation plus %d ms: %d%n",
                CLOSED_ZONE, MAX_CLOSING_TIME.toMillis(), lateStarts);
        check("nothing starts in the closed zone", lateStarts == 0);
        killSecondEntry(journal, key + "-killed");
        int maxStarts = journal.countStartsPerTask().values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        System.out.printf(
                "starts: %d, most starts of one task: %d%n",
                journal.readStarts().size(), maxStarts);
        check("no task starts twice", maxStarts == 1);
        double ideal = Math.ceil((double) TASKS / (workers * SLOTS)) * TASK_MILLIS + 2 * ONE_WAY_LATENCY_MILLIS;
        System.out.printf(
                "response time: %.0f ms, ideal on idle workers %.0f ms, ratio %.2f%n", millis, ideal, millis / ideal);
        System.out.println(checkFailed ? "a check failed" : "all checks passed");
        return checkFailed ? EXIT_CHECK_FAILED : 0;
    }

    /** Kills the second entry while it runs a job, and submits the job again to the first. */
    private void killSecondEntry(TaskStartJournal journal, String key) {
        int startsBefore = journal.readStarts().size();
        CompletableFuture<HttpClient.ClientResponse> killedEntryResponse = sendJob(second, key);
        await(START_TIMEOUT, () -> journal.readStarts().size() > startsBefore);
        ProcessHandle.of(secondProcess).ifPresent(ProcessHandle::destroyForcibly);
        JsonNode response = runJob(first, key);
        String verdict = response.path("verdict").asText();
        boolean responded = killedEntryResponse
                .handle((content, failure) -> failure == null)
                .join();
        System.out.printf(
                "second entry killed with an active job (responded: %s); submitted again: %s%n", responded, verdict);
        check(
                "the job submitted again is complete or says that it may have run",
                isComplete(response) || verdict.equals("MAY_HAVE_RUN"));
    }

    private void drainZone() {
        JsonNode plan = command(first, "plans", Map.of("intent", "drain " + CLOSED_ZONE), operatorHeaders());
        System.out.println("plan " + plan.path("plan").asText() + ": "
                + plan.path("intent").asText());
        plan.path("steps").forEach(step -> System.out.println("  will: " + step.asText()));
        plan.path("risks").forEach(risk -> System.out.println("  risk: " + risk.asText()));
        String id = plan.path("plan").asText();
        JsonNode confirmed = command(first, "confirmations", Map.of("plan", id), operatorHeaders());
        check("the plan is accepted", confirmed.path("standing").asText().equals("ACCEPTED"));
        boolean applied = await(APPLY_TIMEOUT, () -> !outcome(id).path("done").isEmpty());
        check("the outcome says that the plan is applied", applied);
        outcome(id)
                .path("done")
                .forEach(step ->
                        System.out.println("  done: " + step.path("detail").asText()));
    }

    private JsonNode outcome(String plan) {
        return json(httpClient.get(second + "/v1/queries/plans/" + plan, operatorHeaders(), CALL_TIMEOUT));
    }

    private JsonNode runJob(String entry, String key) {
        return json(sendJob(entry, key));
    }

    private CompletableFuture<HttpClient.ClientResponse> sendJob(String entry, String key) {
        StringBuilder tasksJson = new StringBuilder();
        for (int index = 0; index < TASKS; index++) {
            tasksJson
                    .append(index == 0 ? "" : ",")
                    .append("{\"payload\":\"")
                    .append(TASK_MILLIS)
                    .append("\"}");
        }
        String body = "{\"service\":\"bookings\",\"timeoutMillis\":30000,\"tasks\":[" + tasksJson + "]}";
        Map<String, String> headers = Map.of("Authorization", "Bearer demo-caller-token", "Idempotency-Key", key);
        return httpClient.post(
                entry + "/v1/commands/jobs", headers, body.getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT);
    }

    private boolean isReady(String entry) {
        try {
            JsonNode status = json(httpClient.get(entry + "/v1/queries/workers", operatorHeaders(), CALL_TIMEOUT));
            long open = 0;
            for (JsonNode worker : status.path("workers")) {
                open += worker.path("standing").asText().equals("open") ? 1 : 0;
            }
            HttpClient.ClientResponse ready = httpClient
                    .get(entry + "/health/ready", Map.of(), CALL_TIMEOUT)
                    .join();
            return open == workers && ready.status() == OK;
        } catch (CompletionException notYet) {
            return false;
        }
    }

    private static boolean isComplete(JsonNode response) {
        return response.path("verdict").asText().equals("COMPLETED")
                && response.path("tasks").size() == TASKS;
    }

    private JsonNode command(String entry, String path, Map<String, String> body, Map<String, String> headers) {
        try {
            return json(httpClient.post(
                    entry + "/v1/commands/" + path, headers, JSON.writeValueAsBytes(body), CALL_TIMEOUT));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static Map<String, String> operatorHeaders() {
        return new HashMap<>(Map.of("Authorization", "Bearer demo-operator-token"));
    }

    private static JsonNode json(CompletableFuture<HttpClient.ClientResponse> response) {
        try {
            return JSON.readTree(response.join().body());
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }

    private void check(String guarantee, boolean passed) {
        System.out.println((passed ? "  passed: " : "  FAILED: ") + guarantee);
        checkFailed |= !passed;
    }

    private static boolean await(Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() - deadline < 0) {
            if (condition.getAsBoolean()) {
                return true;
            }
            CompletableFuture.runAsync(
                            () -> {}, CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS))
                    .join();
        }
        return condition.getAsBoolean();
    }
}
