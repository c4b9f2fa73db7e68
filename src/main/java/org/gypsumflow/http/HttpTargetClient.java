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

/** Runs tasks on the target beside the agent over HTTP. */
public final class HttpTargetClient implements TargetClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    private final HttpClient caller;
    private final Tracing tracing;
    private volatile URI url;

    private HttpTargetClient(HttpClient caller, Tracing tracing) {
        this.caller = caller;
        this.tracing = tracing;
    }

    /**
     * Creates a target whose address is not known yet.
     *
     * @param caller sends the calls
     * @param tracing opens spans
     * @return the target
     */
    public static HttpTargetClient create(HttpClient caller, Tracing tracing) {
        return new HttpTargetClient(caller, tracing);
    }

    /**
     * Takes note of where the target listens.
     *
     * @param announced its address
     * @return true if it listened elsewhere before
     */
    public boolean updateUrl(URI announced) {
        boolean moved = !announced.equals(url);
        this.url = announced;
        return moved;
    }

    @Override
    public CompletableFuture<String> run(TaskId task, String payload, Duration timeout, TraceParent trace) {
        if (url == null) {
            return refused(Verdict.NOT_RUN, "the target has not announced itself");
        }
        Tracing.Hop hop = tracing.begin("target", trace);
        String context = hop.context().value();
        Map<String, String> headers = context.isEmpty()
                ? Map.of("Task-Id", task.toString())
                : Map.of("Task-Id", task.toString(), "traceparent", context);
        return caller.post(url + "/run", headers, payload.getBytes(StandardCharsets.UTF_8), timeout)
                .handle((answer, failure) -> failure == null ? read(task, answer) : explain(failure))
                .thenCompose(result -> result)
                .whenComplete((result, failure) -> hop.end(
                        failure == null
                                ? Verdict.COMPLETED
                                : RequestException.errorOf(failure).verdict()));
    }

    private static CompletableFuture<String> read(TaskId task, HttpClient.ClientResponse answer) {
        if (answer.status() == OK) {
            return readResult(task, answer.body());
        }
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        String reason = "the target answered with status " + answer.status() + ": " + text.strip();
        return refused(answer.status() >= SERVER_ERROR ? Verdict.FAILED : Verdict.MAY_HAVE_RUN, reason);
    }

    private static CompletableFuture<String> readResult(TaskId task, byte[] body) {
        try {
            JsonNode json = JSON.readTree(body);
            boolean ours = json != null
                    && json.path("task").asText().equals(task.toString())
                    && json.path("result").isTextual();
            return ours
                    ? CompletableFuture.completedFuture(json.path("result").textValue())
                    : refused(Verdict.MAY_HAVE_RUN, "the target's answer does not belong to this task");
        } catch (IOException garbage) {
            return refused(Verdict.MAY_HAVE_RUN, "the target's answer is not JSON");
        }
    }

    private static CompletableFuture<String> explain(Throwable failure) {
        if (failure instanceof ConnectException) {
            return refused(Verdict.NOT_RUN, "the target takes no connection");
        }
        return refused(Verdict.MAY_HAVE_RUN, "the target gave no answer: " + failure);
    }

    private static CompletableFuture<String> refused(Verdict verdict, String reason) {
        return CompletableFuture.failedFuture(
                RequestException.of(new RequestError(verdict, ErrorCode.INTERNAL, reason)));
    }
}
