package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints responses as text for people, or as JSON for programs. */
final class Printer {
    private static final String COLUMN_SEPARATOR = "  ";

    private final PrintStream out;
    private final boolean json;

    private Printer(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    static Printer create(PrintStream out, boolean json) {
        return new Printer(out, json);
    }

    /** Prints the content as JSON if the option --json is set; returns whether it did. */
    boolean printJsonIfRequested(JsonNode content) {
        if (json) {
            out.println(content);
        }
        return json;
    }

    void printLine(String text) {
        out.println(text);
    }

    /** Prints an error: its code, its message, and the verdict, which says whether the request may have run. */
    void printError(JsonNode content) {
        if (printJsonIfRequested(content)) {
            return;
        }
        printLine(content.path("code").asText() + ": " + content.path("message").asText());
        printLine("verdict: " + content.path("verdict").asText());
    }

    /** Prints rows under a heading, each column as wide as its widest cell. */
    void printTable(List<String> heading, List<List<String>> rows) {
        List<Integer> widths = new ArrayList<>();
        for (int column = 0; column < heading.size(); column++) {
            int width = heading.get(column).length();
            for (List<String> row : rows) {
                width = Math.max(width, row.get(column).length());
            }
            widths.add(width);
        }
        printLine(pad(heading, widths));
        rows.forEach(row -> printLine(pad(row, widths)));
    }

    private static String pad(List<String> cells, List<Integer> widths) {
        StringBuilder padded = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            padded.append(cells.get(column));
            padded.append(" ".repeat(widths.get(column) - cells.get(column).length()));
            padded.append(COLUMN_SEPARATOR);
        }
        return padded.toString().stripTrailing();
    }
}
