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
    private static final String GOOD =
            "role = \"entry\"\nname = \"one\"\nzone = \"sofia\"\nlog.url = \"http://127.0.0.1:1\"\n";

    @DataProvider
    public static Object[][] wrongSettings() {
        return new Object[][] {
            {"color = 1\n", "field \"color\": is not a setting of this program"},
            {"agent.colour = 1\n", "field \"agent.colour\": is not a setting of this program"},
            {"agent.slots = 0\n", "field \"agent.slots\": is 0, allowed is 1 to 1024"},
            {"agent.slots = \"many\"\n", "field \"agent.slots\": is \"many\", a whole number from 1 to 1024 is needed"},
            {"port = 70000\n", "field \"port\": is 70000, allowed is 0 to 65535"},
            {"trace.exporter = \"fax\"\n", "field \"trace.exporter\": is \"fax\", allowed is one of"},
            {"seeds = \"x\"\n", "field \"seeds\": is \"x\", a list of texts is needed"},
            {"control.silence-millis = 200\n", "field \"control.silence-millis\": must be longer than"},
            {"name = \n", "field \"settings\": is not TOML"},
        };
    }

    @Test(dataProvider = "wrongSettings")
    public void aWrongSettingIsNamedWithItsValueAndWhatIsAllowed(String line, String message) {
        ValidationException wrong = expectThrows(
                ValidationException.class, () -> AtMostOnceSettings.read(SettingsReader.parse(GOOD + line)));
        assertTrue(wrong.getMessage().startsWith(message), wrong.getMessage());
    }

    @Test
    public void aMissingSettingIsNamed() {
        ValidationException wrong = expectThrows(
                ValidationException.class,
                () -> AtMostOnceSettings.read(SettingsReader.parse(GOOD.replace("name = \"one\"\n", ""))));
        assertEquals(wrong.getMessage(), "field \"name\": is missing; a text is needed");
    }

    @Test
    public void anOptionOfTheCommandLineGoesAboveTheFile() {
        SettingsReader reader = SettingsReader.parse(GOOD);
        reader.override("name=two");
        reader.override("agent.slots=3");
        AtMostOnceSettings settings = AtMostOnceSettings.read(reader);
        assertEquals(settings.name(), "two");
        assertEquals(settings.agent().slots(), 3);
    }

    @Test
    public void everyExampleIsAccepted() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("examples"))) {
            List<Path> examples = files.toList();
            assertTrue(examples.size() >= 4);
            examples.forEach(file -> AtMostOnceSettings.read(SettingsReader.of(file)));
        }
    }
}
