package org.gypsumflow.model;

/**
 * What a worker says of itself.
 *
 * @param worker its id
 * @param startedAtMillis when this life of it began, in milliseconds since the epoch; tells its lives apart
 * @param service service that it belongs to
 * @param zone its availability zone
 * @param capacity what it has
 * @param rack where it stands, empty if it does not say
 * @param draining true if it is about to leave
 * @param sequence rises with each report of one life
 */
public record WorkerReport(
        String worker,
        long startedAtMillis,
        ServiceName service,
        AvailabilityZone zone,
        Resources capacity,
        String rack,
        boolean draining,
        long sequence) {}
