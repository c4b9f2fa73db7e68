package org.gypsumflow.model;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The routes in force and the zones that are being emptied.
 *
 * @param version version of the routes; a higher one replaces a lower one
 * @param routes all routes
 * @param capacityEnforcingServices services whose workers refuse what does not fit
 */
public record RoutingTable(long version, List<Route> routes, Set<ServiceName> capacityEnforcingServices) {
    /** The table of a process that knows no routes yet. */
    public static final RoutingTable UNKNOWN = new RoutingTable(-1, List.of(), Set.of());

    /**
     * Tells whether any routes were ever received.
     *
     * @return false while nothing is known
     */
    public boolean isKnown() {
        return version >= 0;
    }

    /**
     * Finds the route of a path; the longest prefix wins.
     *
     * @param host host name that the caller gave, without a port
     * @param path path of the request
     * @return the route, if there is one
     */
    public Optional<Route> find(String host, String path) {
        return routes.stream()
                .filter(route -> route.host().isEmpty() || route.host().equalsIgnoreCase(host))
                .filter(route -> path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }
}
