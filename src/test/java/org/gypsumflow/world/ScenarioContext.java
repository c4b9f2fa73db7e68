package org.gypsumflow.world;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.gypsumflow.command.ClaimStreamOwnership;
import org.gypsumflow.command.Plan;
import org.gypsumflow.command.PlanState;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.world.Simulation.AgentProcess;
import org.gypsumflow.world.Simulation.EntryProcess;

/** State shared by the steps of one scenario. */
public final class ScenarioContext {
    private static final Duration STEP = Duration.ofMillis(1);
    private static final int MAX_STEPS = 60_000;

    final Simulation simulation = Simulation.create(1);
    final Map<String, Plan> plans = new HashMap<>();
    final Map<String, PlanState> confirmedPlanStates = new HashMap<>();
    final Map<String, RequestError> planErrors = new HashMap<>();
    final Map<String, String> tickets = new HashMap<>();
    long countingFromNanos;

    EntryProcess entry(int number) {
        return simulation.entries.get("entry-" + number);
    }

    AgentProcess worker(String name) {
        return simulation.agents.get(name);
    }

    String keyOf(String name) {
        return tickets.getOrDefault(name, name);
    }

    List<Request> requests(String name) {
        return simulation.requests.stream()
                .filter(request -> request.job.key().key().equals(keyOf(name)))
                .toList();
    }

    Request lastRequest(String name) {
        List<Request> all = requests(name);
        return all.get(all.size() - 1);
    }

    /** Finds the stream owner of a key according to the members that entry 1 knows. */
    EntryProcess ownerOf(String name) {
        SubmissionDigest digest =
                SubmissionKey.of(Simulation.RUSEVA, keyOf(name)).digest();
        int stream = ClaimStreamOwnership.streamIndex(digest, simulation.trafficSettings.claimStreamCount());
        List<EntryAddress> live = entry(1).instance.snapshot().entriesInService();
        EntryAddress owner = ClaimStreamOwnership.ownerOf(stream, live).orElseThrow();
        return simulation.entries.get(owner.name().value());
    }

    EntryProcess otherRunningEntry(EntryProcess entry) {
        return simulation.entries.values().stream()
                .filter(each -> each != entry && !each.process.isDead() && !each.process.isPaused())
                .findFirst()
                .orElseThrow();
    }

    void runUntil(BooleanSupplier condition) {
        for (int step = 0; step < MAX_STEPS; step++) {
            if (condition.getAsBoolean()) {
                return;
            }
            simulation.advance(STEP);
        }
        throw new IllegalStateException("condition not met within 60 s of virtual time");
    }

    boolean isClaimLogged(String name) {
        SubmissionDigest digest =
                SubmissionKey.of(Simulation.RUSEVA, keyOf(name)).digest();
        int stream = ClaimStreamOwnership.streamIndex(digest, simulation.trafficSettings.claimStreamCount());
        return !simulation
                .log
                .allRecords(org.gypsumflow.model.StreamName.claims(stream).value())
                .isEmpty();
    }

    boolean hasStarted(String name) {
        SubmissionDigest digest =
                SubmissionKey.of(Simulation.RUSEVA, keyOf(name)).digest();
        return simulation.taskStarts.stream()
                .anyMatch(start -> start.task().submission().equals(digest));
    }
}
