package org.gypsumflow.model;

import java.util.Map;
import java.util.Set;

/**
 * The configuration that results from all accepted plans of the operators; immutable.
 *
 * @param closedZones availability zones in which no task may start
 * @param stoppedServices services whose tasks may not start
 * @param quarantinedWorkers workers on which no task may start
 * @param quotas maximum number of tasks in flight by caller, over all entries; a missing caller is not limited
 * @param rules values of the rules by name
 */
public record Configuration(
        Set<AvailabilityZone> closedZones,
        Set<ServiceName> stoppedServices,
        Set<WorkerName> quarantinedWorkers,
        Map<Caller, Integer> quotas,
        Map<String, String> rules) {
    /** The configuration in which nothing is closed, stopped, quarantined or limited. */
    public static final Configuration EMPTY = new Configuration(Set.of(), Set.of(), Set.of(), Map.of(), Map.of());

    /** Makes unmodifiable copies of the collections. */
    public Configuration {
        closedZones = Set.copyOf(closedZones);
        stoppedServices = Set.copyOf(stoppedServices);
        quarantinedWorkers = Set.copyOf(quarantinedWorkers);
        quotas = Map.copyOf(quotas);
        rules = Map.copyOf(rules);
    }

    /**
     * Returns whether a worker may start tasks of a service.
     *
     * @param worker name of the worker
     * @param zone availability zone of the worker
     * @param service service of the tasks
     * @return true unless the zone is closed, the service is stopped or the worker is quarantined
     */
    public boolean allows(WorkerName worker, AvailabilityZone zone, ServiceName service) {
        return !closedZones.contains(zone)
                && !stoppedServices.contains(service)
                && !quarantinedWorkers.contains(worker);
    }
}
