package org.gypsumflow.command.interference;

import java.time.Duration;
import org.gypsumflow.model.RouteName;

/**
 * What is known of the effect of one kind of task on another that runs on the same worker.
 *
 * @param route kind that is slowed down
 * @param neighbour kind that runs beside it
 * @param factor estimated run duration beside the neighbour as a multiple of that apart from it
 * @param lowestFactor lower confidence bound of the factor
 * @param runsBeside runs beside the neighbour that the estimate rests on, older ones counted in part
 * @param runsApart runs apart from it, older ones counted in part
 * @param sinceSeen time since a run beside the neighbour was last reported
 * @param believed true if placement keeps the two kinds apart where there is room
 * @param changedPlacements number of jobs that were placed otherwise because of this pair
 */
public record InterferingPair(
        RouteName route,
        RouteName neighbour,
        double factor,
        double lowestFactor,
        double runsBeside,
        double runsApart,
        Duration sinceSeen,
        boolean believed,
        long changedPlacements) {}
