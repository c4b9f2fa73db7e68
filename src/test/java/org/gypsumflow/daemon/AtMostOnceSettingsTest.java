package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class AtMostOnceSettingsTest {
    private static final String VALID_ENTRY =
            "role = \"entry\"\nname = \"one\"\nzone = \"sofia\"\nlog.url = \"http://127.0.0.1:1\"\n";

    @DataProvider
    public static Object[][] invalidSettings() {
        return new Object[][] {
            {"color = 1\n", "field \"color\": is not a setting of this program"},
            {"agent.colour = 1\n", "field \"agent.colour\": is not a setting of this program"},
            {"agent.slots = 0\n", "field \"agent.slots\": is 0, allowed is 1 to 1024"},
            {"agent.slots = \"many\"\n", "field \"agent.slots\": is \"many\", an integer from 1 to 1024 is required"},
            {"port = 70000\n", "field \"port\": is 70000, allowed is 0 to 65535"},
            {"trace.exporter = \"fax\"\n", "field \"trace.exporter\": is \"fax\", allowed is one of"},
            {"seeds = \"x\"\n", "field \"seeds\": is \"x\", a list of strings is required"},
            {"control.silence-millis = 200\n", "field \"control.silence-millis\": must be longer than"},
            {"name = \n", "field \"settings\": is not TOML"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void anInvalidSettingIsReportedWithItsNameItsValueAndTheAllowedValues(String line, String message) {
        ValidationException error = expectThrows(
                ValidationException.class, () -> AtMostOnceSettings.read(SettingsReader.parse(VALID_ENTRY + line)));
        assertTrue(error.getMessage().startsWith(message), error.getMessage());
    }

    @Test
    public void aMissingSettingIsReportedByName() {
        ValidationException error = expectThrows(
                ValidationException.class,
                () -> AtMostOnceSettings.read(SettingsReader.parse(VALID_ENTRY.replace("name = \"one\"\n", ""))));
        assertEquals(error.getMessage(), "field \"name\": is missing; a string is required");
    }

    @Test
    public void aCommandLineOptionOverridesTheSettingsFile() {
        SettingsReader reader = SettingsReader.parse(VALID_ENTRY);
        reader.override("name=two");
        reader.override("agent.slots=3");
        AtMostOnceSettings settings = AtMostOnceSettings.read(reader);
        assertEquals(settings.name(), "two");
        assertEquals(settings.agent().slots(), 3);
    }

    @Test
    public void everyExampleFileIsValid() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("examples"))) {
            List<Path> examples = files.toList();
            assertTrue(examples.size() >= 4);
            examples.forEach(file -> AtMostOnceSettings.read(SettingsReader.of(file)));
        }
    }
}
