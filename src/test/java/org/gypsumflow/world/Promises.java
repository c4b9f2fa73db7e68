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

/** Checks a finished history against the promises of the brief and lists what broke. */
final class Promises {
    /** How long after a closing stands in the log nothing may start there any more. */
    static final Duration CLOSING_BOUND = Duration.ofSeconds(4);
    /** How long after its deadline a request may take to be answered. */
    static final Duration ANSWER_GRACE = Duration.ofSeconds(1);

    private final World world;
    private final List<String> broken = new ArrayList<>();

    private Promises(World world) {
        this.world = world;
    }

    static List<String> broken(World world) {
        Promises promises = new Promises(world);
        promises.checkStartsOnce();
        promises.checkAnswersAreWhole();
        promises.checkNotRunIsTrue();
        promises.checkTasksNotRun();
        promises.checkNothingIsLost();
        promises.checkClosings();
        promises.checkConfigurationHolds();
        return promises.broken;
    }

    private void checkStartsOnce() {
        Map<TaskId, Integer> counts = new HashMap<>();
        world.journal.forEach(start -> counts.merge(start.task(), 1, Integer::sum));
        counts.forEach((task, count) -> {
            if (count > 1) {
                broken.add("task " + task + " started " + count + " times");
            }
        });
    }

    private void checkAnswersAreWhole() {
        for (Request request : world.requests) {
            if (request.outcome == null || request.outcome.verdict() != Verdict.COMPLETED) {
                continue;
            }
            for (int index = 0; index < request.job.taskCount(); index++) {
                TaskId task = TaskId.of(request.job.key().digest(), index);
                String expected =
                        FakeTarget.resultOf(task, request.job.payloads().get(index));
                boolean whole = request.outcome.tasks().size() == request.job.taskCount()
                        && request.outcome.tasks().get(index).result().equals(expected);
                if (!whole) {
                    broken.add("answer is not whole or not its own: " + request);
                }
            }
        }
    }

    /** A start needs a request that had not been told before that nothing ran and nothing would. */
    private void checkNotRunIsTrue() {
        for (FakeTarget.Start start : world.journal) {
            boolean allowed = false;
            for (Request request : world.requests) {
                if (!request.job.key().digest().equals(start.task().submission())) {
                    continue;
                }
                boolean toldNotRun = request.verdict() == Verdict.NOT_RUN;
                if (toldNotRun && start.atNanos() <= request.answeredNanos && !isOtherBody(request)) {
                    broken.add("told not run although task " + start.task() + " had started: " + request);
                }
                allowed |= request.sentNanos <= start.atNanos()
                        && !(toldNotRun && request.answeredNanos < start.atNanos());
            }
            if (!allowed) {
                broken.add("task " + start.task() + " started after its request was told not run");
            }
        }
    }

    /** A task that an answer calls not run had not started when the answer was given. */
    private void checkTasksNotRun() {
        for (Request request : world.requests) {
            if (request.outcome == null) {
                continue;
            }
            for (int index = 0; index < request.outcome.tasks().size(); index++) {
                TaskId task = TaskId.of(request.job.key().digest(), index);
                boolean toldNotRun = request.outcome.tasks().get(index).verdict() == Verdict.NOT_RUN;
                boolean started = world.journal.stream()
                        .anyMatch(start -> start.task().equals(task) && start.atNanos() <= request.answeredNanos);
                if (toldNotRun && started) {
                    broken.add("task " + task + " called not run although it had started: " + request);
                }
            }
        }
    }

    private static boolean isOtherBody(Request request) {
        return request.refusal != null && request.refusal.code() == org.gypsumflow.model.ErrorCode.KEY_REUSED;
    }

    private void checkNothingIsLost() {
        for (Request request : world.requests) {
            long due =
                    request.sentNanos + request.job.timeout().plus(ANSWER_GRACE).toNanos();
            if (request.cut) {
                broken.add("a graceful shutdown cut " + request);
            }
            boolean pausedOrDead = world.entries.values().stream()
                    .anyMatch(entry -> entry.node == request.entry && entry.process.isPaused());
            if (request.isOpen() && world.clock.nanos() > due && !pausedOrDead) {
                broken.add("no answer to " + request);
            }
        }
    }

    private void checkClosings() {
        OperationsState state = OperationsState.EMPTY;
        Map<AvailabilityZone, Long> closedSince = new HashMap<>();
        Map<AvailabilityZone, List<long[]>> closings = new HashMap<>();
        List<LogRecord<OperationRecord>> all = world.log.all("operations");
        for (LogRecord<OperationRecord> entry : all) {
            OperationsState next = state.apply(entry.offset(), entry.body());
            if (!next.configurationVersion().equals(state.configurationVersion())) {
                noteZones(state, next, entry.loggedAtMillis(), closedSince, closings);
            }
            state = next;
        }
        closedSince.forEach((zone, since) ->
                closings.computeIfAbsent(zone, key -> new ArrayList<>()).add(new long[] {since, Long.MAX_VALUE}));
        for (FakeTarget.Start start : world.journal) {
            for (long[] span : closings.getOrDefault(start.zone(), List.of())) {
                long startMillis = world.clock.millis() - (world.clock.nanos() - start.atNanos()) / 1_000_000;
                if (startMillis > span[0] + CLOSING_BOUND.toMillis() && startMillis < span[1]) {
                    broken.add("task " + start.task() + " started in closed zone " + start.zone() + " "
                            + (startMillis - span[0]) + " ms after the closing");
                }
            }
        }
    }

    private static void noteZones(
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

    /** Once the faults are over, every live process enforces exactly what the log accepted. */
    private void checkConfigurationHolds() {
        OperationsState state = OperationsState.EMPTY;
        List<LogRecord<OperationRecord>> all = world.log.all("operations");
        for (LogRecord<OperationRecord> entry : all) {
            state = state.apply(entry.offset(), entry.body());
        }
        for (World.EntryProcess entry : world.entries.values()) {
            boolean serving = !entry.process.isDead() && !entry.process.isPaused() && !entry.leaving;
            if (serving && !entry.node.snapshot().configuration().equals(state.configuration())) {
                broken.add("entry " + entry.name + " enforces "
                        + entry.node.snapshot().configuration() + " instead of " + state.configuration());
            }
        }
        for (World.AgentProcess agent : world.agents.values()) {
            boolean serving = !agent.process.isDead() && !agent.process.isPaused() && !agent.leaving;
            if (serving && !agent.node.control().startGuard().configuration().equals(state.configuration())) {
                broken.add("agent " + agent.worker + " enforces "
                        + agent.node.control().startGuard().configuration() + " instead of " + state.configuration());
            }
        }
    }
}
