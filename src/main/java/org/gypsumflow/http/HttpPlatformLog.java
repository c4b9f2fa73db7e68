package org.gypsumflow.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.log.PlatformLog;
import org.gypsumflow.model.StreamName;

/** Reaches the platform's log over HTTP. */
public final class HttpPlatformLog implements PlatformLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    private final HttpClient caller;
    private final String baseUrl;
    private final Duration timeout;

    private HttpPlatformLog(HttpClient caller, String baseUrl, Duration timeout) {
        this.caller = caller;
        this.baseUrl = baseUrl;
        this.timeout = timeout;
    }

    /**
     * Creates the client.
     *
     * @param caller sends the calls
     * @param baseUrl where the log service listens, without a slash at the end
     * @param timeout how long to wait for an answer
     * @return the client
     */
    public static HttpPlatformLog create(HttpClient caller, String baseUrl, Duration timeout) {
        return new HttpPlatformLog(caller, baseUrl, timeout);
    }

    @Override
    public CompletableFuture<AppendResult> append(StreamName stream, byte[] body) {
        return caller.post(baseUrl + "/streams/" + stream, Map.of(), body, timeout)
                .thenApply(HttpPlatformLog::json)
                .thenApply(json -> new AppendResult(
                        json.path("offset").asLong(),
                        json.path("loggedAtMillis").asLong()));
    }

    @Override
    public CompletableFuture<Page<byte[]>> read(StreamName stream, long fromOffset, int most) {
        String url = baseUrl + "/streams/" + stream + "?from=" + fromOffset + "&most=" + most;
        return caller.get(url, Map.of(), timeout)
                .thenApply(HttpPlatformLog::json)
                .thenApply(HttpPlatformLog::page);
    }

    private static JsonNode json(HttpClient.ClientResponse answer) {
        if (answer.status() != OK) {
            throw new IllegalStateException("the platform's log answered with status " + answer.status());
        }
        try {
            return JSON.readTree(answer.body());
        } catch (IOException damaged) {
            throw new UncheckedIOException(damaged);
        }
    }

    private static Page<byte[]> page(JsonNode json) {
        List<LogRecord<byte[]>> entries = new ArrayList<>();
        try {
            for (JsonNode entry : json.path("records")) {
                entries.add(new LogRecord<>(
                        entry.path("offset").asLong(),
                        entry.path("loggedAtMillis").asLong(),
                        entry.path("body").binaryValue()));
            }
        } catch (IOException damaged) {
            throw new UncheckedIOException(damaged);
        }
        return new Page<>(
                json.path("firstOffset").asLong(), json.path("headOffset").asLong(), entries);
    }
}
