package org.gypsumflow.command;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/** A change of the configuration that an operator can request. */
public sealed interface ConfigurationChange {
    /**
     * Subject shared by all changes that open or close a zone, since each of them affects the capacity that remains for
     * the others.
     */
    String ZONES_SUBJECT = "zones";

    /**
     * Returns the configuration that results from this change.
     *
     * @param before configuration to which the change is applied
     * @return the changed configuration; equal to {@code before} if the change has no effect
     */
    Configuration applyTo(Configuration before);

    /**
     * Returns what the change affects; two changes with the same subject conflict.
     *
     * @return the subject, such as {@code zones} or {@code service bookings}
     */
    String subject();

    /**
     * Closes an availability zone, so that no task starts there.
     *
     * @param zone zone to close
     */
    record CloseZone(AvailabilityZone zone) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            return withZones(before, with(before.closedZones(), zone));
        }

        @Override
        public String subject() {
            return ZONES_SUBJECT;
        }
    }

    /**
     * Opens a closed availability zone.
     *
     * @param zone zone to open
     */
    record OpenZone(AvailabilityZone zone) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            return withZones(before, without(before.closedZones(), zone));
        }

        @Override
        public String subject() {
            return ZONES_SUBJECT;
        }
    }

    /**
     * Stops a service, so that none of its tasks start.
     *
     * @param service service to stop
     */
    record StopService(ServiceName service) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            return withServices(before, with(before.stoppedServices(), service));
        }

        @Override
        public String subject() {
            return "service " + service;
        }
    }

    /**
     * Starts a stopped service again.
     *
     * @param service service to start
     */
    record StartService(ServiceName service) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            return withServices(before, without(before.stoppedServices(), service));
        }

        @Override
        public String subject() {
            return "service " + service;
        }
    }

    /**
     * Quarantines a worker, so that no task starts there.
     *
     * @param worker worker to quarantine
     */
    record QuarantineWorker(WorkerName worker) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            return withWorkers(before, with(before.quarantinedWorkers(), worker));
        }

        @Override
        public String subject() {
            return "worker " + worker;
        }
    }

    /**
     * Releases a worker from quarantine.
     *
     * @param worker quarantined worker
     */
    record ReleaseWorker(WorkerName worker) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            return withWorkers(before, without(before.quarantinedWorkers(), worker));
        }

        @Override
        public String subject() {
            return "worker " + worker;
        }
    }

    /**
     * Sets the maximum number of tasks that a caller may have in flight.
     *
     * @param caller caller whose tasks are limited
     * @param tasks maximum number of tasks in flight, over all entries
     */
    record SetQuota(Caller caller, int tasks) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            Map<Caller, Integer> quotas = new HashMap<>(before.quotas());
            quotas.put(caller, tasks);
            return new Configuration(
                    before.closedZones(),
                    before.stoppedServices(),
                    before.quarantinedWorkers(),
                    quotas,
                    before.rules());
        }

        @Override
        public String subject() {
            return "quota " + caller;
        }
    }

    /**
     * Sets a rule of the configuration.
     *
     * @param name name of the rule
     * @param value value of the rule, which replaces an earlier one
     */
    record SetRule(String name, String value) implements ConfigurationChange {
        @Override
        public Configuration applyTo(Configuration before) {
            Map<String, String> rules = new HashMap<>(before.rules());
            rules.put(name, value);
            return new Configuration(
                    before.closedZones(),
                    before.stoppedServices(),
                    before.quarantinedWorkers(),
                    before.quotas(),
                    rules);
        }

        @Override
        public String subject() {
            return "rule " + name;
        }
    }

    private static <T> Set<T> with(Set<T> before, T element) {
        Set<T> after = new HashSet<>(before);
        after.add(element);
        return after;
    }

    private static <T> Set<T> without(Set<T> before, T element) {
        Set<T> after = new HashSet<>(before);
        after.remove(element);
        return after;
    }

    private static Configuration withZones(Configuration before, Set<AvailabilityZone> zones) {
        return new Configuration(
                zones, before.stoppedServices(), before.quarantinedWorkers(), before.quotas(), before.rules());
    }

    private static Configuration withServices(Configuration before, Set<ServiceName> services) {
        return new Configuration(
                before.closedZones(), services, before.quarantinedWorkers(), before.quotas(), before.rules());
    }

    private static Configuration withWorkers(Configuration before, Set<WorkerName> workers) {
        return new Configuration(
                before.closedZones(), before.stoppedServices(), workers, before.quotas(), before.rules());
    }
}
