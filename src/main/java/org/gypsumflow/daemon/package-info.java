/**
 * Command line, settings, threads, telemetry, start and shutdown of the daemons.
 *
 * <p>The settings file decides which daemon runs. With a {@code dispatch} table it is one for best-effort jobs, which
 * are kept in memory only, on the users' platform; its settings are {@code BestEffortSettings}. Without that table it
 * is one for claimed jobs, whose submissions are claimed in the platform's log first; its settings are {@link
 * org.gypsumflow.daemon.AtMostOnceSettings}. The setting {@code role} chooses between entry and agent in both cases.
 */
package org.gypsumflow.daemon;
