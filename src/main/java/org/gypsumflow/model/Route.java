package org.gypsumflow.model;

import java.time.Duration;

/**
 * Tells which jobs go to which service, and how soon their callers want the answer.
 *
 * @param name name of the route
 * @param host host name that callers give
 * @param pathPrefix path that the job's path begins with
 * @param service service whose workers run the tasks
 * @param priority 0 goes first
 * @param maxAttempts how often a task may fail before its job has failed
 * @param latencyFactor objective as a multiple of the longest task's running time
 * @param latencyAllowance time that the objective allows beyond that
 * @param timeout how long the route lets a caller wait
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
