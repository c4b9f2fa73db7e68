package org.gypsumflow.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.traffic.AtMostOnceEntry;

/** The paths of an entry that change something. */
public final class CommandResource {
    private static final int OK = 200;

    private final AtMostOnceEntry node;
    private final TokenAuthenticator access;

    private CommandResource(AtMostOnceEntry node, TokenAuthenticator access) {
        this.node = node;
        this.access = access;
    }

    /**
     * Adds the command paths to a server.
     *
     * @param front the server
     * @param node the entry
     * @param access tokens of callers and operators
     */
    public static void register(GrizzlyHttpServer front, AtMostOnceEntry node, TokenAuthenticator access) {
        CommandResource resource = new CommandResource(node, access);
        front.addCommand("jobs", resource::submit)
                .addCommand("tickets", resource::makeTickets)
                .addCommand("cancellations", resource::cancel)
                .addCommand("plans", resource::plan)
                .addCommand("confirmations", resource::confirm);
    }

    private CompletableFuture<ServerResponse> submit(ServerRequest call) {
        Caller caller = access.authenticateCaller(call.headers().apply("Authorization"));
        SubmissionKey key = SubmissionKey.of(caller, call.headers().apply("Idempotency-Key"));
        JobRequest job = JobJson.readJob(key, call.body(), Instant.now());
        TraceParent trace = TraceParent.of(call.headers().apply("traceparent"));
        return node.submit(job, trace).thenApply(CommandResource::outcome);
    }

    private CompletableFuture<ServerResponse> makeTickets(ServerRequest call) {
        Caller caller = access.authenticateCaller(call.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(call.body());
        JobJson.rejectUnknownFields(json, "", Set.of("count"));
        JsonNode count = json.get("count");
        Check.isTrue(count != null && count.isInt(), "count", "must be a whole number");
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, Map.of("tickets", node.issueTickets(caller, count.intValue()))));
    }

    private CompletableFuture<ServerResponse> cancel(ServerRequest call) {
        Caller caller = access.authenticateCaller(call.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(call.body());
        JobJson.rejectUnknownFields(json, "", Set.of("key"));
        return node.cancel(SubmissionKey.of(caller, JobJson.requiredString(json, "key")))
                .thenApply(CommandResource::outcome);
    }

    private CompletableFuture<ServerResponse> plan(ServerRequest call) {
        Operator operator = access.authenticateOperator(call.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(call.body());
        JobJson.rejectUnknownFields(json, "", Set.of("intent"));
        return node.operations()
                .createPlan(JobJson.requiredString(json, "intent"), operator)
                .thenApply(plan -> ServerResponse.json(OK, PlanJson.writePlan(plan)));
    }

    private CompletableFuture<ServerResponse> confirm(ServerRequest call) {
        Operator operator = access.authenticateOperator(call.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(call.body());
        JobJson.rejectUnknownFields(json, "", Set.of("plan", "override"));
        boolean override = json.path("override").asBoolean(false);
        return node.operations()
                .confirmPlan(PlanId.of(JobJson.requiredString(json, "plan")), operator, override)
                .thenApply(state -> ServerResponse.json(OK, PlanJson.writeState(state)));
    }

    private static ServerResponse outcome(JobOutcome outcome) {
        return ServerResponse.json(StatusCodes.of(outcome.verdict()), JobJson.writeOutcome(outcome));
    }
}
