package org.gypsumflow.command.interference;

/**
 * What it costs to run a task on a worker beside the kinds that run there, as multiples of its run duration apart from
 * them: its own longer run, and the part of it by which it delays the others.
 *
 * @param first multiple for the first task of a job on the worker; 1 if nothing there disturbs it or is disturbed
 * @param further multiple for a task beside one of the same job
 */
public record Interference(double first, double further) {
    /** Nothing disturbs the task or is disturbed by it. */
    public static final Interference NONE = new Interference(1, 1);
}
