package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, with the seconds since the start of the script. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String line) {
        String entry = String.format(Locale.ROOT, "%8.3f  %s", seconds(), line);
        lines.add(entry);
        System.out.println(entry);
    }

    synchronized void write(Path file) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(file))) {
            lines.forEach(out::println);
        }
    }
}
