package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerReport;

/** Receives the reports and the deregistration of the worker that runs on the agent's host. */
public final class WorkerReportResource {
    private static final int OK = 200;

    private static final long CLOCK_NOT_REPORTED = -1;

    /** Place of the rack in the list of labels. */
    private static final int RACK_LABEL = 1;

    private WorkerReportResource() {}

    /**
     * Registers the handlers of the worker's messages.
     *
     * <p>A message that cannot be parsed is logged and acknowledged like any other. So is a deregistration that does not
     * tell when the worker started, since it could be that of an earlier incarnation of the same id.
     *
     * @param server server to register with
     * @param workerReported receives each report
     * @param workerDeregistered receives the id of a worker that deregisters itself, and when it started, in milliseconds
     *     since the epoch
     * @param events receives numbered events
     */
    public static void register(
            GrizzlyHttpServer server,
            Consumer<WorkerReport> workerReported,
            ObjLongConsumer<String> workerDeregistered,
            EventLog events) {
        server.addHandler("POST", "/Instances.Heartbeat", request -> {
            try {
                workerReported.accept(parse(request.path(), Json.parseObject(request.body())));
            } catch (ValidationException unreadable) {
                events.write(
                        Event.MESSAGE_UNREADABLE,
                        "a report of worker " + shortId(request.path()),
                        unreadable.getMessage());
            }
            return acknowledged();
        });
        server.addHandler("POST", "/Instances.Deregister", request -> {
            try {
                workerDeregistered.accept(request.path(), parseStart(request.body()));
            } catch (ValidationException unreadable) {
                events.write(
                        Event.MESSAGE_UNREADABLE,
                        "the deregistration of worker " + shortId(request.path()),
                        unreadable.getMessage());
            }
            return acknowledged();
        });
    }

    /**
     * Parses a report.
     *
     * @throws ValidationException if a required field is missing or has the wrong type, so that the worker can't be
     *     used
     */
    static WorkerReport parse(String worker, JsonNode report) {
        Check.text("worker", worker, Check.MAX_NAME_LENGTH);
        String state = Json.requiredString(report, "state");
        boolean validState = state.equals("ready") || state.equals("draining");
        Check.isTrue(validState, "state", "\"" + state + "\" is neither \"ready\" nor \"draining\"");
        JsonNode capacity = report.path("capacity");
        Check.isTrue(capacity.isObject(), "capacity", "is missing");
        JsonNode labels = report.path("labels");
        return new WorkerReport(
                worker,
                Json.integerOrZero(report, "born", 0, Json.MAX_EPOCH_MILLIS),
                ServiceName.of(Json.requiredString(report, "service")),
                AvailabilityZone.of(Json.requiredString(report, "zone")),
                Json.resources(capacity, true),
                labels.isArray() && labels.size() > RACK_LABEL
                        ? labels.get(RACK_LABEL).asText()
                        : "",
                state.equals("draining"),
                Json.requiredInteger(report, "sequence", 0, Long.MAX_VALUE),
                report.has("clockMs")
                        ? Json.requiredInteger(report, "clockMs", 0, Long.MAX_VALUE)
                        : CLOCK_NOT_REPORTED);
    }

    /** Parses the start time in the body of a deregistration, which may be empty. */
    private static long parseStart(byte[] body) {
        return body.length == 0
                ? WorkerReport.START_NOT_REPORTED
                : Json.requiredInteger(Json.parseObject(body), "born", 0, Json.MAX_EPOCH_MILLIS);
    }

    private static String shortId(String worker) {
        return worker.length() <= Check.MAX_NAME_LENGTH ? worker : worker.substring(0, Check.MAX_NAME_LENGTH) + "...";
    }

    private static CompletableFuture<ServerResponse> acknowledged() {
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of()));
    }
}
