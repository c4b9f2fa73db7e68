package org.gypsumflow.command.interference;

import org.gypsumflow.model.BestEffortMessage.RunSurroundings;

/**
 * One run of a task of a completed job.
 *
 * @param logWork natural logarithm of the run duration in nanoseconds, less that of the slowdown of its worker
 * @param surroundings what ran beside it
 */
public record RunObservation(double logWork, RunSurroundings surroundings) {}
