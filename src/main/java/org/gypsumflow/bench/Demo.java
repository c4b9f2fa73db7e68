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

/** Runs the demonstration against running processes and checks what they promise. */
public final class Demo {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_STARTED = 2;
    private static final int TASKS = 180;
    private static final int WARM_UP_JOBS = 5;
    private static final int TASK_MILLIS = 100;
    private static final int SLOTS = 8;
    private static final int ONE_WAY_MILLIS = 1;
    private static final int OK = 200;
    private static final long PAUSE_MILLIS = 100;
    private static final Duration START_LIMIT = Duration.ofSeconds(40);
    private static final Duration CLOSING_BOUND = Duration.ofSeconds(3);
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(15);
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

    private final HttpClient caller = HttpClient.create();
    private boolean broken;

    private Demo() {}

    /**
     * Runs the demonstration.
     *
     * @param arguments options of the command line
     */
    public static void main(String[] arguments) {
        Demo demo = new Demo();
        try {
            new CmdLineParser(demo).parseArgument(arguments);
        } catch (CmdLineException wrong) {
            System.err.println(wrong.getMessage());
            System.exit(EXIT_NOT_STARTED);
        }
        System.exit(demo.run());
    }

    private int run() {
        if (!await(START_LIMIT, () -> isReady(first) && isReady(second))) {
            System.out.println("the system did not start within " + START_LIMIT.toSeconds() + " s");
            return EXIT_NOT_STARTED;
        }
        String key = "demo-" + System.currentTimeMillis();
        for (int index = 0; index < WARM_UP_JOBS; index++) {
            long warmUpBegin = System.nanoTime();
            runJob(first, key + "-warm-up-" + index);
            System.out.printf("warm-up job %d: %.0f ms%n", index, (System.nanoTime() - warmUpBegin) / 1e6);
        }
        long begin = System.nanoTime();
        JsonNode answer = runJob(first, key);
        double millis = (System.nanoTime() - begin) / 1e6;
        TaskStartJournal journal = TaskStartJournal.in(journals);
        int before = journal.readStarts().size();
        System.out.printf(
                "job of %d tasks at the first entry: %s, %d answers%n",
                TASKS, answer.path("verdict").asText(), answer.path("tasks").size());
        check("the answer is complete", isComplete(answer));
        JsonNode again = runJob(second, key);
        check("the same key at the second entry gives the same answer", again.equals(answer));
        check("the resubmission starts nothing", journal.readStarts().size() == before);
        drain();
        long closedAt = System.currentTimeMillis() + CLOSING_BOUND.toMillis();
        await(CLOSING_BOUND, () -> false);
        JsonNode drained = runJob(second, key + "-drained");
        check("a job during the drain is complete", isComplete(drained));
        long late = journal.readStarts().stream()
                .filter(start -> start.zone().equals(CLOSED_ZONE) && start.atMillis() > closedAt)
                .count();
        System.out.printf(
                "starts in zone %s after the confirmation plus %d ms: %d%n",
                CLOSED_ZONE, CLOSING_BOUND.toMillis(), late);
        check("nothing starts in the closed zone", late == 0);
        killSecondEntry(journal, key + "-killed");
        int most = journal.countStartsPerTask().values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        System.out.printf(
                "starts: %d, most starts of one task: %d%n",
                journal.readStarts().size(), most);
        check("no task starts twice", most == 1);
        double ideal = Math.ceil((double) TASKS / (workers * SLOTS)) * TASK_MILLIS + 2 * ONE_WAY_MILLIS;
        System.out.printf(
                "response time: %.0f ms, ideal on idle workers %.0f ms, ratio %.2f%n", millis, ideal, millis / ideal);
        System.out.println(broken ? "a promise broke" : "all promises checked here held");
        return broken ? EXIT_BROKEN : 0;
    }

    /** Kills the second entry while it runs a job, and sends the job again to the first. */
    private void killSecondEntry(TaskStartJournal journal, String key) {
        int before = journal.readStarts().size();
        CompletableFuture<HttpClient.ClientResponse> lost = sendJob(second, key);
        await(START_LIMIT, () -> journal.readStarts().size() > before);
        ProcessHandle.of(secondProcess).ifPresent(ProcessHandle::destroyForcibly);
        JsonNode answer = runJob(first, key);
        String verdict = answer.path("verdict").asText();
        boolean answered = lost.handle((content, failure) -> failure == null).join();
        System.out.printf(
                "second entry killed with a job in flight (answered: %s); sent again: %s%n", answered, verdict);
        check(
                "the job sent again is whole or says that it may have run",
                isComplete(answer) || verdict.equals("MAY_HAVE_RUN"));
    }

    private void drain() {
        JsonNode plan = command(first, "plans", Map.of("intent", "drain " + CLOSED_ZONE), operator());
        System.out.println("plan " + plan.path("plan").asText() + ": "
                + plan.path("intent").asText());
        plan.path("steps").forEach(step -> System.out.println("  will: " + step.asText()));
        plan.path("risks").forEach(risk -> System.out.println("  risk: " + risk.asText()));
        String id = plan.path("plan").asText();
        JsonNode confirmed = command(first, "confirmations", Map.of("plan", id), operator());
        check("the plan is accepted", confirmed.path("standing").asText().equals("ACCEPTED"));
        boolean inForce = await(IN_FORCE_LIMIT, () -> !outcome(id).path("done").isEmpty());
        check("the outcome says that the plan is in force", inForce);
        outcome(id)
                .path("done")
                .forEach(step ->
                        System.out.println("  done: " + step.path("detail").asText()));
    }

    private JsonNode outcome(String plan) {
        return json(caller.get(second + "/v1/queries/plans/" + plan, operator(), CALL_TIMEOUT));
    }

    private JsonNode runJob(String entry, String key) {
        return json(sendJob(entry, key));
    }

    private CompletableFuture<HttpClient.ClientResponse> sendJob(String entry, String key) {
        StringBuilder tasks = new StringBuilder();
        for (int index = 0; index < TASKS; index++) {
            tasks.append(index == 0 ? "" : ",")
                    .append("{\"payload\":\"")
                    .append(TASK_MILLIS)
                    .append("\"}");
        }
        String body = "{\"service\":\"bookings\",\"timeoutMillis\":30000,\"tasks\":[" + tasks + "]}";
        Map<String, String> headers = Map.of("Authorization", "Bearer demo-caller-token", "Idempotency-Key", key);
        return caller.post(entry + "/v1/commands/jobs", headers, body.getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT);
    }

    private boolean isReady(String entry) {
        try {
            JsonNode status = json(caller.get(entry + "/v1/queries/workers", operator(), CALL_TIMEOUT));
            long open = 0;
            for (JsonNode worker : status.path("workers")) {
                open += worker.path("standing").asText().equals("open") ? 1 : 0;
            }
            HttpClient.ClientResponse ready =
                    caller.get(entry + "/health/ready", Map.of(), CALL_TIMEOUT).join();
            return open == workers && ready.status() == OK;
        } catch (CompletionException notYet) {
            return false;
        }
    }

    private static boolean isComplete(JsonNode answer) {
        return answer.path("verdict").asText().equals("COMPLETED")
                && answer.path("tasks").size() == TASKS;
    }

    private JsonNode command(String entry, String path, Map<String, String> body, Map<String, String> headers) {
        try {
            return json(
                    caller.post(entry + "/v1/commands/" + path, headers, JSON.writeValueAsBytes(body), CALL_TIMEOUT));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static Map<String, String> operator() {
        return new HashMap<>(Map.of("Authorization", "Bearer demo-operator-token"));
    }

    private static JsonNode json(CompletableFuture<HttpClient.ClientResponse> answer) {
        try {
            return JSON.readTree(answer.join().body());
        } catch (IOException garbage) {
            throw new UncheckedIOException(garbage);
        }
    }

    private void check(String promise, boolean held) {
        System.out.println((held ? "  held:  " : "  BROKE: ") + promise);
        broken |= !held;
    }

    private static boolean await(Duration limit, BooleanSupplier condition) {
        long deadline = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() - deadline < 0) {
            if (condition.getAsBoolean()) {
                return true;
            }
            CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS))
                    .join();
        }
        return condition.getAsBoolean();
    }
}
