package org.gypsumflow.model;

/**
 * The state that a worker reports of itself to the agent on its host.
 *
 * @param worker id of the worker
 * @param startedAtMillis when the worker started, in milliseconds since the epoch; identifies its incarnation
 * @param service service whose tasks the worker runs
 * @param zone availability zone of the worker
 * @param capacity total resources of the worker
 * @param rack rack of the worker, empty if not reported
 * @param draining true if the worker accepts no new tasks
 * @param sequence number that increases with each report of one incarnation
 * @param clockMillis time of the worker's clock when it sent the report, in milliseconds; negative if not reported
 */
public record WorkerReport(
        String worker,
        long startedAtMillis,
        ServiceName service,
        AvailabilityZone zone,
        Resources capacity,
        String rack,
        boolean draining,
        long sequence,
        long clockMillis) {
    /** Stands for the start time of an incarnation in a message of a worker that does not report it. */
    public static final long START_NOT_REPORTED = -1;
}
