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

/** Client of the platform's log over HTTP. */
public final class HttpPlatformLog implements PlatformLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    private final HttpClient client;
    private final String baseUrl;
    private final Duration timeout;

    private HttpPlatformLog(HttpClient client, String baseUrl, Duration timeout) {
        this.client = client;
        this.baseUrl = baseUrl;
        this.timeout = timeout;
    }

    /**
     * Creates the client.
     *
     * @param client sends the requests
     * @param baseUrl URL of the log service, without a trailing slash
     * @param timeout how long to wait for each response
     * @return the log
     */
    public static HttpPlatformLog create(HttpClient client, String baseUrl, Duration timeout) {
        return new HttpPlatformLog(client, baseUrl, timeout);
    }

    @Override
    public CompletableFuture<AppendResult> append(StreamName stream, byte[] body) {
        return client.post(baseUrl + "/streams/" + stream, Map.of(), body, timeout)
                .thenApply(HttpPlatformLog::parseJson)
                .thenApply(json -> new AppendResult(number(json, "offset"), number(json, "loggedAtMillis")));
    }

    @Override
    public CompletableFuture<Page<byte[]>> read(StreamName stream, long fromOffset, int maxRecords) {
        String url = baseUrl + "/streams/" + stream + "?from=" + fromOffset + "&most=" + maxRecords;
        return client.get(url, Map.of(), timeout)
                .thenApply(HttpPlatformLog::parseJson)
                .thenApply(HttpPlatformLog::parsePage);
    }

    private static JsonNode parseJson(HttpClient.ClientResponse response) {
        if (response.status() != OK) {
            throw new IllegalStateException("the platform's log responded with status " + response.status());
        }
        try {
            return JSON.readTree(response.body());
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }

    private static Page<byte[]> parsePage(JsonNode json) {
        List<LogRecord<byte[]>> entries = new ArrayList<>();
        try {
            for (JsonNode record : json.path("records")) {
                entries.add(new LogRecord<>(
                        number(record, "offset"),
                        number(record, "loggedAtMillis"),
                        requiredBody(record).binaryValue()));
            }
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
        return Page.of(number(json, "firstOffset"), number(json, "headOffset"), entries);
    }

    private static JsonNode requiredBody(JsonNode record) {
        JsonNode body = record.path("body");
        if (!body.isTextual()) {
            throw new IllegalStateException("a record of the platform's log has no body in Base64");
        }
        return body;
    }

    private static long number(JsonNode json, String name) {
        JsonNode value = json.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalStateException("\"" + name + "\" of the platform's log is not an integer of 64 bits");
        }
        return value.longValue();
    }
}
