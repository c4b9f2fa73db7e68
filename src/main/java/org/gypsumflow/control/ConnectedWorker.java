package org.gypsumflow.control;

import java.util.Optional;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * What an entry knows about a worker.
 *
 * @param worker the worker
 * @param agentIncarnation incarnation of its agent
 * @param zone availability zone
 * @param slots how many tasks may run there at once
 * @param service service of its target, empty while none is there
 * @param runningTasks number of tasks running when it last reported
 * @param credit tasks that this entry may have in flight there
 * @param configurationVersion configuration version that the agent enforces
 * @param draining true once agent or target is leaving
 * @param connection connection to the agent
 */
public record ConnectedWorker(
        WorkerName worker,
        Incarnation agentIncarnation,
        AvailabilityZone zone,
        int slots,
        Optional<ServiceName> service,
        int runningTasks,
        int credit,
        ConfigurationVersion configurationVersion,
        boolean draining,
        Connection connection) {
    /**
     * Tells whether placement must hear of a change at once; the number of running tasks can wait.
     *
     * @param before what was known before of the same worker
     * @return true if service, credit, version or leaving differ
     */
    boolean differsForPlacement(ConnectedWorker before) {
        return !service.equals(before.service)
                || credit != before.credit
                || !configurationVersion.equals(before.configurationVersion)
                || draining != before.draining;
    }
}
