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

/** Reads what the operator writes to the store; used on one lane. */
public final class OperatorRecordReader {
    /** Topic of the operator's records. */
    public static final String TOPIC = "op";

    private static final String ROUTES_KEY = "config";
    private static final String EVACUATION_PREFIX = "evacuate/";

    private final Consumer<ShareRoutingState> known;
    private final EventLog events;
    private final Set<AvailabilityZone> zones = new TreeSet<>();
    private RoutingTable table = RoutingTable.UNKNOWN;

    private OperatorRecordReader(Consumer<ShareRoutingState> known, EventLog events) {
        this.known = known;
        this.events = events;
    }

    /**
     * Creates a reader that has read nothing.
     *
     * @param known takes the routes and closures after each page
     * @param events receives numbered events
     * @return the reader
     */
    public static OperatorRecordReader create(Consumer<ShareRoutingState> known, EventLog events) {
        return new OperatorRecordReader(known, events);
    }

    /**
     * Takes the newest record of each key, in place of all read before.
     *
     * @param page the records
     */
    public void replaceAll(Page page) {
        zones.clear();
        applyUpdates(page);
    }

    /**
     * Takes records in order.
     *
     * @param page the records
     */
    public void applyUpdates(Page page) {
        page.records().forEach(this::take);
        known.accept(new ShareRoutingState(table, new ClosedZones(page.endOffset(), zones)));
    }

    private void take(KeyedRecord record) {
        try {
            String key = record.key();
            if (key.equals(ROUTES_KEY) && record.value().length > 0) {
                table = parseRoutes(Json.parseObject(record.value()));
            } else if (key.startsWith(EVACUATION_PREFIX)) {
                AvailabilityZone zone = AvailabilityZone.of(key.substring(EVACUATION_PREFIX.length()));
                if (record.value().length > 0) {
                    zones.add(zone);
                } else {
                    zones.remove(zone);
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
        Set<ServiceName> guarded = new TreeSet<>();
        for (JsonNode service : body.path("services")) {
            if (Json.booleanOrFalse(service, "enforcesCapacity")) {
                guarded.add(ServiceName.of(Json.requiredString(service, "name")));
            }
        }
        return new RoutingTable(Json.requiredInteger(body, "version"), List.copyOf(routes), Set.copyOf(guarded));
    }
}
