package org.gypsumflow.control;

import java.util.Optional;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * State of a worker whose agent is connected to this entry.
 *
 * @param worker name of the worker
 * @param agentIncarnation incarnation of the connected agent
 * @param zone availability zone of the worker
 * @param slots maximum number of tasks that run concurrently on the worker
 * @param service service of the worker's target, empty while no target is registered
 * @param runningTasks number of tasks running, from the latest heartbeat
 * @param credit maximum number of unfinished tasks that this entry may have there; 0 before the first heartbeat
 * @param configurationVersion configuration version that the agent enforces
 * @param draining true once the agent or the target is draining
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
     * Returns whether placement has to be notified immediately; a change of {@link #runningTasks} alone can wait.
     *
     * @param previous earlier state of the same worker
     * @return true if the service, credit, configuration version or draining flag differs
     */
    boolean differsForPlacement(ConnectedWorker previous) {
        return !service.equals(previous.service)
                || credit != previous.credit
                || !configurationVersion.equals(previous.configurationVersion)
                || draining != previous.draining;
    }
}
