package org.gypsumflow.control;

/**
 * Size of an agent.
 *
 * @param slots how many tasks may run at once
 * @param maxEntries number of entries that the agent connects to
 */
public record AgentSettings(int slots, int maxEntries) {}
