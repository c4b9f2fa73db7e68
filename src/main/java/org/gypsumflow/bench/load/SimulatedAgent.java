package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.gypsumflow.command.AgentScheduler;
import org.gypsumflow.command.AgentScheduler.Actions;
import org.gypsumflow.command.AgentScheduler.FinishedAssignment;
import org.gypsumflow.command.AgentScheduler.TaskRun;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerReport;

/** The real decisions of an agent beside a model of a worker. */
final class SimulatedAgent {
    /** Time of a call to the worker on the same host. */
    private static final Duration WORKER_CALL = Duration.ofMillis(1);

    /** The worker's only life in the model. */
    private static final long BORN = 1;

    private final SimulationScheduler time;
    private final SimulatedWorker worker;
    private final SimulatedNetwork network;
    private final Function<BestEffortTaskId, Double> workMillis;
    private final AgentScheduler desk = AgentScheduler.create();
    private final MemberName node;
    private final Map<BestEffortTaskId, TaskAssignment> orders = new HashMap<>();
    private final Map<MemberName, WorkerStatus> told = new HashMap<>();
    private long sequence;

    SimulatedAgent(
            SimulationScheduler time,
            SimulatedWorker worker,
            SimulatedNetwork network,
            Function<BestEffortTaskId, Double> workMillis) {
        this.time = time;
        this.worker = worker;
        this.network = network;
        this.workMillis = workMillis;
        this.node = MemberName.of(worker.name());
        worker.onEnd(this::ended);
        reportWorker(false);
        time.scheduleWithFixedDelay(BestEffortTimings.REPORT_INTERVAL, this::tick);
    }

    MemberName memberName() {
        return node;
    }

    SimulatedWorker worker() {
        return worker;
    }

    /** Takes the worker away without a word; its entries learn it when the bound on silence has passed. */
    void fail() {
        worker.crash();
        network.disconnect(this);
    }

    /** Tells the agent that its worker is about to leave. */
    void startDraining() {
        reportWorker(true);
        act();
    }

    void assign(MemberName owner, List<TaskAssignment> given) {
        for (TaskAssignment order : given) {
            orders.put(order.task(), order);
            desk.assign(owner, order, time.nowNanos());
        }
        act();
    }

    void stop(MemberName owner, JobId job, List<Integer> indexes) {
        desk.stop(owner, job, indexes, time.nowNanos());
        act();
    }

    private void reportWorker(boolean draining) {
        desk.workerReported(
                new WorkerReport(
                        worker.name(),
                        BORN,
                        JobKind.SERVICE,
                        worker.zone(),
                        worker.capacity(),
                        "rack",
                        draining,
                        sequence++),
                time.nowNanos());
    }

    private void tick() {
        desk.tick(time.nowNanos());
        act();
        for (MemberName owner : network.entryNames()) {
            WorkerStatus room = desk.workerStatusFor(owner, time.nowNanos());
            if (!room.equals(told.get(owner))) {
                tell(owner, List.of(), room);
            }
        }
    }

    private void ended(BestEffortTaskId task, RunOutcome ending) {
        time.schedule(WORKER_CALL, () -> {
            TaskAssignment order = orders.get(task);
            if (order != null) {
                desk.runFinished(task, order.runNumber(), ending, time.nowNanos());
                act();
            }
        });
    }

    private void act() {
        Map<MemberName, List<RunResult>> ends = new HashMap<>();
        Actions actions = desk.drainActions();
        while (!actions.isEmpty()) {
            for (FinishedAssignment end : actions.finishedAssignments()) {
                ends.computeIfAbsent(end.owner(), owner -> new ArrayList<>()).add(end.result());
            }
            actions.runsToStop().forEach(this::stopAtWorker);
            actions.runsToStart().forEach(this::startAtWorker);
            actions = desk.drainActions();
        }
        ends.forEach((owner, ended) -> tell(owner, ended, desk.workerStatusFor(owner, time.nowNanos())));
    }

    private void startAtWorker(TaskRun run) {
        TaskAssignment order = orders.get(run.task());
        time.schedule(WORKER_CALL, () -> {
            worker.start(run.task(), workMillis.apply(run.task()), order.resources());
            time.schedule(WORKER_CALL, () -> desk.runStarted(run.task(), run.number(), time.nowNanos()));
        });
    }

    private void stopAtWorker(TaskRun run) {
        time.schedule(WORKER_CALL, () -> worker.stop(run.task()));
    }

    private void tell(MemberName owner, List<RunResult> ended, WorkerStatus room) {
        told.put(owner, room);
        network.report(node, owner, new AgentReport(ended, room));
    }
}
