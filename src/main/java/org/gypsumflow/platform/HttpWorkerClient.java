package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.traffic.WorkerClient;

/** Calls the worker beside an agent over HTTP. */
public final class HttpWorkerClient implements WorkerClient {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    /** Longest wait for an answer to a start or a stop; the call stays on one machine and takes a few milliseconds. */
    private static final Duration ANSWER_WITHIN = Duration.ofMillis(400);

    private static final Map<String, String> JSON_BODY = Map.of("Content-Type", "application/json");

    private final HttpClient caller;
    private final String baseUrl;

    private HttpWorkerClient(HttpClient caller, String address) {
        this.caller = caller;
        this.baseUrl = "http://" + address;
    }

    /**
     * Creates the client.
     *
     * @param caller sends the calls
     * @param address where the worker takes calls, as {@code host:port}
     * @return the client
     */
    public static HttpWorkerClient create(HttpClient caller, String address) {
        return new HttpWorkerClient(caller, address);
    }

    @Override
    public CompletableFuture<StartResponse> start(
            BestEffortTaskId task, RunNumber run, String specification, long leaseUntilMillis, long fencingToken) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("task", BestEffortTaskIdFormat.format(task));
        body.put("run", run.value());
        body.put("spec", specification);
        body.put("untilMs", leaseUntilMillis);
        body.put("fencingToken", fencingToken);
        return post("/run-start", body, ANSWER_WITHIN).thenApply(HttpWorkerClient::parseStartResponse);
    }

    @Override
    public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber run, long fencingToken) {
        Map<String, Object> body =
                Map.of("task", BestEffortTaskIdFormat.format(task), "run", run.value(), "fencingToken", fencingToken);
        return post("/run-stop", body, ANSWER_WITHIN).thenAccept(answer -> requireOk(answer, "a stop"));
    }

    @Override
    public CompletableFuture<TaskListing> renew(LeaseRenewal renewal) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("fencingToken", renewal.fencingToken());
        body.put("ackedThrough", renewal.acknowledgedThrough());
        if (renewal.leaseUntilMillis() >= 0) {
            body.put("untilMs", renewal.leaseUntilMillis());
        }
        if (!renewal.maxWait().isZero()) {
            body.put("waitMs", renewal.maxWait().toMillis());
        }
        return post("/hold", body, ANSWER_WITHIN.plus(renewal.maxWait())).thenApply(answer -> {
            requireOk(answer, "a renewal");
            return parseTaskListing(Json.parseObject(answer.body()));
        });
    }

    static StartResponse parseStartResponse(ClientResponse answer) {
        JsonNode body = answer.body().length == 0 ? null : Json.parseObject(answer.body());
        long clock = body != null && body.path("clockMs").isIntegralNumber()
                ? body.path("clockMs").longValue()
                : -1;
        if (answer.status() == OK) {
            return new StartResponse(StartStatus.STARTED, clock);
        }
        if (answer.status() != CONFLICT || body == null) {
            return new StartResponse(StartStatus.REFUSED, clock);
        }
        StartStatus reply =
                switch (body.path("reason").asText()) {
                    case "fence" -> StartStatus.FENCED;
                    case "old" -> StartStatus.OLD_RUN;
                    case "late" -> StartStatus.TOO_LATE;
                    case "room" -> StartStatus.NO_ROOM;
                    default -> StartStatus.REFUSED;
                };
        return new StartResponse(reply, clock);
    }

    static TaskListing parseTaskListing(JsonNode body) {
        List<RunningTask> running = new ArrayList<>();
        for (JsonNode row : body.path("running")) {
            running.add(new RunningTask(
                    BestEffortTaskIdFormat.parse(row.path(0).asText()),
                    RunNumber.of(row.path(1).asInt()),
                    row.path(3).asInt()));
        }
        List<FinishedTask> finished = new ArrayList<>();
        for (JsonNode row : body.path("finished")) {
            finished.add(new FinishedTask(
                    row.path(0).asLong(),
                    BestEffortTaskIdFormat.parse(row.path(1).asText()),
                    RunNumber.of(row.path(2).asInt()),
                    ending(row.path(3).asText())));
        }
        return new TaskListing(
                Json.integerOrZero(body, "born"), Json.requiredInteger(body, "clockMs"), running, finished);
    }

    private static RunOutcome ending(String how) {
        return switch (how) {
            case "done" -> RunOutcome.DONE;
            case "failed" -> RunOutcome.FAILED;
            default -> RunOutcome.LOST;
        };
    }

    private static void requireOk(ClientResponse answer, String call) {
        Check.isTrue(answer.status() == OK, call, "was answered with status " + answer.status());
    }

    private CompletableFuture<ClientResponse> post(String path, Map<String, Object> body, Duration timeout) {
        return caller.post(baseUrl + path, JSON_BODY, Json.toBytes(body), timeout);
    }
}
