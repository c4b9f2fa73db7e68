package org.gypsumflow.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.ValidationException;

/** Serves the platform's callers: jobs, their state and their cancelling, and the length of a queue. */
public final class JobResource {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    /** How long a caller waits who does not say. */
    private static final Duration UNSAID_DEADLINE = Duration.ofSeconds(10);
    /** Longest accepted deadline. */
    private static final long MOST_DEADLINE_MILLIS = 600_000;

    private static final long MILLIS_PER_SECOND = 1000;

    /** Takes a job. */
    @FunctionalInterface
    public interface Submitter {
        /**
         * Takes a job.
         *
         * @param job the job
         * @param timeLeft how long the caller waits
         * @param abandoned completes if the caller is gone
         * @return the final answer
         */
        CompletableFuture<BestEffortOutcome> submit(
                BestEffortJob job, Duration timeLeft, CompletableFuture<Void> abandoned);
    }

    private final Supplier<RoutingTable> routes;
    private final Submitter submitter;
    private final Function<JobId, CompletableFuture<Boolean>> canceller;
    private final Function<JobId, CompletableFuture<Boolean>> underWay;
    private final EventLog events;

    private JobResource(
            Supplier<RoutingTable> routes,
            Submitter submitter,
            Function<JobId, CompletableFuture<Boolean>> canceller,
            Function<JobId, CompletableFuture<Boolean>> underWay,
            EventLog events) {
        this.routes = routes;
        this.submitter = submitter;
        this.canceller = canceller;
        this.underWay = underWay;
        this.events = events;
    }

    /**
     * Serves callers on a server.
     *
     * @param front the server
     * @param routes tells the routes in force
     * @param submitter takes jobs
     * @param canceller cancels a job, and tells whether it was under way
     * @param underWay tells whether a job is under way
     * @param events receives numbered events
     */
    public static void register(
            GrizzlyHttpServer front,
            Supplier<RoutingTable> routes,
            Submitter submitter,
            Function<JobId, CompletableFuture<Boolean>> canceller,
            Function<JobId, CompletableFuture<Boolean>> underWay,
            EventLog events) {
        JobResource calls = new JobResource(routes, submitter, canceller, underWay, events);
        front.setDefaultHandler(calls::answer);
    }

    private CompletableFuture<ServerResponse> answer(ServerRequest call) {
        RoutingTable table = routes.get();
        if (!table.isKnown()) {
            return reply(error(UNAVAILABLE, "no routes are known yet").withHeader("Retry-After", "1"));
        }
        Optional<Route> route = table.find(hostOf(call), call.path());
        if (route.isEmpty()) {
            return reply(error(NOT_FOUND, "no route leads there"));
        }
        String rest = call.path().substring(route.get().pathPrefix().length());
        try {
            return switch (call.method()) {
                case "POST" -> submit(JobId.of(rest), route.get(), table.version(), call);
                case "GET" ->
                    rest.isEmpty() ? reply(ServerResponse.json(OK, Map.of("pending", 0))) : state(JobId.of(rest));
                case "DELETE" -> cancel(JobId.of(rest));
                default -> reply(error(METHOD_NOT_ALLOWED, "method " + call.method() + " is not supported"));
            };
        } catch (ValidationException wrong) {
            events.write(Event.MESSAGE_UNREADABLE, "a request", wrong.getMessage());
            return reply(error(BAD_REQUEST, wrong.getMessage()));
        }
    }

    private CompletableFuture<ServerResponse> submit(JobId id, Route route, long version, ServerRequest call) {
        Optional<BestEffortJob> job = BestEffortJobParser.parse(id, route, version, call.body());
        if (job.isEmpty()) {
            return reply(error(UNAVAILABLE, "this kind of job is not supported"));
        }
        return submitter.submit(job.get(), deadline(call), call.disconnected()).thenApply(JobResource::reply);
    }

    private CompletableFuture<ServerResponse> state(JobId id) {
        return underWay.apply(id)
                .thenApply(known -> known
                        ? ServerResponse.json(OK, Map.of("state", "running"))
                        : error(GONE, "no such job is known"));
    }

    private CompletableFuture<ServerResponse> cancel(JobId id) {
        return canceller
                .apply(id)
                .thenApply(known -> known
                        ? ServerResponse.json(OK, Map.of("state", "cancelled"))
                        : error(GONE, "no such job is known"));
    }

    private static ServerResponse reply(BestEffortOutcome answer) {
        if (answer.cancelled()) {
            return ServerResponse.json(OK, Map.of("state", "cancelled"));
        }
        return switch (answer.verdict()) {
            case COMPLETED -> ServerResponse.json(OK, Map.of("state", "done"));
            case FAILED -> ServerResponse.json(OK, Map.of("state", "failed"));
            case NOT_RUN ->
                error(UNAVAILABLE, answer.reason())
                        .withHeader("Retry-After", Long.toString(Math.max(1, wholeSeconds(answer.retryAfter()))));
            case MAY_HAVE_RUN -> error(GATEWAY_TIMEOUT, answer.reason());
        };
    }

    private static long wholeSeconds(Duration duration) {
        return (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }

    private static ServerResponse error(int status, String reason) {
        return ServerResponse.json(status, Map.of("error", reason));
    }

    private static CompletableFuture<ServerResponse> reply(ServerResponse reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static String hostOf(ServerRequest call) {
        String host = call.headers().apply("Host");
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static Duration deadline(ServerRequest call) {
        String text = call.headers().apply("Deadline-Ms");
        if (text == null) {
            return UNSAID_DEADLINE;
        }
        try {
            return Duration.ofMillis(Math.min(MOST_DEADLINE_MILLIS, Math.max(0, Long.parseLong(text.trim()))));
        } catch (NumberFormatException malformed) {
            throw ValidationException.of("Deadline-Ms", "\"" + text + "\" is not a whole number");
        }
    }
}
