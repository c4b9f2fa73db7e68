package org.gypsumflow.http;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;

/** Health, readiness and metrics of a daemon. */
public final class HealthResource {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private HealthResource() {}

    /**
     * Adds the paths to a server.
     *
     * @param front the server
     * @param ready tells whether the daemon takes work
     * @param metrics writes all metrics in the Prometheus text format
     */
    public static void register(GrizzlyHttpServer front, BooleanSupplier ready, Supplier<String> metrics) {
        front.addGet("/health/live", call -> reply(OK, "live"))
                .addGet(
                        "/health/ready",
                        call -> ready.getAsBoolean() ? reply(OK, "ready") : reply(UNAVAILABLE, "not ready"))
                .addGet("/metrics", call -> reply(OK, metrics.get()));
    }

    private static CompletableFuture<ServerResponse> reply(int status, String text) {
        return CompletableFuture.completedFuture(ServerResponse.text(status, text));
    }
}
