package org.gypsumflow.daemon;

import org.gypsumflow.model.EventLog;

/**
 * A running daemon: an entry or an agent, for claimed jobs or for best-effort jobs.
 *
 * <p>A settings file with a {@code dispatch} table starts a daemon for best-effort jobs, one without it a daemon for
 * claimed jobs.
 */
public interface Daemon {
    /**
     * Starts a daemon for claimed jobs.
     *
     * @param settings settings, which give the role
     * @return the running daemon
     */
    static Daemon start(AtMostOnceSettings settings) {
        return settings.role().equals(AtMostOnceSettings.ENTRY)
                ? AtMostOnceEntryDaemon.start(settings)
                : AtMostOnceAgentDaemon.start(settings);
    }

    /**
     * Starts a daemon of the kind and role that its settings give.
     *
     * @param reader parsed settings file
     * @return the running daemon
     * @throws org.gypsumflow.model.ValidationException if a setting is missing, invalid or unknown
     */
    static Daemon start(SettingsReader reader) {
        return BestEffortSettings.isPresentIn(reader)
                ? BestEffortDaemon.start(BestEffortSettings.read(reader))
                : start(AtMostOnceSettings.read(reader));
    }

    /**
     * Returns the port on which the daemon serves HTTP.
     *
     * @return TCP port; the assigned one if the settings ask for a free port
     */
    int httpPort();

    /**
     * Returns the event log of the daemon.
     *
     * @return log that receives the daemon's numbered events
     */
    EventLog events();

    /**
     * Applies changed settings as far as that is possible without a restart.
     *
     * @param reader the settings file, parsed again
     * @return description of what changed or needs a restart, for the event log
     * @throws org.gypsumflow.model.ValidationException if a setting is missing, invalid or unknown; nothing changes
     *     then
     */
    String reload(SettingsReader reader);

    /** Rejects new work, waits a bounded time for active work to finish, and stops. */
    void shutdown();

    /** Stops immediately without draining, as a kill of the process would. */
    void abort();
}
