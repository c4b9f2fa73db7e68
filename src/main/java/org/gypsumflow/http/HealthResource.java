package org.gypsumflow.http;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;

/** HTTP resources for the liveness, the readiness and the metrics of a daemon. */
public final class HealthResource {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private HealthResource() {}

    /**
     * Registers the handlers with a server.
     *
     * @param server the server
     * @param ready returns whether the daemon accepts work
     * @param metrics returns all metrics in the Prometheus text format
     */
    public static void register(GrizzlyHttpServer server, BooleanSupplier ready, Supplier<String> metrics) {
        server.addGet("/health/live", request -> textResponse(OK, "live"))
                .addGet(
                        "/health/ready",
                        request -> ready.getAsBoolean()
                                ? textResponse(OK, "ready")
                                : textResponse(UNAVAILABLE, "not ready"))
                .addGet("/metrics", request -> textResponse(OK, metrics.get()));
    }

    private static CompletableFuture<ServerResponse> textResponse(int status, String text) {
        return CompletableFuture.completedFuture(ServerResponse.text(status, text));
    }
}
