package org.gypsumflow.command;

import java.util.Optional;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * Holds what an agent must know to allow a start, as one immutable value that the control thread replaces.
 *
 * @param worker worker of the agent
 * @param zone availability zone of the worker
 * @param service service of the target beside the agent, empty while none is there
 * @param slots how many tasks may run at once
 * @param configuration configuration in force here
 * @param configurationValidUntilNanos monotonic time after which the configuration must not be trusted
 * @param draining true once agent or target is leaving
 */
public record StartGuard(
        WorkerName worker,
        AvailabilityZone zone,
        Optional<ServiceName> service,
        int slots,
        Configuration configuration,
        long configurationValidUntilNanos,
        boolean draining) {

    /**
     * Finds a reason to refuse a start.
     *
     * @param wanted service that the task needs
     * @param running number of tasks running
     * @param nowNanos monotonic time
     * @return the reason, or empty if the start is allowed
     */
    public Optional<String> rejectionReason(ServiceName wanted, int running, long nowNanos) {
        if (draining) {
            return Optional.of("worker \"" + worker + "\" is leaving");
        }
        if (service.isEmpty() || !service.get().equals(wanted)) {
            return Optional.of("worker \"" + worker + "\" has no target of service \"" + wanted + "\"");
        }
        if (nowNanos - configurationValidUntilNanos >= 0) {
            return Optional.of("worker \"" + worker + "\" cannot confirm its configuration");
        }
        if (!configuration.allows(worker, zone, wanted)) {
            return Optional.of("zone \"" + zone + "\", service \"" + wanted + "\" or worker \"" + worker
                    + "\" is closed by an operator");
        }
        if (running >= slots) {
            return Optional.of("worker \"" + worker + "\" has all " + slots + " slots in use");
        }
        return Optional.empty();
    }
}
