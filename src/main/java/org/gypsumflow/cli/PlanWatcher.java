package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.cli.EntryClient.Response;

/** Polls a plan until it is applied and prints its progress. */
final class PlanWatcher {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_MILLIS = 500;

    private final EntryClient client;
    private final Printer printer;

    private PlanWatcher(EntryClient client, Printer printer) {
        this.client = client;
        this.printer = printer;
    }

    static PlanWatcher create(EntryClient client, Printer printer) {
        return new PlanWatcher(client, printer);
    }

    int watch(String plan) {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() - deadline < 0) {
            Response response = client.query("plans/" + plan);
            JsonNode completedSteps = response.json().path("done");
            if (!completedSteps.isEmpty()) {
                PlanPrinter.print(printer, response.json());
                return ExitCode.SUCCESS;
            }
            printer.printLine("waiting for the agents to apply the plan");
            sleepUntilNextPoll();
        }
        printer.printLine("the plan is not applied after " + TIMEOUT.toSeconds()
                + " s; check again with: gypsumflow outcome " + plan);
        return ExitCode.MAY_HAVE_RUN;
    }

    private static void sleepUntilNextPoll() {
        CompletableFuture.runAsync(
                        () -> {}, CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS))
                .join();
    }
}
