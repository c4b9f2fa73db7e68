package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gypsumflow.cli.EntryClient.Response;
import org.gypsumflow.model.Check;

/** The verbs of the tool that change something. */
final class CommandVerbs {
    static final List<String> NAMES = List.of("submit", "cancel", "tickets", "plan", "confirm");

    private static final Duration OPERATION_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration GRACE = Duration.ofSeconds(5);

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

    int run(String verb, List<String> words) {
        return switch (verb) {
            case "submit" -> submit(words);
            case "cancel" -> cancel(words);
            case "tickets" -> tickets(words);
            case "plan" -> plan(words);
            default -> confirm(words);
        };
    }

    private int submit(List<String> words) {
        Check.isTrue(words.size() >= 2, "submit", "needs a service and at least one payload");
        List<Map<String, String>> tasks = new ArrayList<>();
        words.subList(1, words.size()).forEach(payload -> tasks.add(Map.of("payload", payload)));
        Map<String, Object> body =
                Map.of("service", words.get(0), "tasks", tasks, "timeoutMillis", options.timeoutMillis());
        Duration timeout = Duration.ofMillis(options.timeoutMillis()).plus(GRACE);
        Response answer = client.command("jobs", body, Map.of("Idempotency-Key", options.key()), timeout);
        if (!printer.printJsonIfRequested(answer.json())) {
            printOutcome(answer.json());
        }
        return exitCode(answer);
    }

    private int cancel(List<String> words) {
        Check.isTrue(words.size() == 1, "cancel", "needs one key");
        return operate("cancellations", Map.of("key", words.get(0)), this::printOutcome);
    }

    private int tickets(List<String> words) {
        Check.isTrue(words.size() == 1 && words.get(0).matches("\\d{1,5}"), "tickets", "needs one number");
        return operate("tickets", Map.of("count", Integer.parseInt(words.get(0))), json -> json.path("tickets")
                .forEach(ticket -> printer.printLine(ticket.asText())));
    }

    private int plan(List<String> words) {
        Check.isTrue(!words.isEmpty(), "plan", "needs an intent such as \"drain sofia\"");
        return operate("plans", Map.of("intent", String.join(" ", words)), json -> {
            PlanPrinter.print(printer, json);
            printer.printLine("nothing is done until you run: gypsumflow confirm "
                    + json.path("plan").asText());
        });
    }

    private int confirm(List<String> words) {
        Check.isTrue(words.size() == 1, "confirm", "needs one plan");
        Map<String, Object> body = Map.of("plan", words.get(0), "override", options.isOverride());
        int exitCode = operate("confirmations", body, json -> PlanPrinter.print(printer, json));
        if (exitCode != ExitCode.SUCCESS || !options.isWatch()) {
            return exitCode;
        }
        return PlanWatcher.create(client, printer).watch(words.get(0));
    }

    private int operate(String path, Object body, Consumer<JsonNode> print) {
        Response answer = client.command(path, body, Map.of(), OPERATION_TIMEOUT);
        if (exitCode(answer) != ExitCode.SUCCESS) {
            printer.printError(answer.json());
            return exitCode(answer);
        }
        if (!printer.printJsonIfRequested(answer.json())) {
            print.accept(answer.json());
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

    private static int exitCode(Response answer) {
        return EntryClient.isUnreachable(answer) ? ExitCode.UNREACHABLE : ExitCode.of(answer);
    }
}
