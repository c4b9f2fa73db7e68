package org.gypsumflow.platform;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;

/** Tells the platform's balancer whether callers may come. */
public final class ReadinessResource {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private ReadinessResource() {}

    /**
     * Answers on a server.
     *
     * @param front the server
     * @param ready tells whether callers may come
     */
    public static void register(GrizzlyHttpServer front, BooleanSupplier ready) {
        front.addGet(
                "/readyz",
                call -> CompletableFuture.completedFuture(
                        ready.getAsBoolean()
                                ? ServerResponse.text(OK, "ready")
                                : ServerResponse.text(UNAVAILABLE, "not ready")));
    }
}
