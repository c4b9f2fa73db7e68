package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.command.OperationsState;
import org.gypsumflow.log.PlatformLog.LogRecord;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.Verdict;

/** Checks the invariants of the system on a finished simulation and lists the violations. */
final class InvariantChecker {
    /** Time after the closing of a zone is logged from which no task may start there. */
    static final Duration MAX_CLOSING_DELAY = Duration.ofSeconds(4);
    /** Time after its timeout within which a request must complete. */
    static final Duration RESPONSE_GRACE_PERIOD = Duration.ofSeconds(1);

    private final Simulation simulation;
    private final List<String> violations = new ArrayList<>();

    private InvariantChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    static List<String> violations(Simulation simulation) {
        InvariantChecker checker = new InvariantChecker(simulation);
        checker.checkAtMostOneStart();
        checker.checkResultsAreComplete();
        checker.checkJobsReportedNotRun();
        checker.checkTasksReportedNotRun();
        checker.checkEveryRequestCompletes();
        checker.checkNoStartInClosedZones();
        checker.checkConfigurationApplied();
        return checker.violations;
    }

    private void checkAtMostOneStart() {
        Map<TaskId, Integer> counts = new HashMap<>();
        simulation.taskStarts.forEach(start -> counts.merge(start.task(), 1, Integer::sum));
        counts.forEach((task, count) -> {
            if (count > 1) {
                violations.add("task " + task + " started " + count + " times");
            }
        });
    }

    private void checkResultsAreComplete() {
        for (Request request : simulation.requests) {
            if (request.outcome == null || request.outcome.verdict() != Verdict.COMPLETED) {
                continue;
            }
            for (int index = 0; index < request.job.taskCount(); index++) {
                TaskId task = TaskId.of(request.job.key().digest(), index);
                String expected =
                        FakeTarget.resultOf(task, request.job.payloads().get(index));
                boolean complete = request.outcome.tasks().size() == request.job.taskCount()
                        && request.outcome.tasks().get(index).result().equals(expected);
                if (!complete) {
                    violations.add("incomplete result or result of another task: " + request);
                }
            }
        }
    }

    /** Each start needs a request that was sent before and was not yet reported as NOT_RUN. */
    private void checkJobsReportedNotRun() {
        for (FakeTarget.TaskStart start : simulation.taskStarts) {
            boolean allowed = false;
            for (Request request : simulation.requests) {
                if (!request.job.key().digest().equals(start.task().submission())) {
                    continue;
                }
                boolean reportedNotRun = request.verdict() == Verdict.NOT_RUN;
                if (reportedNotRun && start.atNanos() <= request.completedNanos && !isKeyReused(request)) {
                    violations.add("reported as NOT_RUN although task " + start.task() + " had started: " + request);
                }
                allowed |= request.sentNanos <= start.atNanos()
                        && !(reportedNotRun && request.completedNanos < start.atNanos());
            }
            if (!allowed) {
                violations.add("task " + start.task() + " started after its requests were reported as NOT_RUN");
            }
        }
    }

    /** A task that an outcome reports as NOT_RUN has not started before that outcome. */
    private void checkTasksReportedNotRun() {
        for (Request request : simulation.requests) {
            if (request.outcome == null) {
                continue;
            }
            for (int index = 0; index < request.outcome.tasks().size(); index++) {
                TaskId task = TaskId.of(request.job.key().digest(), index);
                boolean reportedNotRun = request.outcome.tasks().get(index).verdict() == Verdict.NOT_RUN;
                boolean started = simulation.taskStarts.stream()
                        .anyMatch(start -> start.task().equals(task) && start.atNanos() <= request.completedNanos);
                if (reportedNotRun && started) {
                    violations.add("task " + task + " reported as NOT_RUN although it had started: " + request);
                }
            }
        }
    }

    private static boolean isKeyReused(Request request) {
        return request.error != null && request.error.code() == org.gypsumflow.model.ErrorCode.KEY_REUSED;
    }

    private void checkEveryRequestCompletes() {
        for (Request request : simulation.requests) {
            long dueNanos = request.sentNanos
                    + request.job.timeout().plus(RESPONSE_GRACE_PERIOD).toNanos();
            if (request.cutByShutdown) {
                violations.add("a graceful shutdown dropped " + request);
            }
            boolean pausedOrDead = simulation.entries.values().stream()
                    .anyMatch(entry -> entry.instance == request.entry && entry.process.isPaused());
            if (request.isPending() && simulation.clock.nanos() > dueNanos && !pausedOrDead) {
                violations.add("no outcome of " + request);
            }
        }
    }

    private void checkNoStartInClosedZones() {
        OperationsState state = OperationsState.EMPTY;
        Map<AvailabilityZone, Long> closedSince = new HashMap<>();
        Map<AvailabilityZone, List<long[]>> closings = new HashMap<>();
        List<LogRecord<OperationRecord>> all = simulation.log.allRecords("operations");
        for (LogRecord<OperationRecord> logged : all) {
            OperationsState next = state.apply(logged.offset(), logged.body());
            if (!next.configurationVersion().equals(state.configurationVersion())) {
                recordZoneChanges(state, next, logged.loggedAtMillis(), closedSince, closings);
            }
            state = next;
        }
        closedSince.forEach((zone, since) ->
                closings.computeIfAbsent(zone, key -> new ArrayList<>()).add(new long[] {since, Long.MAX_VALUE}));
        for (FakeTarget.TaskStart start : simulation.taskStarts) {
            for (long[] span : closings.getOrDefault(start.zone(), List.of())) {
                long startMillis = simulation.clock.millis() - (simulation.clock.nanos() - start.atNanos()) / 1_000_000;
                if (startMillis > span[0] + MAX_CLOSING_DELAY.toMillis() && startMillis < span[1]) {
                    violations.add("task " + start.task() + " started in closed zone " + start.zone() + " "
                            + (startMillis - span[0]) + " ms after the closing");
                }
            }
        }
    }

    private static void recordZoneChanges(
            OperationsState before,
            OperationsState after,
            long atMillis,
            Map<AvailabilityZone, Long> closedSince,
            Map<AvailabilityZone, List<long[]>> closings) {
        for (AvailabilityZone zone : after.configuration().closedZones()) {
            closedSince.putIfAbsent(zone, atMillis);
        }
        for (AvailabilityZone zone : before.configuration().closedZones()) {
            if (!after.configuration().closedZones().contains(zone)) {
                closings.computeIfAbsent(zone, key -> new ArrayList<>())
                        .add(new long[] {closedSince.remove(zone), atMillis});
            }
        }
    }

    /** After recovery from the faults, every running process has applied the configuration of the log. */
    private void checkConfigurationApplied() {
        OperationsState state = OperationsState.EMPTY;
        List<LogRecord<OperationRecord>> all = simulation.log.allRecords("operations");
        for (LogRecord<OperationRecord> logged : all) {
            state = state.apply(logged.offset(), logged.body());
        }
        for (Simulation.EntryProcess entry : simulation.entries.values()) {
            boolean serving = !entry.process.isDead() && !entry.process.isPaused() && !entry.draining;
            if (serving && !entry.instance.snapshot().configuration().equals(state.configuration())) {
                violations.add("entry " + entry.name + " has configuration "
                        + entry.instance.snapshot().configuration() + " instead of " + state.configuration());
            }
        }
        for (Simulation.AgentProcess agent : simulation.agents.values()) {
            boolean serving = !agent.process.isDead() && !agent.process.isPaused() && !agent.draining;
            if (serving
                    && !agent.instance.control().startGuard().configuration().equals(state.configuration())) {
                violations.add("agent " + agent.worker + " has configuration "
                        + agent.instance.control().startGuard().configuration() + " instead of "
                        + state.configuration());
            }
        }
    }
}
