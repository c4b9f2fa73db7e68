package org.gypsumflow.model;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import org.testng.annotations.Test;

public final class EventTest {
    @Test
    public void theCatalogueListsExactlyTheDefinedEvents() throws IOException {
        List<String> rows = Files.readAllLines(Path.of("docs/EVENTS.md")).stream()
                .filter(line -> line.startsWith("| GF"))
                .map(line -> line.split("\\|", -1)[1].strip() + " " + line.split("\\|", -1)[2].strip() + " "
                        + line.split("\\|", -1)[3].strip())
                .sorted()
                .toList();
        List<String> events = Arrays.stream(Event.values())
                .map(event -> "GF" + event.number() + " " + event.level() + " `" + event.template() + "`")
                .sorted()
                .toList();
        assertEquals(rows, events);
    }

    @Test
    public void eventNumbersAreUnique() {
        long numbers =
                new TreeSet<>(Arrays.stream(Event.values()).map(Event::number).toList()).size();
        assertEquals(numbers, Event.values().length);
    }
}
