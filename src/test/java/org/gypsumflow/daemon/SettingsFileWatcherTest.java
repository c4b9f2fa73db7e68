package org.gypsumflow.daemon;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class SettingsFileWatcherTest {
    private Path file;
    private SettingsFileWatcher watcher;

    @BeforeMethod
    public void createFileAndWatcher() throws IOException {
        file = Files.createTempFile("settings", ".toml");
        Files.writeString(file, "role = \"entry\"");
        watcher = SettingsFileWatcher.of(file);
    }

    @AfterMethod
    public void deleteFile() throws IOException {
        Files.deleteIfExists(file);
    }

    @Test
    public void anUnchangedFileIsNotReported() {
        assertFalse(watcher.hasChanged());
    }

    @Test
    public void aChangeIsReportedOnce() throws IOException {
        Files.writeString(file, "role = \"agent\"");
        assertTrue(watcher.hasChanged());
        assertFalse(watcher.hasChanged());
    }

    @Test
    public void aFileThatIsBeingReplacedIsReportedAtTheNextCheck() throws IOException {
        Files.delete(file);
        assertFalse(watcher.hasChanged());
        Files.writeString(file, "role = \"agent\"");
        assertTrue(watcher.hasChanged());
    }
}
