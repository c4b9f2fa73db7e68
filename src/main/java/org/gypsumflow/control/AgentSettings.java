package org.gypsumflow.control;

/**
 * Concurrency limits of an agent.
 *
 * @param slots maximum number of tasks that run concurrently on the worker
 * @param maxEntries maximum number of entries to which the agent keeps a connection
 */
public record AgentSettings(int slots, int maxEntries) {}
