package org.gypsumflow.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.world.BestEffortSimulation.Attempt;
import org.gypsumflow.world.FakeWorker.Run;

/** Checks the promises about best-effort jobs on a finished history and lists the violations. */
final class BestEffortInvariants {
    private final BestEffortHistory history;
    private final List<String> violations = new ArrayList<>();

    private BestEffortInvariants(BestEffortHistory history) {
        this.history = history;
    }

    static List<String> violations(BestEffortHistory history) {
        BestEffortInvariants invariants = new BestEffortInvariants(history);
        invariants.checkNoTwoRunsAtTheSameTime();
        invariants.checkRecovery();
        invariants.checkRejectedJobsNeverRun();
        invariants.checkEveryCallerIsAnswered();
        return invariants.violations;
    }

    /** Lists the violations of the promises that hold at any time, also while jobs are under way. */
    static List<String> violationsOfSafety(BestEffortHistory history) {
        BestEffortInvariants invariants = new BestEffortInvariants(history);
        invariants.checkNoTwoRunsAtTheSameTime();
        invariants.checkRejectedJobsNeverRun();
        return invariants.violations;
    }

    private void report(String violation) {
        violations.add("seed " + history.seed() + ": " + violation);
    }

    private void checkNoTwoRunsAtTheSameTime() {
        overlappingRuns(history.simulation().runs).forEach(this::report);
    }

    /** Returns a line for each two runs of one task that were there at the same time. */
    static List<String> overlappingRuns(List<Run> runs) {
        List<String> overlaps = new ArrayList<>();
        Map<BestEffortTaskId, List<Run>> runsByTask = new HashMap<>();
        for (Run run : runs) {
            List<Run> earlierRuns = runsByTask.computeIfAbsent(run.task, task -> new ArrayList<>());
            for (Run earlier : earlierRuns) {
                if (earlier.overlaps(run)) {
                    overlaps.add("two runs at the same time: " + earlier + "; " + run);
                }
            }
            earlierRuns.add(run);
        }
        return overlaps;
    }

    private void checkRecovery() {
        for (Attempt probe : history.probes()) {
            if (!probe.isCompleted()) {
                report("not completed " + BestEffortHistory.RECOVERY_BOUND.toSeconds() + " s after the last fault at "
                        + BestEffortSimulation.seconds(history.lastFaultNanos()) + ": " + probe);
            }
        }
    }

    private void checkEveryCallerIsAnswered() {
        history.entriesWithWaitingCallers().forEach(entry -> report("callers still wait at " + entry));
    }

    /** Each start needs an attempt that was sent before it and is not rejected, neither before nor after the start. */
    private void checkRejectedJobsNeverRun() {
        for (Run run : history.simulation().runs) {
            List<Attempt> sentBefore = history.simulation().attempts.stream()
                    .filter(attempt -> attempt.job.id().equals(run.task.job()) && attempt.sentNanos <= run.startedNanos)
                    .toList();
            if (sentBefore.stream().allMatch(Attempt::isRejected)) {
                report("a rejected job ran: " + sentBefore + "; " + run);
            }
        }
    }
}
