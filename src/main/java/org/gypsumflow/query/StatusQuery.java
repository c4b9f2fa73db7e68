package org.gypsumflow.query;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/** Summarizes what an entry knows, for an operator's first look. */
public final class StatusQuery {
    /**
     * The summary.
     *
     * @param entry name of the entry that answers
     * @param ready true if it takes work
     * @param version configuration version it knows
     * @param configurationAgeMillis age of the last proof that this version is the newest, negative if there is none
     * @param entries names of the entries in service
     * @param workers number of connected workers
     * @param behind number of connected workers that enforce an older version
     * @param closedZones closed availability zones
     * @param stoppedServices stopped services
     * @param quarantinedWorkers workers put aside
     * @param quotas quotas by caller
     * @param rules standing rules by name
     * @param openJobs number of jobs without an answer at this entry
     * @param waitingTasks number of tasks that wait for a slot at this entry
     */
    public record Status(
            String entry,
            boolean ready,
            long version,
            long configurationAgeMillis,
            List<String> entries,
            int workers,
            int behind,
            List<String> closedZones,
            List<String> stoppedServices,
            List<String> quarantinedWorkers,
            Map<String, Integer> quotas,
            Map<String, String> rules,
            int openJobs,
            int waitingTasks) {}

    private StatusQuery() {}

    /**
     * Summarizes a snapshot.
     *
     * @param snapshot what the entry knows
     * @param openJobs number of jobs without an answer
     * @param waitingTasks number of tasks that wait for a slot
     * @return the summary
     */
    public static Status summarize(EntrySnapshot snapshot, int openJobs, int waitingTasks) {
        Map<String, Integer> quotas = new TreeMap<>();
        snapshot.configuration().quotas().forEach((caller, quota) -> quotas.put(caller.value(), quota));
        int behind = (int) snapshot.workers().values().stream()
                .filter(view -> snapshot.configurationVersion().isAfter(view.configurationVersion()))
                .count();
        return new Status(
                snapshot.self().name().value(),
                snapshot.ready(),
                snapshot.configurationVersion().value(),
                snapshot.configurationAgeMillis(),
                snapshot.entriesInService().stream()
                        .map(entry -> entry.name().value())
                        .sorted()
                        .toList(),
                snapshot.workers().size(),
                behind,
                snapshot.configuration().closedZones().stream()
                        .map(AvailabilityZone::value)
                        .sorted()
                        .toList(),
                snapshot.configuration().stoppedServices().stream()
                        .map(ServiceName::value)
                        .sorted()
                        .toList(),
                snapshot.configuration().quarantinedWorkers().stream()
                        .map(WorkerName::value)
                        .sorted()
                        .toList(),
                quotas,
                new TreeMap<>(snapshot.configuration().rules()),
                openJobs,
                waitingTasks);
    }
}
