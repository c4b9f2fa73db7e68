package org.gypsumflow.query;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/** Summarizes the state of the system as one entry knows it, as an overview for operators. */
public final class StatusQuery {
    /**
     * The summary; its components are written to HTTP responses under their own names.
     *
     * @param entry name of the entry
     * @param ready true if the entry accepts jobs
     * @param version configuration version that the entry knows
     * @param configurationAgeMillis time since that version was last known to be the newest, negative if it never was
     * @param entries names of the entries in service
     * @param workers number of connected workers
     * @param behind number of connected workers whose agents apply an older configuration version
     * @param closedZones closed availability zones
     * @param stoppedServices stopped services
     * @param quarantinedWorkers quarantined workers
     * @param quotas maximum number of tasks in flight by caller
     * @param rules values of the rules by name
     * @param openJobs number of active jobs at this entry
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
     * Summarizes the state of an entry.
     *
     * @param snapshot control state of the entry
     * @param openJobs number of active jobs at the entry
     * @param waitingTasks number of tasks that wait for a slot at the entry
     * @return the summary
     */
    public static Status summarize(EntrySnapshot snapshot, int openJobs, int waitingTasks) {
        Map<String, Integer> quotas = new TreeMap<>();
        snapshot.configuration().quotas().forEach((caller, quota) -> quotas.put(caller.value(), quota));
        int behind = (int) snapshot.workers().values().stream()
                .filter(connected -> snapshot.configurationVersion().isAfter(connected.configurationVersion()))
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
