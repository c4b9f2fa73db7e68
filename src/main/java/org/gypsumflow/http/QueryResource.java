package org.gypsumflow.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.query.PlanQuery;
import org.gypsumflow.query.StatusQuery;
import org.gypsumflow.query.WorkerQuery;
import org.gypsumflow.traffic.AtMostOnceEntry;

/** The paths of an entry that only read. */
public final class QueryResource {
    private static final int OK = 200;

    private final AtMostOnceEntry node;
    private final TokenAuthenticator access;

    private QueryResource(AtMostOnceEntry node, TokenAuthenticator access) {
        this.node = node;
        this.access = access;
    }

    /**
     * Adds the query paths to a server.
     *
     * @param front the server
     * @param node the entry
     * @param access tokens of callers and operators
     */
    public static void register(GrizzlyHttpServer front, AtMostOnceEntry node, TokenAuthenticator access) {
        QueryResource resource = new QueryResource(node, access);
        front.addQuery("status", resource::status)
                .addQuery("workers", resource::workers)
                .addQuery("plans", resource::plans)
                .addQuery("jobs", resource::job);
    }

    private CompletableFuture<ServerResponse> status(ServerRequest call) {
        requireOperator(call);
        return CompletableFuture.completedFuture(ServerResponse.json(
                OK, StatusQuery.summarize(node.snapshot(), node.openSubmissions(), node.waitingTasks())));
    }

    private CompletableFuture<ServerResponse> workers(ServerRequest call) {
        requireOperator(call);
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, Map.of("workers", WorkerQuery.list(node.snapshot()))));
    }

    private CompletableFuture<ServerResponse> plans(ServerRequest call) {
        requireOperator(call);
        if (call.path().isEmpty()) {
            return CompletableFuture.completedFuture(ServerResponse.json(
                    OK,
                    Map.of(
                            "plans",
                            PlanQuery.history(node.snapshot()).stream()
                                    .map(PlanJson::writeState)
                                    .toList())));
        }
        PlanId id = PlanId.of(call.path());
        return CompletableFuture.completedFuture(PlanQuery.find(node.snapshot(), id)
                .map(state -> ServerResponse.json(OK, PlanJson.writeState(state)))
                .orElseThrow(() -> notFound("plan \"" + id + "\" does not exist")));
    }

    private CompletableFuture<ServerResponse> job(ServerRequest call) {
        String authorization = call.headers().apply("Authorization");
        String name = call.parameters().apply("caller");
        Caller caller =
                name == null ? access.authenticateCaller(authorization) : callerForOperator(authorization, name);
        SubmissionKey key = SubmissionKey.of(caller, URLDecoder.decode(call.path(), StandardCharsets.UTF_8));
        return node.describe(key).thenApply(found -> found.map(view -> ServerResponse.json(OK, view))
                .orElseThrow(() ->
                        notFound("job \"" + key.key() + "\" of caller \"" + caller + "\" is not known to this entry")));
    }

    private Caller callerForOperator(String authorization, String name) {
        access.authenticateOperator(authorization);
        return Caller.of(name);
    }

    private void requireOperator(ServerRequest call) {
        access.authenticateOperator(call.headers().apply("Authorization"));
    }

    private static RequestException notFound(String message) {
        return RequestError.notRun(ErrorCode.NOT_FOUND, message).toException();
    }
}
