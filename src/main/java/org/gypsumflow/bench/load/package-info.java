/**
 * A discrete-event simulation of best-effort jobs under named load patterns. The entries and agents run the production
 * classes {@link org.gypsumflow.command.JobDispatcher} and {@link org.gypsumflow.command.AgentScheduler}; workers, the
 * network and the clock are simulated, and jobs are generated at random. Its figures are ratios for comparing placement
 * policies; runs on the platform confirm them.
 */
package org.gypsumflow.bench.load;
