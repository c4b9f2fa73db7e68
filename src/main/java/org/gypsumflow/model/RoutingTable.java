package org.gypsumflow.model;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The active routes, and the services whose workers enforce their capacity.
 *
 * @param version version of the routes; a table with a higher version replaces one with a lower version
 * @param routes all routes
 * @param capacityEnforcingServices services whose workers reject tasks that exceed their free resources
 */
public record RoutingTable(long version, List<Route> routes, Set<ServiceName> capacityEnforcingServices) {
    /** The routing table of a process that has not received any routes yet. */
    public static final RoutingTable UNKNOWN = new RoutingTable(-1, List.of(), Set.of());

    /**
     * Returns whether any routes have been received.
     *
     * @return false for {@link #UNKNOWN}
     */
    public boolean isKnown() {
        return version >= 0;
    }

    /**
     * Finds the route that matches a request; of several, that with the longest path prefix.
     *
     * @param host host name of the request, without a port
     * @param path path of the request
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        return routes.stream()
                .filter(route -> route.host().isEmpty() || route.host().equalsIgnoreCase(host))
                .filter(route -> path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    /**
     * Finds a route of one version of the routes.
     *
     * @param name name of the route
     * @param routesVersion version of the routes
     * @return the route, or empty if this table has another version or no such route
     */
    public Optional<Route> find(RouteName name, long routesVersion) {
        return routes.stream()
                .filter(route -> version == routesVersion && route.name().equals(name))
                .findFirst();
    }
}
