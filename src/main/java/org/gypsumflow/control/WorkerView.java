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
 * @param agent incarnation of its agent
 * @param zone availability zone
 * @param slots how many tasks may run there at once
 * @param service service of its target, empty while none is there
 * @param running number of tasks running when it last reported
 * @param credit tasks that this entry may have in flight there
 * @param version configuration version that the agent enforces
 * @param leaving true once agent or target is leaving
 * @param link connection to the agent
 */
public record WorkerView(
        WorkerName worker,
        Incarnation agent,
        AvailabilityZone zone,
        int slots,
        Optional<ServiceName> service,
        int running,
        int credit,
        ConfigurationVersion version,
        boolean leaving,
        Link link) {
    /**
     * Tells whether placement must hear of a change at once; the number of running tasks can wait.
     *
     * @param before what was known before of the same worker
     * @return true if service, credit, version or leaving differ
     */
    boolean placesDifferently(WorkerView before) {
        return !service.equals(before.service)
                || credit != before.credit
                || !version.equals(before.version)
                || leaving != before.leaving;
    }
}
