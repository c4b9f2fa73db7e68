/**
 * Processing of jobs on the traffic executors: claims, placement, task execution and outcomes.
 *
 * <p>The {@code AtMostOnce} classes run jobs whose submission is claimed in the log first; the {@code BestEffort}
 * classes run jobs that are kept in memory only.
 */
package org.gypsumflow.traffic;
