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
        for (JsonNode route : body.path("routes")) {
            routes.add(new Route(
                    RouteName.of(Json.requiredString(route, "name")),
                    Json.optionalString(route, "host").orElse(""),
                    Json.requiredString(route, "pathPrefix"),
                    ServiceName.of(Json.requiredString(route, "service")),
                    (int) Json.integerOrZero(route, "priority"),
                    (int) Math.max(1, Json.integerOrZero(route, "maxAttempts")),
                    Json.numberOrDefault(route, "stretch", 1),
                    Duration.ofMillis((long) Json.numberOrDefault(route, "targetLatencyMs", 0)),
                    Duration.ofMillis((long) Json.numberOrDefault(route, "timeoutMs", 0))));
        }
        Set<ServiceName> capacityEnforcing = new TreeSet<>();
        for (JsonNode service : body.path("services")) {
            if (Json.booleanOrFalse(service, "enforcesCapacity")) {
                capacityEnforcing.add(ServiceName.of(Json.requiredString(service, "name")));
            }
        }
        return new RoutingTable(
                Json.requiredInteger(body, "version"), List.copyOf(routes), Set.copyOf(capacityEnforcing));
    }
}
