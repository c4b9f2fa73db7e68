package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gypsumflow.cli.EntryClient.Response;
import org.gypsumflow.model.Check;

/** Verbs of the command line that change state. */
final class CommandVerbs {
    static final List<String> NAMES = List.of("submit", "cancel", "tickets", "plan", "confirm");

    private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(20);
    /** Time allowed for the response after the job's own timeout. */
    private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(5);

    private final EntryClient client;
    private final Printer printer;
    private final Options options;

    private CommandVerbs(EntryClient client, Printer printer, Options options) {
        this.client = client;
        this.printer = printer;
        this.options = options;
    }

    static CommandVerbs create(EntryClient client, Printer printer, Options options) {
        return new CommandVerbs(client, printer, options);
    }

    int run(String verb, List<String> arguments) {
        return switch (verb) {
            case "submit" -> submit(arguments);
            case "cancel" -> cancel(arguments);
            case "tickets" -> tickets(arguments);
            case "plan" -> plan(arguments);
            default -> confirm(arguments);
        };
    }

    private int submit(List<String> arguments) {
        Check.isTrue(arguments.size() >= 2, "submit", "needs a service and at least one payload");
        List<Map<String, String>> tasks = new ArrayList<>();
        arguments.subList(1, arguments.size()).forEach(payload -> tasks.add(Map.of("payload", payload)));
        Map<String, Object> body =
                Map.of("service", arguments.get(0), "tasks", tasks, "timeoutMillis", options.timeoutMillis());
        Duration timeout = Duration.ofMillis(options.timeoutMillis()).plus(RESPONSE_MARGIN);
        Response response = client.command("jobs", body, Map.of("Idempotency-Key", options.key()), timeout);
        if (!printer.printJsonIfRequested(response.json())) {
            printOutcome(response.json());
        }
        return exitCode(response);
    }

    private int cancel(List<String> arguments) {
        Check.isTrue(arguments.size() == 1, "cancel", "needs one key");
        return sendCommand("cancellations", Map.of("key", arguments.get(0)), this::printOutcome);
    }

    private int tickets(List<String> arguments) {
        Check.isTrue(arguments.size() == 1 && arguments.get(0).matches("\\d{1,5}"), "tickets", "needs one number");
        return sendCommand("tickets", Map.of("count", Integer.parseInt(arguments.get(0))), json -> json.path("tickets")
                .forEach(ticket -> printer.printLine(ticket.asText())));
    }

    private int plan(List<String> arguments) {
        Check.isTrue(!arguments.isEmpty(), "plan", "needs an intent such as \"drain sofia\"");
        return sendCommand("plans", Map.of("intent", String.join(" ", arguments)), json -> {
            PlanPrinter.print(printer, json);
            printer.printLine("nothing changes until you run: gypsumflow confirm "
                    + json.path("plan").asText());
        });
    }

    private int confirm(List<String> arguments) {
        Check.isTrue(arguments.size() == 1, "confirm", "needs one plan");
        Map<String, Object> body = Map.of("plan", arguments.get(0), "override", options.isOverride());
        int exitCode = sendCommand("confirmations", body, json -> PlanPrinter.print(printer, json));
        if (exitCode != ExitCode.SUCCESS || !options.isWatch()) {
            return exitCode;
        }
        return PlanWatcher.create(client, printer).watch(arguments.get(0));
    }

    private int sendCommand(String path, Object body, Consumer<JsonNode> printResult) {
        Response response = client.command(path, body, Map.of(), COMMAND_TIMEOUT);
        if (exitCode(response) != ExitCode.SUCCESS) {
            printer.printError(response.json());
            return exitCode(response);
        }
        if (!printer.printJsonIfRequested(response.json())) {
            printResult.accept(response.json());
        }
        return ExitCode.SUCCESS;
    }

    private void printOutcome(JsonNode json) {
        printer.printLine("verdict: " + json.path("verdict").asText());
        String reason = json.path("reason").asText(json.path("message").asText(""));
        if (!reason.isEmpty()) {
            printer.printLine("reason: " + reason);
        }
        int index = 0;
        for (JsonNode task : json.path("tasks")) {
            printer.printLine("task " + index++ + ": " + task.path("verdict").asText() + " "
                    + task.path("result").asText(task.path("reason").asText()));
        }
    }

    private static int exitCode(Response response) {
        return EntryClient.isUnreachable(response) ? ExitCode.UNREACHABLE : ExitCode.of(response);
    }
}
