package org.gypsumflow.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Reads the journals of the stand-in targets, which contain one line for each start of a task. */
final class TaskStartJournal {
    /**
     * One start of a task.
     *
     * @param task id of the task
     * @param worker worker that started it
     * @param zone availability zone of the worker
     * @param atMillis wall-clock time of the target, in milliseconds since the epoch
     */
    record TaskStart(String task, String worker, String zone, long atMillis) {}

    private static final String FILE_EXTENSION = ".journal";
    private static final int COLUMNS = 4;

    private final Path folder;

    private TaskStartJournal(Path folder) {
        this.folder = folder;
    }

    static TaskStartJournal in(Path folder) {
        return new TaskStartJournal(folder);
    }

    List<TaskStart> readStarts() {
        List<TaskStart> starts = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.filter(file -> file.toString().endsWith(FILE_EXTENSION)).forEach(file -> read(file, starts));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return starts;
    }

    Map<String, Integer> countStartsPerTask() {
        Map<String, Integer> counts = new TreeMap<>();
        readStarts().forEach(start -> counts.merge(start.task(), 1, Integer::sum));
        return counts;
    }

    private static void read(Path file, List<TaskStart> starts) {
        try {
            for (String line : Files.readAllLines(file)) {
                String[] columns = line.split(" ", -1);
                if (columns.length == COLUMNS) {
                    starts.add(new TaskStart(columns[0], columns[1], columns[2], Long.parseLong(columns[3])));
                }
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
