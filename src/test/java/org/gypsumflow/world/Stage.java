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
import org.gypsumflow.world.World.AgentProcess;
import org.gypsumflow.world.World.EntryProcess;

/** What the steps of one scenario share. */
public final class Stage {
    private static final Duration STEP = Duration.ofMillis(1);
    private static final int MOST_STEPS = 60_000;

    final World world = World.create(1);
    final Map<String, Plan> plans = new HashMap<>();
    final Map<String, PlanState> confirmed = new HashMap<>();
    final Map<String, RequestError> refused = new HashMap<>();
    final Map<String, String> tickets = new HashMap<>();
    long markNanos;

    EntryProcess entry(int number) {
        return world.entries.get("entry-" + number);
    }

    AgentProcess worker(String name) {
        return world.agents.get(name);
    }

    String keyOf(String name) {
        return tickets.getOrDefault(name, name);
    }

    List<Request> requests(String name) {
        return world.requests.stream()
                .filter(request -> request.job.key().key().equals(keyOf(name)))
                .toList();
    }

    Request last(String name) {
        List<Request> all = requests(name);
        return all.get(all.size() - 1);
    }

    /** Finds the entry that owns the claim stream of a key, as a live entry sees it. */
    EntryProcess ownerOf(String name) {
        SubmissionDigest digest = SubmissionKey.of(World.RUSEVA, keyOf(name)).digest();
        int stream = ClaimStreamOwnership.streamIndex(digest, world.traffic.claimStreamCount());
        List<EntryAddress> live = entry(1).node.snapshot().entriesInService();
        EntryAddress owner = ClaimStreamOwnership.ownerOf(stream, live).orElseThrow();
        return world.entries.get(owner.name().value());
    }

    EntryProcess otherThan(EntryProcess entry) {
        return world.entries.values().stream()
                .filter(each -> each != entry && !each.process.isDead() && !each.process.isPaused())
                .findFirst()
                .orElseThrow();
    }

    void runUntil(BooleanSupplier condition) {
        for (int step = 0; step < MOST_STEPS; step++) {
            if (condition.getAsBoolean()) {
                return;
            }
            world.run(STEP);
        }
        throw new IllegalStateException("the condition did not come true within a minute of virtual time");
    }

    boolean claimStands(String name) {
        SubmissionDigest digest = SubmissionKey.of(World.RUSEVA, keyOf(name)).digest();
        int stream = ClaimStreamOwnership.streamIndex(digest, world.traffic.claimStreamCount());
        return !world.log
                .all(org.gypsumflow.model.StreamName.claims(stream).value())
                .isEmpty();
    }

    boolean hasStarted(String name) {
        SubmissionDigest digest = SubmissionKey.of(World.RUSEVA, keyOf(name)).digest();
        return world.journal.stream()
                .anyMatch(start -> start.task().submission().equals(digest));
    }
}
