package org.gypsumflow.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/** Notices that a settings file has changed, since not every change is told by a signal. */
final class SettingsFileWatcher {
    /** Time between two looks at the file; its changes are rare, and no setting is urgent. */
    static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

    private final Path file;
    private String seen;

    private SettingsFileWatcher(Path file) {
        this.file = file;
        this.seen = content();
    }

    /**
     * Begins to watch a file as it is now.
     *
     * @throws UncheckedIOException if it cannot be read
     */
    static SettingsFileWatcher of(Path file) {
        return new SettingsFileWatcher(file);
    }

    /** Tells whether the file differs from what was last seen of it; one that is being replaced is looked at again later. */
    boolean hasChanged() {
        if (!Files.isReadable(file)) {
            return false;
        }
        String now = content();
        boolean changed = !now.equals(seen);
        seen = now;
        return changed;
    }

    private String content() {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }
}
