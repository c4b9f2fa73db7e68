package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints answers for people, or as JSON for programs. */
final class Printer {
    private static final String GAP = "  ";

    private final PrintStream out;
    private final boolean json;

    private Printer(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    static Printer create(PrintStream out, boolean json) {
        return new Printer(out, json);
    }

    /** Prints JSON if that is wanted; returns whether it did. */
    boolean printJsonIfRequested(JsonNode content) {
        if (json) {
            out.println(content);
        }
        return json;
    }

    void printLine(String text) {
        out.println(text);
    }

    /** Prints a refusal with what it means for the operator. */
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
            padded.append(GAP);
        }
        return padded.toString().stripTrailing();
    }
}
