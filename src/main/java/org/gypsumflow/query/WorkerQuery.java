package org.gypsumflow.query;

import java.util.Comparator;
import java.util.List;
import org.gypsumflow.control.ConnectedWorker;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.model.ServiceName;

/** Lists the workers that an entry knows. */
public final class WorkerQuery {
    /**
     * One worker.
     *
     * @param worker name
     * @param zone availability zone
     * @param service service of its target, empty while none is there
     * @param slots how many tasks may run there at once
     * @param running number of tasks running when it last reported
     * @param version configuration version that its agent enforces
     * @param standing "open", "closed", "leaving" or "no target"
     */
    public record Row(
            String worker, String zone, String service, int slots, int running, long version, String standing) {}

    private WorkerQuery() {}

    /**
     * Lists the workers by name.
     *
     * @param snapshot what the entry knows
     * @return one row per worker
     */
    public static List<Row> list(EntrySnapshot snapshot) {
        return snapshot.workers().values().stream()
                .sorted(Comparator.comparing(ConnectedWorker::worker))
                .map(view -> row(snapshot, view))
                .toList();
    }

    private static Row row(EntrySnapshot snapshot, ConnectedWorker view) {
        return new Row(
                view.worker().value(),
                view.zone().value(),
                view.service().map(ServiceName::value).orElse(""),
                view.slots(),
                view.runningTasks(),
                view.configurationVersion().value(),
                standing(snapshot, view));
    }

    private static String standing(EntrySnapshot snapshot, ConnectedWorker view) {
        if (view.draining()) {
            return "leaving";
        }
        if (view.service().isEmpty()) {
            return "no target";
        }
        boolean open = snapshot.configuration()
                .allows(view.worker(), view.zone(), view.service().get());
        return open ? "open" : "closed";
    }
}
