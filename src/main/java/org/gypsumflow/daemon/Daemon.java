package org.gypsumflow.daemon;

import org.gypsumflow.model.EventLog;

/** A running daemon of either role. */
public interface Daemon {
    /**
     * Starts a daemon.
     *
     * @param settings its settings
     * @return the running daemon
     */
    static Daemon start(AtMostOnceSettings settings) {
        return settings.role().equals(AtMostOnceSettings.ENTRY)
                ? AtMostOnceEntryDaemon.start(settings)
                : AtMostOnceAgentDaemon.start(settings);
    }

    /**
     * Starts a daemon of the kind that its settings describe.
     *
     * @param reader where the settings stand
     * @return the running daemon
     * @throws org.gypsumflow.model.ValidationException if a setting is missing, wrong or unknown
     */
    static Daemon start(SettingsReader reader) {
        return BestEffortSettings.isPresentIn(reader)
                ? BestEffortDaemon.start(BestEffortSettings.read(reader))
                : start(AtMostOnceSettings.read(reader));
    }

    /**
     * Returns the port on which it serves HTTP.
     *
     * @return the TCP port
     */
    int httpPort();

    /**
     * Returns where its events go.
     *
     * @return the event log
     */
    EventLog events();

    /**
     * Takes settings that were read again, as far as they can change while it runs.
     *
     * @param reader where the settings stand
     * @return what changed, or that a restart is needed
     * @throws org.gypsumflow.model.ValidationException if a setting is missing, wrong or unknown; nothing changes then
     */
    String reload(SettingsReader reader);

    /** Takes no new work, waits for what is in flight up to the drain limit, and stops. */
    void shutdown();

    /** Stops at once, as a kill would. */
    void abort();
}
