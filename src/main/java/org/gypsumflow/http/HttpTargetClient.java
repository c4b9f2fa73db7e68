package org.gypsumflow.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.traffic.TargetClient;

/** Client that runs tasks on an agent's target over HTTP. */
public final class HttpTargetClient implements TargetClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    private final HttpClient client;
    private final Tracing tracing;
    private volatile URI url;

    private HttpTargetClient(HttpClient client, Tracing tracing) {
        this.client = client;
        this.tracing = tracing;
    }

    /**
     * Creates a client that rejects tasks until {@link #updateUrl} is called.
     *
     * @param client sends the requests
     * @param tracing records trace spans
     * @return the client
     */
    public static HttpTargetClient create(HttpClient client, Tracing tracing) {
        return new HttpTargetClient(client, tracing);
    }

    /**
     * Sets the URL of the target.
     *
     * @param newUrl base URL that the target has announced
     * @return true if the URL is the first one or differs from the one before
     */
    public boolean updateUrl(URI newUrl) {
        boolean changed = !newUrl.equals(url);
        this.url = newUrl;
        return changed;
    }

    @Override
    public CompletableFuture<String> run(TaskId task, String payload, Duration timeout, TraceParent trace) {
        if (url == null) {
            return rejected(Verdict.NOT_RUN, "the target has not announced its URL");
        }
        Tracing.Hop span = tracing.begin("target", trace);
        String context = span.context().value();
        Map<String, String> headers = context.isEmpty()
                ? Map.of("Task-Id", task.toString())
                : Map.of("Task-Id", task.toString(), "traceparent", context);
        return client.post(url + "/run", headers, payload.getBytes(StandardCharsets.UTF_8), timeout)
                .handle((response, failure) -> failure == null ? toResult(task, response) : toRejection(failure))
                .thenCompose(result -> result)
                .whenComplete((result, failure) -> span.end(
                        failure == null
                                ? Verdict.COMPLETED
                                : RequestException.errorOf(failure).verdict()));
    }

    private static CompletableFuture<String> toResult(TaskId task, HttpClient.ClientResponse response) {
        if (response.status() == OK) {
            return parseResult(task, response.body());
        }
        String responseText = new String(response.body(), StandardCharsets.UTF_8);
        String reason = "the target responded with status " + response.status() + ": " + responseText.strip();
        return rejected(response.status() >= SERVER_ERROR ? Verdict.FAILED : Verdict.MAY_HAVE_RUN, reason);
    }

    private static CompletableFuture<String> parseResult(TaskId task, byte[] body) {
        try {
            JsonNode json = JSON.readTree(body);
            boolean matchesTask = json != null
                    && json.path("task").asText().equals(task.toString())
                    && json.path("result").isTextual();
            return matchesTask
                    ? CompletableFuture.completedFuture(json.path("result").textValue())
                    : rejected(Verdict.MAY_HAVE_RUN, "the target's response does not match the task");
        } catch (IOException malformed) {
            return rejected(Verdict.MAY_HAVE_RUN, "the target's response is not JSON");
        }
    }

    private static CompletableFuture<String> toRejection(Throwable failure) {
        if (failure instanceof ConnectException) {
            return rejected(Verdict.NOT_RUN, "the target accepts no connections");
        }
        return rejected(Verdict.MAY_HAVE_RUN, "no response from the target: " + failure);
    }

    private static CompletableFuture<String> rejected(Verdict verdict, String reason) {
        return CompletableFuture.failedFuture(
                RequestException.of(new RequestError(verdict, ErrorCode.INTERNAL, reason)));
    }
}
