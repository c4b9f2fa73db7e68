package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.gypsumflow.command.AgentDesk;
import org.gypsumflow.command.AgentDesk.Actions;
import org.gypsumflow.command.AgentDesk.OwnedEnd;
import org.gypsumflow.command.AgentDesk.Run;
import org.gypsumflow.command.DispatchLimits;
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
final class ModelAgent {
    /** Time of a call to the worker on the same host. */
    private static final Duration WORKER_CALL = Duration.ofMillis(1);

    /** The worker's only life in the model. */
    private static final long BORN = 1;

    private final VirtualTime time;
    private final ModelWorker worker;
    private final ModelNetwork network;
    private final Function<BestEffortTaskId, Double> workMillis;
    private final AgentDesk desk = AgentDesk.create();
    private final MemberName node;
    private final Map<BestEffortTaskId, TaskAssignment> orders = new HashMap<>();
    private final Map<MemberName, WorkerStatus> told = new HashMap<>();
    private long sequence;

    ModelAgent(
            VirtualTime time, ModelWorker worker, ModelNetwork network, Function<BestEffortTaskId, Double> workMillis) {
        this.time = time;
        this.worker = worker;
        this.network = network;
        this.workMillis = workMillis;
        this.node = MemberName.of(worker.name());
        worker.onEnd(this::ended);
        reportWorker(false);
        time.every(DispatchLimits.REPORT, this::tick);
    }

    MemberName node() {
        return node;
    }

    ModelWorker worker() {
        return worker;
    }

    /** Takes the worker away without a word; its entries learn it when the bound on silence has passed. */
    void lose() {
        worker.crash();
        network.lose(this);
    }

    /** Tells the agent that its worker is about to leave. */
    void drain() {
        reportWorker(true);
        act();
    }

    void order(MemberName owner, List<TaskAssignment> given) {
        for (TaskAssignment order : given) {
            orders.put(order.task(), order);
            desk.order(owner, order, time.nowNanos());
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
        for (MemberName owner : network.entries()) {
            WorkerStatus room = desk.roomFor(owner, time.nowNanos());
            if (!room.equals(told.get(owner))) {
                tell(owner, List.of(), room);
            }
        }
    }

    private void ended(BestEffortTaskId task, RunOutcome ending) {
        time.after(WORKER_CALL, () -> {
            TaskAssignment order = orders.get(task);
            if (order != null) {
                desk.ended(task, order.runNumber(), ending, time.nowNanos());
                act();
            }
        });
    }

    private void act() {
        Map<MemberName, List<RunResult>> ends = new HashMap<>();
        Actions actions = desk.drainActions();
        while (!actions.isEmpty()) {
            for (OwnedEnd end : actions.ended()) {
                ends.computeIfAbsent(end.owner(), owner -> new ArrayList<>()).add(end.ended());
            }
            actions.stop().forEach(this::stopAtWorker);
            actions.start().forEach(this::startAtWorker);
            actions = desk.drainActions();
        }
        ends.forEach((owner, ended) -> tell(owner, ended, desk.roomFor(owner, time.nowNanos())));
    }

    private void startAtWorker(Run run) {
        TaskAssignment order = orders.get(run.task());
        time.after(WORKER_CALL, () -> {
            worker.start(run.task(), workMillis.apply(run.task()), order.resources());
            time.after(WORKER_CALL, () -> desk.started(run.task(), run.run(), time.nowNanos()));
        });
    }

    private void stopAtWorker(Run run) {
        time.after(WORKER_CALL, () -> worker.stop(run.task()));
    }

    private void tell(MemberName owner, List<RunResult> ended, WorkerStatus room) {
        told.put(owner, room);
        network.report(node, owner, new AgentReport(ended, room));
    }
}
