package org.gypsumflow.platform;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;

/** Serves the readiness check of the platform's load balancer. */
public final class ReadinessResource {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private ReadinessResource() {}

    /**
     * Registers the handler: status 200 while the process is ready, else 503.
     *
     * @param server server to register with
     * @param isReady returns whether the load balancer may send callers to this process
     */
    public static void register(GrizzlyHttpServer server, BooleanSupplier isReady) {
        server.addGet(
                "/readyz",
                request -> CompletableFuture.completedFuture(
                        isReady.getAsBoolean()
                                ? ServerResponse.text(OK, "ready")
                                : ServerResponse.text(UNAVAILABLE, "not ready")));
    }
}
