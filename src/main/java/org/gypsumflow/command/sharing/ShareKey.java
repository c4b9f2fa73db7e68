package org.gypsumflow.command.sharing;

import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.RouteName;

/**
 * Identifies what competes for the capacity of a service: the requests of one route from the callers of one zone.
 *
 * @param route name of the route
 * @param zone zone of the entry that accepted the requests
 */
public record ShareKey(RouteName route, AvailabilityZone zone) {}
