package org.gypsumflow.command;

import java.util.Optional;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * Conditions under which an agent allows a task to start; an immutable value that the control thread replaces.
 *
 * @param worker worker of the agent
 * @param zone availability zone of the worker
 * @param service service of the target on the worker, empty while no target is announced
 * @param slots maximum number of tasks that run concurrently on the worker
 * @param configuration configuration that the agent applies
 * @param configurationValidUntilNanos monotonic time in nanoseconds from which the configuration is too old to be
 *     relied on
 * @param draining true once the agent or its target is draining
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
     * Returns the reason to reject a start, if there is one.
     *
     * @param requiredService service that the task needs
     * @param running number of tasks that are running on the worker
     * @param nowNanos monotonic time in nanoseconds
     * @return the reason, for the caller, or empty if the task may start
     */
    public Optional<String> rejectionReason(ServiceName requiredService, int running, long nowNanos) {
        if (draining) {
            return Optional.of("worker \"" + worker + "\" is draining");
        }
        if (service.isEmpty() || !service.get().equals(requiredService)) {
            return Optional.of("worker \"" + worker + "\" has no target of service \"" + requiredService + "\"");
        }
        if (nowNanos - configurationValidUntilNanos >= 0) {
            return Optional.of("worker \"" + worker + "\" cannot confirm that its configuration is the newest");
        }
        if (!configuration.allows(worker, zone, requiredService)) {
            return Optional.of("zone \"" + zone + "\", service \"" + requiredService + "\" or worker \"" + worker
                    + "\" is closed by an operator");
        }
        if (running >= slots) {
            return Optional.of("worker \"" + worker + "\" has all " + slots + " slots in use");
        }
        return Optional.empty();
    }
}
