package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.gypsumflow.log.CompactedLog.KeyedRecord;
import org.gypsumflow.log.CompactedLog.Page;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.ClosedZones;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.RoutingTable;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;

/**
 * Derives the routes and the closed zones from the records that the platform's operator writes to the store.
 *
 * <p>Not thread-safe: all calls come from one serial executor.
 */
public final class OperatorRecordReader {
    /** Topic of the operator's records, without the prefix of compacted topics. */
    public static final String TOPIC = "op";

    private static final String ROUTES_KEY = "config";
    /** Maximum factor of a latency objective that is read; its product with a duration fits into 64 bits. */
    private static final double MAX_LATENCY_FACTOR = 1000;

    private static final String EVACUATION_PREFIX = "evacuate/";

    private final Consumer<ShareRoutingState> listener;
    private final EventLog events;
    private final Set<AvailabilityZone> closedZones = new TreeSet<>();
    private RoutingTable table = RoutingTable.UNKNOWN;

    private OperatorRecordReader(Consumer<ShareRoutingState> listener, EventLog events) {
        this.listener = listener;
        this.events = events;
    }

    /**
     * Creates a reader that has read nothing: no routes, no closed zones.
     *
     * @param listener receives the routes and closed zones after each page
     * @param events receives numbered events
     * @return the reader
     */
    public static OperatorRecordReader create(Consumer<ShareRoutingState> listener, EventLog events) {
        return new OperatorRecordReader(listener, events);
    }

    /**
     * Replaces the closed zones by those of a full page; the routes stay until a valid record replaces them.
     *
     * @param page the latest record of each key
     */
    public void replaceAll(Page page) {
        closedZones.clear();
        applyUpdates(page);
    }

    /**
     * Applies records and passes the result to the listener; a record that cannot be parsed is logged and skipped.
     *
     * @param page records in the order of their offsets; may be empty
     */
    public void applyUpdates(Page page) {
        page.records().forEach(this::apply);
        listener.accept(new ShareRoutingState(table, new ClosedZones(page.endOffset(), closedZones)));
    }

    private void apply(KeyedRecord record) {
        try {
            String key = record.key();
            if (key.equals(ROUTES_KEY) && record.value().length > 0) {
                table = parseRoutes(Json.parseObject(record.value()));
            } else if (key.startsWith(EVACUATION_PREFIX)) {
                AvailabilityZone zone = AvailabilityZone.of(key.substring(EVACUATION_PREFIX.length()));
                if (record.value().length > 0) {
                    closedZones.add(zone);
                } else {
                    closedZones.remove(zone);
                }
            }
        } catch (ValidationException unreadable) {
            events.write(
                    Event.MESSAGE_UNREADABLE, "record " + record.key() + " of the operator", unreadable.getMessage());
        }
    }

    static RoutingTable parseRoutes(JsonNode body) {
        List<Route> routes = new ArrayList<>();
        Check.isTrue(body.path("routes").isArray(), "routes", "is missing or not an array");
        for (JsonNode route : body.path("routes")) {
            routes.add(new Route(
                    RouteName.of(Json.requiredString(route, "name")),
                    Json.optionalString(route, "host").orElse(""),
                    Json.requiredString(route, "pathPrefix"),
                    ServiceName.of(Json.requiredString(route, "service")),
                    (int) Json.integerOrZero(route, "priority", 0, Integer.MAX_VALUE),
                    (int) Math.max(1, Json.integerOrZero(route, "maxAttempts", 0, Integer.MAX_VALUE)),
                    Json.numberOrDefault(route, "stretch", 1, 0, MAX_LATENCY_FACTOR),
                    durationOrZero(route, "targetLatencyMs"),
                    durationOrZero(route, "timeoutMs")));
        }
        Set<ServiceName> capacityEnforcing = new TreeSet<>();
        for (JsonNode service : Json.arrayOrEmpty(body, "services")) {
            if (Json.booleanOrFalse(service, "enforcesCapacity")) {
                capacityEnforcing.add(ServiceName.of(Json.requiredString(service, "name")));
            }
        }
        return new RoutingTable(
                Json.requiredInteger(body, "version", 0, Long.MAX_VALUE),
                List.copyOf(routes),
                Set.copyOf(capacityEnforcing));
    }

    private static Duration durationOrZero(JsonNode route, String field) {
        return Duration.ofMillis((long) Json.numberOrDefault(route, field, 0, 0, Json.MAX_DURATION_MILLIS));
    }
}
