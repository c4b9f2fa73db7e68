package org.gypsumflow.model;

import java.time.Duration;

/**
 * Maps requests for best-effort jobs to a service, and defines the latency objective of these jobs.
 *
 * <p>The latency objective is the run duration of the job's longest task times the latency factor, plus the latency
 * allowance. Scheduling computes it from the estimated run duration.
 *
 * @param name name of the route
 * @param host host name that the request must have, ignoring case; empty to match any host
 * @param pathPrefix prefix that the path of the request must have
 * @param service service whose workers run the tasks
 * @param priority priority of the jobs; 0 is the highest
 * @param maxAttempts number of failed runs of one task after which its job has failed, at least 1
 * @param latencyFactor factor of the latency objective; 1, the default, leaves a task no slack beyond the allowance,
 *     and a smaller factor reduces that slack
 * @param latencyAllowance constant of the latency objective; zero, the default, adds no time to it
 * @param timeout maximum time that a caller may wait for a job, zero if the operator's record holds none; not enforced
 *     here, since the deadline of a request decides how long its job may take
 */
public record Route(
        RouteName name,
        String host,
        String pathPrefix,
        ServiceName service,
        int priority,
        int maxAttempts,
        double latencyFactor,
        Duration latencyAllowance,
        Duration timeout) {}
