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
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.ValidationException;

/**
 * Serves the platform's HTTP interface for jobs: submission, state and cancellation, and the length of the queue.
 *
 * <p>A job is named by the part of the path after the prefix of its route.
 */
public final class JobResource {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    /** Deadline of a request without a {@code Deadline-Ms} header. */
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
    /** Upper bound of a deadline; a longer one is shortened to it. */
    private static final long MAX_DEADLINE_MILLIS = 600_000;

    private static final long MILLIS_PER_SECOND = 1000;

    /** Accepts a job and runs it. */
    @FunctionalInterface
    public interface Submitter {
        /**
         * Accepts a job and runs it.
         *
         * @param job job to run
         * @param arrivedNanos monotonic time at which the request arrived, in nanoseconds
         * @param timeLeft time from the arrival until the caller stops waiting
         * @param disconnected completes when the caller's connection closes before the response
         * @return the outcome of the job
         */
        CompletableFuture<BestEffortOutcome> submit(
                BestEffortJob job, long arrivedNanos, Duration timeLeft, CompletableFuture<Void> disconnected);
    }

    /** Rejects requests before their bodies are parsed. */
    @FunctionalInterface
    public interface EarlyRejection {
        /**
         * Rejects a request that is too late to be served.
         *
         * @param job id of the job
         * @param route route of the job
         * @param arrivedNanos monotonic time at which the request arrived, in nanoseconds
         * @return the outcome of a request that is rejected; empty to go on with it
         */
        CompletableFuture<Optional<BestEffortOutcome>> reject(JobId job, RouteName route, long arrivedNanos);
    }

    private final Supplier<RoutingTable> routes;
    private final EarlyRejection earlyRejection;
    private final Submitter submitter;
    private final Function<JobId, CompletableFuture<Boolean>> canceller;
    private final Function<JobId, CompletableFuture<Boolean>> isActive;
    private final EventLog events;

    private JobResource(
            Supplier<RoutingTable> routes,
            EarlyRejection earlyRejection,
            Submitter submitter,
            Function<JobId, CompletableFuture<Boolean>> canceller,
            Function<JobId, CompletableFuture<Boolean>> isActive,
            EventLog events) {
        this.routes = routes;
        this.earlyRejection = earlyRejection;
        this.submitter = submitter;
        this.canceller = canceller;
        this.isActive = isActive;
        this.events = events;
    }

    /**
     * Serves each request that no other handler of the server matches.
     *
     * @param server server to register with
     * @param routes supplies the routes that are applied now
     * @param earlyRejection rejects submissions that are too late
     * @param submitter accepts and runs jobs
     * @param canceller cancels a job and returns whether it was active
     * @param isActive returns whether a job is active
     * @param events receives numbered events
     */
    public static void register(
            GrizzlyHttpServer server,
            Supplier<RoutingTable> routes,
            EarlyRejection earlyRejection,
            Submitter submitter,
            Function<JobId, CompletableFuture<Boolean>> canceller,
            Function<JobId, CompletableFuture<Boolean>> isActive,
            EventLog events) {
        JobResource resource = new JobResource(routes, earlyRejection, submitter, canceller, isActive, events);
        server.setDefaultHandler(resource::handle);
    }

    private CompletableFuture<ServerResponse> handle(ServerRequest request) {
        RoutingTable table = routes.get();
        if (!table.isKnown()) {
            return completed(
                    error(UNAVAILABLE, "no routes have been received yet").withHeader("Retry-After", "1"));
        }
        Optional<Route> route = table.find(hostName(request), request.path());
        if (route.isEmpty()) {
            return completed(error(NOT_FOUND, "no route matches this host and path"));
        }
        String jobPart = request.path().substring(route.get().pathPrefix().length());
        try {
            return switch (request.method()) {
                case "POST" -> submit(JobId.of(jobPart), route.get(), table.version(), request);
                case "GET" ->
                    jobPart.isEmpty()
                            ? completed(ServerResponse.json(OK, Map.of("pending", 0)))
                            : state(JobId.of(jobPart));
                case "DELETE" -> cancel(JobId.of(jobPart));
                default -> completed(error(METHOD_NOT_ALLOWED, "method " + request.method() + " is not supported"));
            };
        } catch (ValidationException invalid) {
            return rejectInvalid(invalid);
        }
    }

    private CompletableFuture<ServerResponse> rejectInvalid(ValidationException invalid) {
        events.write(Event.MESSAGE_UNREADABLE, "a request", invalid.getMessage());
        return completed(error(BAD_REQUEST, invalid.getMessage()));
    }

    private CompletableFuture<ServerResponse> submit(JobId id, Route route, long routesVersion, ServerRequest request) {
        return earlyRejection.reject(id, route.name(), request.arrivedNanos()).thenCompose(rejection -> rejection
                .map(outcome -> completed(toResponse(outcome)))
                .orElseGet(() -> parseAndSubmit(id, route, routesVersion, request)));
    }

    private CompletableFuture<ServerResponse> parseAndSubmit(
            JobId id, Route route, long routesVersion, ServerRequest request) {
        try {
            return submitParsed(id, route, routesVersion, request);
        } catch (ValidationException invalid) {
            return rejectInvalid(invalid);
        }
    }

    private CompletableFuture<ServerResponse> submitParsed(
            JobId id, Route route, long routesVersion, ServerRequest request) {
        Optional<BestEffortJob> job = BestEffortJobParser.parse(id, route, routesVersion, request.body());
        if (job.isEmpty()) {
            return completed(error(UNAVAILABLE, "jobs of this kind are not supported"));
        }
        return submitter
                .submit(job.get(), request.arrivedNanos(), deadline(request), request.disconnected())
                .thenApply(JobResource::toResponse);
    }

    private CompletableFuture<ServerResponse> state(JobId id) {
        return isActive.apply(id)
                .thenApply(active -> active
                        ? ServerResponse.json(OK, Map.of("state", "running"))
                        : error(GONE, "no such job is active"));
    }

    private CompletableFuture<ServerResponse> cancel(JobId id) {
        return canceller
                .apply(id)
                .thenApply(active -> active
                        ? ServerResponse.json(OK, Map.of("state", "cancelled"))
                        : error(GONE, "no such job is active"));
    }

    /**
     * Maps an outcome to a response.
     *
     * <p>{@code NOT_RUN} proves that nothing started and nothing will, so that the caller may safely submit the job
     * again: status 503, with {@code Retry-After} in whole seconds, at least 1. {@code MAY_HAVE_RUN} proves nothing,
     * and a retry could run tasks twice: status 504, without {@code Retry-After}.
     */
    private static ServerResponse toResponse(BestEffortOutcome outcome) {
        if (outcome.cancelled()) {
            return ServerResponse.json(OK, Map.of("state", "cancelled"));
        }
        return switch (outcome.verdict()) {
            case COMPLETED -> ServerResponse.json(OK, Map.of("state", "done"));
            case FAILED -> ServerResponse.json(OK, Map.of("state", "failed"));
            case NOT_RUN ->
                error(UNAVAILABLE, outcome.reason())
                        .withHeader("Retry-After", Long.toString(Math.max(1, secondsRoundedUp(outcome.retryAfter()))));
            case MAY_HAVE_RUN -> error(GATEWAY_TIMEOUT, outcome.reason());
        };
    }

    private static long secondsRoundedUp(Duration duration) {
        return (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }

    private static ServerResponse error(int status, String reason) {
        return ServerResponse.json(status, Map.of("error", reason));
    }

    private static CompletableFuture<ServerResponse> completed(ServerResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static String hostName(ServerRequest request) {
        String host = request.headers().apply("Host");
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static Duration deadline(ServerRequest request) {
        String text = request.headers().apply("Deadline-Ms");
        if (text == null) {
            return DEFAULT_DEADLINE;
        }
        try {
            return Duration.ofMillis(Math.min(MAX_DEADLINE_MILLIS, Math.max(0, Long.parseLong(text.trim()))));
        } catch (NumberFormatException malformed) {
            throw ValidationException.of("Deadline-Ms", "\"" + text + "\" is not an integer");
        }
    }
}
