package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.cli.EntryClient.Response;

/** Waits until a plan is in force and prints its progress. */
final class PlanWatcher {
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final long PAUSE_MILLIS = 500;

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
        long deadline = System.nanoTime() + LIMIT.toNanos();
        while (System.nanoTime() - deadline < 0) {
            Response answer = client.query("plans/" + plan);
            JsonNode done = answer.json().path("done");
            if (!done.isEmpty()) {
                PlanPrinter.print(printer, answer.json());
                return ExitCode.SUCCESS;
            }
            printer.printLine("waiting for the agents");
            pause();
        }
        printer.printLine("not in force after " + LIMIT.toSeconds() + " s; ask again with: gypsumflow outcome " + plan);
        return ExitCode.MAY_HAVE_RUN;
    }

    private static void pause() {
        CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS))
                .join();
    }
}
