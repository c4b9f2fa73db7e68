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

/** Talks to the first entry that answers. */
final class EntryClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(5);
    private static final int NOT_AN_ANSWER = 599;
    private static final int CONNECTIONS = 4;

    /**
     * What an entry said.
     *
     * @param status HTTP status
     * @param json content
     */
    record Response(int status, JsonNode json) {}

    private final HttpClient caller = HttpClient.create(CONNECTIONS);
    private final List<String> entries;
    private final String token;

    private EntryClient(List<String> entries, String token) {
        this.entries = entries;
        this.token = token;
    }

    static EntryClient create(List<String> entries, String token) {
        return new EntryClient(entries, token);
    }

    /** Asks one entry after the other; a query changes nothing, so that asking again is safe. */
    Response query(String path) {
        Response last = unreachable("no entry was asked");
        for (String entry : entries) {
            last = await(caller.get(entry + "/v1/queries/" + path, headers(Map.of()), QUERY_TIMEOUT));
            if (last.status() != NOT_AN_ANSWER) {
                return last;
            }
        }
        return last;
    }

    /** Sends a command to one entry after the other, going on only where a connection was refused. */
    Response command(String path, Object body, Map<String, String> extraHeaders, Duration timeout) {
        Response last = unreachable("no entry was asked");
        for (String entry : entries) {
            CompletableFuture<HttpClient.ClientResponse> sent =
                    caller.post(entry + "/v1/commands/" + path, headers(extraHeaders), bytes(body), timeout);
            last = await(sent);
            if (last.status() != NOT_AN_ANSWER || !isRefusedConnection(sent)) {
                return last;
            }
        }
        return last;
    }

    static boolean isUnreachable(Response answer) {
        return answer.status() == NOT_AN_ANSWER;
    }

    @Override
    public void close() {
        caller.close();
    }

    private Map<String, String> headers(Map<String, String> extra) {
        Map<String, String> headers = new HashMap<>(extra);
        headers.put("Authorization", "Bearer " + token);
        return headers;
    }

    private static boolean isRefusedConnection(CompletableFuture<HttpClient.ClientResponse> sent) {
        return sent.handle((answer, failure) -> failure instanceof ConnectException)
                .join();
    }

    private static Response await(CompletableFuture<HttpClient.ClientResponse> sent) {
        try {
            HttpClient.ClientResponse answer = sent.join();
            return new Response(answer.status(), JSON.readTree(answer.body()));
        } catch (CompletionException failure) {
            return unreachable(String.valueOf(failure.getCause()));
        } catch (IOException garbage) {
            return unreachable("the answer is not JSON: " + garbage.getMessage());
        }
    }

    private static Response unreachable(String message) {
        return new Response(
                NOT_AN_ANSWER,
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
