package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RunNumber;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerProtocol.FinishedTask;
import org.gypsumflow.model.WorkerProtocol.LeaseRenewal;
import org.gypsumflow.model.WorkerProtocol.RunningTask;
import org.gypsumflow.model.WorkerProtocol.StartResponse;
import org.gypsumflow.model.WorkerProtocol.StartStatus;
import org.gypsumflow.model.WorkerProtocol.TaskListing;
import org.gypsumflow.traffic.WorkerClient;

/** Client of the worker that runs on the agent's host, over HTTP. */
public final class HttpWorkerClient implements WorkerClient {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int MAX_PERCENT = 100;
    /** Timeout of a start or a stop; the request stays on one machine and takes a few milliseconds. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);

    private static final Map<String, String> JSON_BODY = Map.of("Content-Type", "application/json");

    private final HttpClient httpClient;
    private final String baseUrl;
    private final EventLog events;

    private HttpWorkerClient(HttpClient httpClient, String address, EventLog events) {
        this.httpClient = httpClient;
        this.baseUrl = "http://" + address;
        this.events = events;
    }

    /**
     * Creates a client of one worker.
     *
     * @param httpClient sends the requests; it is not closed by this client
     * @param address address of the worker's HTTP server, as {@code host:port}
     * @param events receives an event for each listed task that this system cannot have started
     * @return the client
     */
    public static HttpWorkerClient create(HttpClient httpClient, String address, EventLog events) {
        return new HttpWorkerClient(httpClient, address, events);
    }

    @Override
    public CompletableFuture<StartResponse> start(
            BestEffortTaskId task,
            RunNumber runNumber,
            String specification,
            long leaseUntilMillis,
            long fencingToken) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("task", BestEffortTaskIdFormat.format(task));
        body.put("run", runNumber.value());
        body.put("spec", specification);
        body.put("untilMs", leaseUntilMillis);
        body.put("fencingToken", fencingToken);
        return post("/run-start", body, RESPONSE_TIMEOUT).thenApply(HttpWorkerClient::parseStartResponse);
    }

    @Override
    public CompletableFuture<Void> stop(BestEffortTaskId task, RunNumber runNumber, long fencingToken) {
        Map<String, Object> body = Map.of(
                "task", BestEffortTaskIdFormat.format(task), "run", runNumber.value(), "fencingToken", fencingToken);
        return post("/run-stop", body, RESPONSE_TIMEOUT)
                .thenAccept(response -> requireAccepted(response, "stop request"));
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
        return post("/hold", body, RESPONSE_TIMEOUT.plus(renewal.maxWait())).thenApply(response -> {
            requireAccepted(response, "lease renewal");
            return parseTaskListing(Json.parseObject(response.body()), events);
        });
    }

    /** Maps the response to a start to a status; an unknown response counts as refused. */
    static StartResponse parseStartResponse(ClientResponse response) {
        JsonNode body = response.body().length == 0 ? null : Json.parseObject(response.body());
        long clockMillis = body != null
                        && body.path("clockMs").isIntegralNumber()
                        && body.path("clockMs").canConvertToLong()
                ? body.path("clockMs").longValue()
                : -1;
        if (response.status() == OK) {
            return new StartResponse(StartStatus.STARTED, clockMillis);
        }
        if (response.status() != CONFLICT || body == null) {
            return new StartResponse(StartStatus.REFUSED, clockMillis);
        }
        StartStatus status =
                switch (body.path("reason").asText()) {
                    case "fence" -> StartStatus.FENCED;
                    case "old" -> StartStatus.OLD_RUN;
                    case "late" -> StartStatus.TOO_LATE;
                    case "room" -> StartStatus.NO_ROOM;
                    default -> StartStatus.REFUSED;
                };
        return new StartResponse(status, clockMillis);
    }

    /**
     * Parses a task listing.
     *
     * <p>A row of {@code running} is task, run number, a text that is not used here, and percent done; a row of
     * {@code finished} is sequence number, task, run number, and outcome. An outcome other than done or failed counts
     * as lost. A row whose task is not one of a best-effort job is logged and skipped.
     *
     * @throws org.gypsumflow.model.ValidationException if the clock is missing or a row is invalid
     */
    static TaskListing parseTaskListing(JsonNode body, EventLog events) {
        List<RunningTask> running = new ArrayList<>();
        for (JsonNode row : Json.arrayOrEmpty(body, "running")) {
            parseTask(row.path(0), events)
                    .ifPresent(task -> running.add(new RunningTask(task, parseRun(row.path(1)), percent(row.path(3)))));
        }
        List<FinishedTask> finished = new ArrayList<>();
        for (JsonNode row : Json.arrayOrEmpty(body, "finished")) {
            parseTask(row.path(1), events)
                    .ifPresent(task -> finished.add(new FinishedTask(
                            Json.integer(row.path(0), "number of an end", 0, Long.MAX_VALUE),
                            task,
                            parseRun(row.path(2)),
                            parseOutcome(row.path(3).asText()))));
        }
        return new TaskListing(
                Json.integerOrZero(body, "born", 0, Json.MAX_EPOCH_MILLIS),
                Json.requiredInteger(body, "clockMs", 0, Json.MAX_EPOCH_MILLIS),
                running,
                finished);
    }

    private static Optional<BestEffortTaskId> parseTask(JsonNode value, EventLog events) {
        try {
            return Optional.of(BestEffortTaskIdFormat.parse(value.asText()));
        } catch (ValidationException unreadable) {
            events.write(Event.MESSAGE_UNREADABLE, "a task that the worker lists", unreadable.getMessage());
            return Optional.empty();
        }
    }

    private static RunNumber parseRun(JsonNode value) {
        return RunNumber.of((int) Json.integer(value, "run", 1, Integer.MAX_VALUE));
    }

    /** Reads a progress, which only serves to find stalled tasks; anything but a number counts as no progress. */
    private static int percent(JsonNode value) {
        return (int) Math.max(0, Math.min(MAX_PERCENT, value.asDouble()));
    }

    private static RunOutcome parseOutcome(String outcome) {
        return switch (outcome) {
            case "done" -> RunOutcome.DONE;
            case "failed" -> RunOutcome.FAILED;
            default -> RunOutcome.LOST;
        };
    }

    private static void requireAccepted(ClientResponse response, String request) {
        if (response.status() == CONFLICT && parseStartResponse(response).status() == StartStatus.FENCED) {
            throw new CompletionException(FencedException.create());
        }
        Check.isTrue(response.status() == OK, request, "got HTTP status " + response.status());
    }

    private CompletableFuture<ClientResponse> post(String path, Map<String, Object> body, Duration timeout) {
        return httpClient
                .post(baseUrl + path, JSON_BODY, Json.toBytes(body), timeout)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(proofOf(failure)));
    }

    /** Returns the failure that states what the given failure of a request proves, see {@link WorkerClient}. */
    static Throwable proofOf(Throwable failure) {
        return failure instanceof ConnectException && !HttpClient.isRefusal(failure)
                ? NotReceivedException.of(failure)
                : failure;
    }
}
