package org.gypsumflow.query;

import java.util.Comparator;
import java.util.List;
import org.gypsumflow.control.ConnectedWorker;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.model.ServiceName;

/** Lists the workers that are connected to an entry. */
public final class WorkerQuery {
    /**
     * A connected worker; the components are written to HTTP responses under their own names.
     *
     * @param worker name of the worker
     * @param zone availability zone of the worker
     * @param service service of the worker's target, empty while no target is announced
     * @param slots maximum number of tasks that run concurrently on the worker
     * @param running number of tasks that were running at the agent's last heartbeat
     * @param version configuration version that the agent applies
     * @param standing status of the worker: "open", "closed", "leaving" or "no target"
     */
    public record Row(
            String worker, String zone, String service, int slots, int running, long version, String standing) {}

    private WorkerQuery() {}

    /**
     * Lists the workers.
     *
     * @param snapshot control state of the entry
     * @return one row per connected worker, ordered by name
     */
    public static List<Row> list(EntrySnapshot snapshot) {
        return snapshot.workers().values().stream()
                .sorted(Comparator.comparing(ConnectedWorker::worker))
                .map(connected -> row(snapshot, connected))
                .toList();
    }

    private static Row row(EntrySnapshot snapshot, ConnectedWorker connected) {
        return new Row(
                connected.worker().value(),
                connected.zone().value(),
                connected.service().map(ServiceName::value).orElse(""),
                connected.slots(),
                connected.runningTasks(),
                connected.configurationVersion().value(),
                status(snapshot, connected));
    }

    private static String status(EntrySnapshot snapshot, ConnectedWorker connected) {
        if (connected.draining()) {
            return "leaving";
        }
        if (connected.service().isEmpty()) {
            return "no target";
        }
        boolean open = snapshot.configuration()
                .allows(
                        connected.worker(),
                        connected.zone(),
                        connected.service().get());
        return open ? "open" : "closed";
    }
}
