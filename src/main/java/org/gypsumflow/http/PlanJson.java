package org.gypsumflow.http;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gypsumflow.command.Plan;
import org.gypsumflow.command.PlanState;

/** Writes plans and the state of their execution as JSON. */
final class PlanJson {
    private PlanJson() {}

    static Map<String, Object> writePlan(Plan plan) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("plan", plan.id().value());
        json.put("intent", plan.intent());
        json.put("operator", plan.operator().value());
        json.put("baseVersion", plan.baseVersion().value());
        json.put("madeAt", formatTime(plan.createdAtMillis()));
        json.put("expiresAt", formatTime(plan.expiresAtMillis()));
        json.put("steps", plan.steps());
        json.put("risks", plan.risks());
        json.put("needsOverride", plan.needsOverride());
        return json;
    }

    static Map<String, Object> writeState(PlanState state) {
        Map<String, Object> json = writePlan(state.plan());
        json.put("standing", state.status().name());
        if (state.status() != PlanState.Status.PROPOSED) {
            json.put("confirmedBy", state.confirmedBy());
            json.put("confirmedAt", formatTime(state.confirmedAtMillis()));
        }
        if (!state.voidReason().isEmpty()) {
            json.put("voidReason", state.voidReason());
        }
        json.put("version", state.version().value());
        json.put(
                "done",
                state.steps().stream()
                        .map(step ->
                                Map.of("step", step.name(), "at", formatTime(step.atMillis()), "detail", step.detail()))
                        .toList());
        return json;
    }

    private static String formatTime(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
