package org.gypsumflow.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.http.HttpFront.Call;
import org.gypsumflow.http.HttpFront.Reply;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.query.PlanQuery;
import org.gypsumflow.query.StatusQuery;
import org.gypsumflow.query.WorkerQuery;
import org.gypsumflow.traffic.EntryNode;

/** The paths of an entry that only read. */
public final class QueryResource {
    private static final int OK = 200;

    private final EntryNode node;
    private final AccessList access;

    private QueryResource(EntryNode node, AccessList access) {
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
    public static void register(HttpFront front, EntryNode node, AccessList access) {
        QueryResource resource = new QueryResource(node, access);
        front.query("status", resource::status)
                .query("workers", resource::workers)
                .query("plans", resource::plans)
                .query("jobs", resource::job);
    }

    private CompletableFuture<Reply> status(Call call) {
        requireOperator(call);
        return CompletableFuture.completedFuture(
                Reply.json(OK, StatusQuery.summarize(node.snapshot(), node.openSubmissions(), node.waitingTasks())));
    }

    private CompletableFuture<Reply> workers(Call call) {
        requireOperator(call);
        return CompletableFuture.completedFuture(Reply.json(OK, Map.of("workers", WorkerQuery.list(node.snapshot()))));
    }

    private CompletableFuture<Reply> plans(Call call) {
        requireOperator(call);
        if (call.path().isEmpty()) {
            return CompletableFuture.completedFuture(Reply.json(
                    OK,
                    Map.of(
                            "plans",
                            PlanQuery.history(node.snapshot()).stream()
                                    .map(PlanJson::writeState)
                                    .toList())));
        }
        PlanId id = PlanId.of(call.path());
        return CompletableFuture.completedFuture(PlanQuery.find(node.snapshot(), id)
                .map(state -> Reply.json(OK, PlanJson.writeState(state)))
                .orElseThrow(() -> notFound("plan \"" + id + "\" does not exist")));
    }

    private CompletableFuture<Reply> job(Call call) {
        String authorization = call.headers().apply("Authorization");
        String name = call.parameters().apply("caller");
        Caller caller = name == null ? access.caller(authorization) : callerForOperator(authorization, name);
        SubmissionKey key = SubmissionKey.of(caller, URLDecoder.decode(call.path(), StandardCharsets.UTF_8));
        return node.describe(key).thenApply(found -> found.map(view -> Reply.json(OK, view))
                .orElseThrow(() ->
                        notFound("job \"" + key.key() + "\" of caller \"" + caller + "\" is not known to this entry")));
    }

    private Caller callerForOperator(String authorization, String name) {
        access.operator(authorization);
        return Caller.of(name);
    }

    private void requireOperator(Call call) {
        access.operator(call.headers().apply("Authorization"));
    }

    private static RequestException notFound(String message) {
        return RequestError.notRun(ErrorCode.NOT_FOUND, message).toException();
    }
}
