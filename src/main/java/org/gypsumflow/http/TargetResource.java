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

/** The paths of an agent on which the target beside it announces itself. */
public final class TargetResource {
    private static final int OK = 200;

    private final BiConsumer<ServiceName, URI> announced;
    private final Runnable leaving;

    private TargetResource(BiConsumer<ServiceName, URI> announced, Runnable leaving) {
        this.announced = announced;
        this.leaving = leaving;
    }

    /**
     * Adds the paths to a server.
     *
     * @param front the server
     * @param announced takes the target's service and address
     * @param leaving takes note that the target is leaving
     */
    public static void register(GrizzlyHttpServer front, BiConsumer<ServiceName, URI> announced, Runnable leaving) {
        TargetResource resource = new TargetResource(announced, leaving);
        front.addCommand("announcements", resource::announce).addCommand("departures", resource::leave);
    }

    private CompletableFuture<ServerResponse> announce(ServerRequest call) {
        JsonNode json = JobJson.parseObject(call.body());
        JobJson.rejectUnknownFields(json, "", Set.of("service", "url"));
        announced.accept(
                ServiceName.of(JobJson.requiredString(json, "service")), url(JobJson.requiredString(json, "url")));
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("accepted", true)));
    }

    private CompletableFuture<ServerResponse> leave(ServerRequest call) {
        leaving.run();
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("accepted", true)));
    }

    private static URI url(String text) {
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
