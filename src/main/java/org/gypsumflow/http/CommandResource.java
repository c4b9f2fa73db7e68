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

/** HTTP resources of an entry that change state: jobs, tickets, cancellations, plans and confirmations. */
public final class CommandResource {
    private static final int OK = 200;

    private final AtMostOnceEntry entry;
    private final TokenAuthenticator authenticator;

    private CommandResource(AtMostOnceEntry entry, TokenAuthenticator authenticator) {
        this.entry = entry;
        this.authenticator = authenticator;
    }

    /**
     * Registers the handlers of the commands with a server.
     *
     * @param server the server
     * @param entry the entry that executes the commands
     * @param authenticator authenticates callers and operators
     */
    public static void register(GrizzlyHttpServer server, AtMostOnceEntry entry, TokenAuthenticator authenticator) {
        CommandResource resource = new CommandResource(entry, authenticator);
        server.addCommand("jobs", resource::submit)
                .addCommand("tickets", resource::issueTickets)
                .addCommand("cancellations", resource::cancel)
                .addCommand("plans", resource::createPlan)
                .addCommand("confirmations", resource::confirmPlan);
    }

    private CompletableFuture<ServerResponse> submit(ServerRequest request) {
        Caller caller = authenticator.authenticateCaller(request.headers().apply("Authorization"));
        SubmissionKey key = SubmissionKey.of(caller, request.headers().apply("Idempotency-Key"));
        JobRequest job = JobJson.parseJob(key, request.body(), Instant.now());
        TraceParent trace = TraceParent.of(request.headers().apply("traceparent"));
        return entry.submit(job, trace).thenApply(CommandResource::toResponse);
    }

    private CompletableFuture<ServerResponse> issueTickets(ServerRequest request) {
        Caller caller = authenticator.authenticateCaller(request.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(request.body());
        JobJson.rejectUnknownFields(json, "", Set.of("count"));
        JsonNode count = json.get("count");
        Check.isTrue(count != null && count.isInt(), "count", "must be a whole number");
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, Map.of("tickets", entry.issueTickets(caller, count.intValue()))));
    }

    private CompletableFuture<ServerResponse> cancel(ServerRequest request) {
        Caller caller = authenticator.authenticateCaller(request.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(request.body());
        JobJson.rejectUnknownFields(json, "", Set.of("key"));
        return entry.cancel(SubmissionKey.of(caller, JobJson.requiredString(json, "key")))
                .thenApply(CommandResource::toResponse);
    }

    private CompletableFuture<ServerResponse> createPlan(ServerRequest request) {
        Operator operator = authenticator.authenticateOperator(request.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(request.body());
        JobJson.rejectUnknownFields(json, "", Set.of("intent"));
        return entry.operations()
                .createPlan(JobJson.requiredString(json, "intent"), operator)
                .thenApply(plan -> ServerResponse.json(OK, PlanJson.writePlan(plan)));
    }

    private CompletableFuture<ServerResponse> confirmPlan(ServerRequest request) {
        Operator operator = authenticator.authenticateOperator(request.headers().apply("Authorization"));
        JsonNode json = JobJson.parseObject(request.body());
        JobJson.rejectUnknownFields(json, "", Set.of("plan", "override"));
        boolean override = json.path("override").asBoolean(false);
        return entry.operations()
                .confirmPlan(PlanId.of(JobJson.requiredString(json, "plan")), operator, override)
                .thenApply(state -> ServerResponse.json(OK, PlanJson.writeState(state)));
    }

    private static ServerResponse toResponse(JobOutcome outcome) {
        return ServerResponse.json(StatusCodes.of(outcome.verdict()), JobJson.writeOutcome(outcome));
    }
}
