package org.gypsumflow.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/** Detects changes of a settings file by polling, since not every change is announced by SIGHUP. */
final class SettingsFileWatcher {
    /** Time between two checks of the file; changes are rare, and no setting is urgent. */
    static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

    private final Path file;
    private String lastContent;

    private SettingsFileWatcher(Path file) {
        this.file = file;
        this.lastContent = readContent();
    }

    /**
     * Starts from the current content of a file, so that only later changes are reported.
     *
     * @throws UncheckedIOException if the file cannot be read
     */
    static SettingsFileWatcher of(Path file) {
        return new SettingsFileWatcher(file);
    }

    /**
     * Returns whether the content has changed since the last check. A file that cannot be read, such as one being
     * replaced, counts as unchanged until the next check.
     */
    boolean hasChanged() {
        if (!Files.isReadable(file)) {
            return false;
        }
        String currentContent = readContent();
        boolean changed = !currentContent.equals(lastContent);
        lastContent = currentContent;
        return changed;
    }

    private String readContent() {
        try {
            return Files.readString(file);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
