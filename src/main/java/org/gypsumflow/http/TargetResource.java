package org.gypsumflow.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;

/** HTTP resources of an agent on which its target registers its URL and deregisters. */
public final class TargetResource {
    private static final int OK = 200;

    private final BiConsumer<ServiceName, URI> registrationListener;
    private final Runnable deregistrationListener;

    private TargetResource(BiConsumer<ServiceName, URI> registrationListener, Runnable deregistrationListener) {
        this.registrationListener = registrationListener;
        this.deregistrationListener = deregistrationListener;
    }

    /**
     * Registers the handlers with a server.
     *
     * @param server the server
     * @param registrationListener receives the service and the base URL that the target announces
     * @param deregistrationListener runs when the target announces its departure
     */
    public static void register(
            GrizzlyHttpServer server,
            BiConsumer<ServiceName, URI> registrationListener,
            Runnable deregistrationListener) {
        TargetResource resource = new TargetResource(registrationListener, deregistrationListener);
        server.addCommand("announcements", resource::registerTarget)
                .addCommand("departures", resource::deregisterTarget);
    }

    private CompletableFuture<ServerResponse> registerTarget(ServerRequest request) {
        JsonNode json = JobJson.parseObject(request.body());
        JobJson.rejectUnknownFields(json, "", Set.of("service", "url"));
        registrationListener.accept(
                ServiceName.of(JobJson.requiredString(json, "service")), parseUrl(JobJson.requiredString(json, "url")));
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("accepted", true)));
    }

    private CompletableFuture<ServerResponse> deregisterTarget(ServerRequest request) {
        deregistrationListener.run();
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("accepted", true)));
    }

    private static URI parseUrl(String text) {
        try {
            URI url = URI.create(text);
            Check.isTrue(
                    "http".equals(url.getScheme()) && url.getHost() != null,
                    "url",
                    "\"" + text + "\" must look like \"http://127.0.0.1:8080\"");
            return url;
        } catch (IllegalArgumentException malformed) {
            throw ValidationException.of("url", "\"" + text + "\" is not a URL");
        }
    }
}
