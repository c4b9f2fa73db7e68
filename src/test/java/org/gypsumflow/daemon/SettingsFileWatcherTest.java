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
    private SettingsFileWatcher watch;

    @BeforeMethod
    public void watchAFile() throws IOException {
        file = Files.createTempFile("settings", ".toml");
        Files.writeString(file, "role = \"entry\"");
        watch = SettingsFileWatcher.of(file);
    }

    @AfterMethod
    public void removeTheFile() throws IOException {
        Files.deleteIfExists(file);
    }

    @Test
    public void aFileThatStaysTheSameHasNotChanged() {
        assertFalse(watch.hasChanged());
    }

    @Test
    public void aChangeIsNoticedOnce() throws IOException {
        Files.writeString(file, "role = \"agent\"");
        assertTrue(watch.hasChanged());
        assertFalse(watch.hasChanged());
    }

    @Test
    public void aFileThatIsBeingReplacedIsLookedAtAgainLater() throws IOException {
        Files.delete(file);
        assertFalse(watch.hasChanged());
        Files.writeString(file, "role = \"agent\"");
        assertTrue(watch.hasChanged());
    }
}
