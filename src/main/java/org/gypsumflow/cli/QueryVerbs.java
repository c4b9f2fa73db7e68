package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.gypsumflow.cli.EntryClient.Response;
import org.gypsumflow.model.Check;

/** Verbs of the command line that only read. */
final class QueryVerbs {
    static final List<String> NAMES = List.of("status", "workers", "history", "outcome", "job");

    private final EntryClient client;
    private final Printer printer;
    private final Options options;

    private QueryVerbs(EntryClient client, Printer printer, Options options) {
        this.client = client;
        this.printer = printer;
        this.options = options;
    }

    static QueryVerbs create(EntryClient client, Printer printer, Options options) {
        return new QueryVerbs(client, printer, options);
    }

    int run(String verb, List<String> arguments) {
        return switch (verb) {
            case "status" -> sendQuery("status", this::printStatus);
            case "workers" -> sendQuery("workers", this::printWorkers);
            case "history" -> sendQuery("plans", this::printHistory);
            case "outcome" -> outcome(arguments);
            default -> job(arguments);
        };
    }

    private int outcome(List<String> arguments) {
        Check.isTrue(arguments.size() == 1, "outcome", "needs one plan");
        if (options.isWatch()) {
            return PlanWatcher.create(client, printer).watch(arguments.get(0));
        }
        return sendQuery("plans/" + arguments.get(0), json -> PlanPrinter.print(printer, json));
    }

    private int job(List<String> arguments) {
        Check.isTrue(arguments.size() == 1, "job", "needs one key");
        String path = "jobs/" + URLEncoder.encode(arguments.get(0), StandardCharsets.UTF_8);
        String callerParameter = options.caller() == null ? "" : "?caller=" + options.caller();
        return sendQuery(
                path + callerParameter,
                json -> printer.printLine("job of " + json.path("tasks").asInt() + " tasks: "
                        + json.path("standing").asText() + " "
                        + json.path("verdict").asText("") + " "
                        + json.path("reason").asText("")));
    }

    private int sendQuery(String path, Consumer<JsonNode> printResult) {
        Response response = client.query(path);
        if (EntryClient.isUnreachable(response)) {
            printer.printError(response.json());
            return ExitCode.UNREACHABLE;
        }
        if (ExitCode.of(response) != ExitCode.SUCCESS) {
            printer.printError(response.json());
            return ExitCode.of(response);
        }
        if (!printer.printJsonIfRequested(response.json())) {
            printResult.accept(response.json());
        }
        return ExitCode.SUCCESS;
    }

    private void printStatus(JsonNode json) {
        json.properties().forEach(field -> printer.printLine(field.getKey() + ": " + field.getValue()));
    }

    private void printWorkers(JsonNode json) {
        List<List<String>> rows = new ArrayList<>();
        json.path("workers")
                .forEach(row -> rows.add(List.of(
                        row.path("worker").asText(),
                        row.path("zone").asText(),
                        row.path("service").asText(),
                        row.path("running").asText() + "/" + row.path("slots").asText(),
                        row.path("version").asText(),
                        row.path("standing").asText())));
        printer.printTable(List.of("WORKER", "ZONE", "SERVICE", "RUNNING", "VERSION", "STANDING"), rows);
    }

    private void printHistory(JsonNode json) {
        List<List<String>> rows = new ArrayList<>();
        json.path("plans")
                .forEach(row -> rows.add(List.of(
                        row.path("plan").asText(),
                        row.path("madeAt").asText(),
                        row.path("intent").asText(),
                        row.path("operator").asText(),
                        row.path("standing").asText(),
                        row.path("confirmedBy").asText(""))));
        printer.printTable(List.of("PLAN", "MADE", "INTENT", "REQUESTED BY", "STANDING", "CONFIRMED BY"), rows);
    }
}
