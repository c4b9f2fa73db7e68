package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerReport;

/** Takes what the worker beside an agent says of itself. */
public final class WorkerReportResource {
    private static final int OK = 200;

    private WorkerReportResource() {}

    /**
     * Takes reports on a server.
     *
     * @param front the server
     * @param reported takes a report
     * @param left takes the id of a worker that leaves
     * @param events receives numbered events
     */
    public static void register(
            GrizzlyHttpServer front, Consumer<WorkerReport> reported, Consumer<String> left, EventLog events) {
        front.addHandler("POST", "/Instances.Heartbeat", call -> {
            try {
                reported.accept(parse(call.path(), Json.parseObject(call.body())));
            } catch (ValidationException unreadable) {
                events.write(Event.MESSAGE_UNREADABLE, "a report of worker " + call.path(), unreadable.getMessage());
            }
            return acknowledged();
        });
        front.addHandler("POST", "/Instances.Deregister", call -> {
            left.accept(call.path());
            return acknowledged();
        });
    }

    /**
     * Reads a report.
     *
     * @throws ValidationException if a field is missing or of another type, so that it names no worker to use
     */
    static WorkerReport parse(String worker, JsonNode report) {
        Check.text("worker", worker, Check.MAX_NAME_LENGTH);
        String state = Json.requiredString(report, "state");
        boolean known = state.equals("ready") || state.equals("draining");
        Check.isTrue(known, "state", "\"" + state + "\" is neither \"ready\" nor \"draining\"");
        JsonNode room = report.path("capacity");
        Check.isTrue(room.isObject(), "capacity", "is missing");
        JsonNode labels = report.path("labels");
        return new WorkerReport(
                worker,
                Json.integerOrZero(report, "born"),
                ServiceName.of(Json.requiredString(report, "service")),
                AvailabilityZone.of(Json.requiredString(report, "zone")),
                Resources.of((int) Json.requiredInteger(room, "cpu"), (int) Json.requiredInteger(room, "memMb"), (int)
                        Json.integerOrZero(room, "gpu")),
                labels.isArray() && labels.size() > 1 ? labels.get(1).asText() : "",
                state.equals("draining"),
                Json.requiredInteger(report, "sequence"));
    }

    private static CompletableFuture<ServerResponse> acknowledged() {
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of()));
    }
}
