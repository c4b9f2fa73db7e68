package org.gypsumflow.command.recovery;

import java.util.Locale;

/** The kinds of calls that an agent makes to its worker. */
public enum CallKind {
    /** Starts a run. */
    START,
    /** Stops a run. */
    STOP,
    /** Renews the lease and lists the runs. */
    LISTING;

    /**
     * Returns the name of the kind in metrics and log lines.
     *
     * @return the name, in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
