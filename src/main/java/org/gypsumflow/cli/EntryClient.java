package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.gypsumflow.http.HttpClient;

/** HTTP client of the entries, which are tried in order. */
final class EntryClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(5);
    /** Status of a request without a usable response; no entry sends it. */
    private static final int NO_RESPONSE = 599;

    private static final int MAX_CONNECTIONS = 4;

    /**
     * The response of an entry, or a description of why there is none.
     *
     * @param status HTTP status; 599 if there is no usable response
     * @param json body of the response; without a response, an error in the form in which an entry writes one
     */
    record Response(int status, JsonNode json) {}

    private final HttpClient httpClient = HttpClient.create(MAX_CONNECTIONS);
    private final List<String> entries;
    private final String token;

    private EntryClient(List<String> entries, String token) {
        this.entries = entries;
        this.token = token;
    }

    static EntryClient create(List<String> entries, String token) {
        return new EntryClient(entries, token);
    }

    /**
     * Sends a query to one entry after the other until one responds; a query changes nothing, so repeating it is safe.
     */
    Response query(String path) {
        Response last = unreachable("no entry is configured");
        for (String entry : entries) {
            last = await(httpClient.get(entry + "/v1/queries/" + path, headers(Map.of()), QUERY_TIMEOUT));
            if (last.status() != NO_RESPONSE) {
                return last;
            }
        }
        return last;
    }

    /**
     * Sends a command to one entry after the other, trying the next one only if no connection could be opened.
     *
     * <p>Only a {@link ConnectException} proves that the entry has not received the command; see
     * {@link HttpClient#post}. After any other failure the command may have run, so that another entry must not get it
     * as well.
     */
    Response command(String path, Object body, Map<String, String> extraHeaders, Duration timeout) {
        Response last = unreachable("no entry is configured");
        for (String entry : entries) {
            CompletableFuture<HttpClient.ClientResponse> request =
                    httpClient.post(entry + "/v1/commands/" + path, headers(extraHeaders), bytes(body), timeout);
            last = await(request);
            if (last.status() != NO_RESPONSE || !isConnectFailure(request)) {
                return last;
            }
        }
        return last;
    }

    static boolean isUnreachable(Response response) {
        return response.status() == NO_RESPONSE;
    }

    @Override
    public void close() {
        httpClient.close();
    }

    private Map<String, String> headers(Map<String, String> extra) {
        Map<String, String> headers = new HashMap<>(extra);
        headers.put("Authorization", "Bearer " + token);
        return headers;
    }

    private static boolean isConnectFailure(CompletableFuture<HttpClient.ClientResponse> request) {
        return request.handle((response, failure) -> failure instanceof ConnectException)
                .join();
    }

    private static Response await(CompletableFuture<HttpClient.ClientResponse> request) {
        try {
            HttpClient.ClientResponse response = request.join();
            return new Response(response.status(), JSON.readTree(response.body()));
        } catch (CompletionException failure) {
            return unreachable(String.valueOf(failure.getCause()));
        } catch (IOException malformed) {
            return unreachable("the response is not JSON: " + malformed.getMessage());
        }
    }

    private static Response unreachable(String message) {
        return new Response(
                NO_RESPONSE,
                JSON.createObjectNode()
                        .put("verdict", "MAY_HAVE_RUN")
                        .put("code", "UNREACHABLE")
                        .put("message", message));
    }

    private static byte[] bytes(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }
}
