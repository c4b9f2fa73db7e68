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

/** HTTP resources of an entry that only read state: status, workers, plans and jobs. */
public final class QueryResource {
    private static final int OK = 200;

    private final AtMostOnceEntry entry;
    private final TokenAuthenticator authenticator;

    private QueryResource(AtMostOnceEntry entry, TokenAuthenticator authenticator) {
        this.entry = entry;
        this.authenticator = authenticator;
    }

    /**
     * Registers the handlers of the queries with a server.
     *
     * @param server the server
     * @param entry the entry whose state is read
     * @param authenticator authenticates callers and operators
     */
    public static void register(GrizzlyHttpServer server, AtMostOnceEntry entry, TokenAuthenticator authenticator) {
        QueryResource resource = new QueryResource(entry, authenticator);
        server.addQuery("status", resource::status)
                .addQuery("workers", resource::workers)
                .addQuery("plans", resource::plans)
                .addQuery("jobs", resource::job);
    }

    private CompletableFuture<ServerResponse> status(ServerRequest request) {
        requireOperator(request);
        return CompletableFuture.completedFuture(ServerResponse.json(
                OK, StatusQuery.summarize(entry.snapshot(), entry.openSubmissions(), entry.waitingTasks())));
    }

    private CompletableFuture<ServerResponse> workers(ServerRequest request) {
        requireOperator(request);
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, Map.of("workers", WorkerQuery.list(entry.snapshot()))));
    }

    private CompletableFuture<ServerResponse> plans(ServerRequest request) {
        requireOperator(request);
        if (request.path().isEmpty()) {
            return CompletableFuture.completedFuture(ServerResponse.json(
                    OK,
                    Map.of(
                            "plans",
                            PlanQuery.history(entry.snapshot()).stream()
                                    .map(PlanJson::writeState)
                                    .toList())));
        }
        PlanId id = PlanId.of(request.path());
        return CompletableFuture.completedFuture(PlanQuery.find(entry.snapshot(), id)
                .map(state -> ServerResponse.json(OK, PlanJson.writeState(state)))
                .orElseThrow(() -> notFound("plan \"" + id + "\" does not exist")));
    }

    private CompletableFuture<ServerResponse> job(ServerRequest request) {
        String authorization = request.headers().apply("Authorization");
        String callerName = request.parameters().apply("caller");
        Caller caller = callerName == null
                ? authenticator.authenticateCaller(authorization)
                : callerForOperator(authorization, callerName);
        SubmissionKey key = SubmissionKey.of(caller, URLDecoder.decode(request.path(), StandardCharsets.UTF_8));
        return entry.describe(key).thenApply(job -> job.map(view -> ServerResponse.json(OK, view))
                .orElseThrow(() ->
                        notFound("job \"" + key.key() + "\" of caller \"" + caller + "\" is not known to this entry")));
    }

    private Caller callerForOperator(String authorization, String callerName) {
        authenticator.authenticateOperator(authorization);
        return Caller.of(callerName);
    }

    private void requireOperator(ServerRequest request) {
        authenticator.authenticateOperator(request.headers().apply("Authorization"));
    }

    private static RequestException notFound(String message) {
        return RequestError.notRun(ErrorCode.NOT_FOUND, message).toException();
    }
}
