package org.gypsumflow.platform;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.gypsumflow.http.HttpFront;
import org.gypsumflow.http.HttpFront.Reply;

/** Tells the platform's balancer whether callers may come. */
public final class Readiness {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private Readiness() {}

    /**
     * Answers on a server.
     *
     * @param front the server
     * @param ready tells whether callers may come
     */
    public static void register(HttpFront front, BooleanSupplier ready) {
        front.plain(
                "/readyz",
                call -> CompletableFuture.completedFuture(
                        ready.getAsBoolean() ? Reply.text(OK, "ready") : Reply.text(UNAVAILABLE, "not ready")));
    }
}
