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

/** One change of the configuration that an operator can intend. */
public sealed interface ConfigurationChange {
    /** Subject shared by all openings and closings of zones, since each changes what the others leave over. */
    String ZONES_SUBJECT = "zones";

    /**
     * Applies the change.
     *
     * @param before configuration to change
     * @return the changed configuration
     */
    Configuration applyTo(Configuration before);

    /**
     * Names what the change is about; two changes of one subject conflict.
     *
     * @return the subject
     */
    String subject();

    /**
     * Closes an availability zone.
     *
     * @param zone the zone
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
     * Opens an availability zone.
     *
     * @param zone the zone
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
     * Stops a service: none of its tasks start.
     *
     * @param service the service
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
     * @param service the service
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
     * Puts a worker aside: nothing starts there.
     *
     * @param worker the worker
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
     * Takes a worker back.
     *
     * @param worker the worker
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
     * Limits how many tasks of a caller may be in flight.
     *
     * @param caller the caller
     * @param tasks most tasks in flight over all entries
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
     * Sets a standing rule.
     *
     * @param name name of the rule
     * @param value its value
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
