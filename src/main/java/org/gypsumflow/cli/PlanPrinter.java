package org.gypsumflow.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints a plan and its outcome. */
final class PlanPrinter {
    private PlanPrinter() {}

    static void print(Printer printer, JsonNode plan) {
        printer.printLine("plan " + plan.path("plan").asText() + ": "
                + plan.path("intent").asText() + ", requested by "
                + plan.path("operator").asText() + ", based on version "
                + plan.path("baseVersion").asLong() + ", expires "
                + plan.path("expiresAt").asText());
        plan.path("steps").forEach(step -> printer.printLine("  will: " + step.asText()));
        plan.path("risks").forEach(risk -> printer.printLine("  risk: " + risk.asText()));
        if (plan.path("needsOverride").asBoolean()) {
            printer.printLine("  needs --override to be confirmed");
        }
        if (plan.has("confirmedBy")) {
            printer.printLine("  " + plan.path("standing").asText() + " at "
                    + plan.path("confirmedAt").asText() + " by "
                    + plan.path("confirmedBy").asText() + ", version "
                    + plan.path("version").asLong());
        }
        if (plan.has("voidReason")) {
            printer.printLine("  void: " + plan.path("voidReason").asText());
        }
        plan.path("done")
                .forEach(step -> printer.printLine("  done: " + step.path("at").asText() + " "
                        + step.path("step").asText() + ", "
                        + step.path("detail").asText()));
    }
}
