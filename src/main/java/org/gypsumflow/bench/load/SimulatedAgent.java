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
import org.gypsumflow.command.interference.NeighbourTracker;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerReport;

/** An agent that runs the production scheduling code for a simulated worker. */
final class SimulatedAgent {
    /** Duration of a call to the worker, which runs on the same host. */
    private static final Duration WORKER_CALL_TIME = Duration.ofMillis(1);

    /** Start time of the worker's only incarnation. */
    private static final long WORKER_STARTED_AT_MILLIS = 1;

    private final SimulationScheduler simulation;
    private final SimulatedWorker worker;
    private final SimulatedNetwork network;
    private final Function<BestEffortTaskId, Double> workMillis;
    private final AgentScheduler agentScheduler = AgentScheduler.create(NeighbourTracker.create());
    private final MemberName memberName;
    private final Map<BestEffortTaskId, TaskAssignment> assignments = new HashMap<>();
    private final Map<MemberName, WorkerStatus> lastStatuses = new HashMap<>();
    private long sequence;

    SimulatedAgent(
            SimulationScheduler simulation,
            SimulatedWorker worker,
            SimulatedNetwork network,
            Function<BestEffortTaskId, Double> workMillis) {
        this.simulation = simulation;
        this.worker = worker;
        this.network = network;
        this.workMillis = workMillis;
        this.memberName = MemberName.of(worker.name());
        worker.onEnd(this::runFinished);
        reportWorker(false);
        simulation.scheduleWithFixedDelay(BestEffortTimings.REPORT_INTERVAL, this::tick);
    }

    MemberName memberName() {
        return memberName;
    }

    SimulatedWorker worker() {
        return worker;
    }

    /** Crashes the worker and the agent without notice; entries detect it by the heartbeat timeout. */
    void fail() {
        worker.crash();
        network.disconnect(this);
    }

    /** Reports that the worker is draining. */
    void startDraining() {
        reportWorker(true);
        executeActions();
    }

    void assign(MemberName owner, List<TaskAssignment> newAssignments) {
        for (TaskAssignment assignment : newAssignments) {
            assignments.put(assignment.task(), assignment);
            agentScheduler.assign(owner, assignment, simulation.nowNanos());
        }
        executeActions();
    }

    void stop(MemberName owner, JobId job, List<Integer> indexes) {
        agentScheduler.stop(owner, job, indexes, simulation.nowNanos());
        executeActions();
    }

    private void reportWorker(boolean draining) {
        agentScheduler.workerReported(
                new WorkerReport(
                        worker.name(),
                        WORKER_STARTED_AT_MILLIS,
                        JobKind.SERVICE,
                        worker.zone(),
                        worker.capacity(),
                        "rack",
                        draining,
                        sequence++,
                        Duration.ofNanos(simulation.nowNanos()).toMillis()),
                simulation.nowNanos());
    }

    private void tick() {
        agentScheduler.tick(simulation.nowNanos());
        executeActions();
        for (MemberName owner : network.entryNames()) {
            WorkerStatus status = agentScheduler.workerStatusFor(owner, simulation.nowNanos());
            if (!status.equals(lastStatuses.get(owner))) {
                sendReport(owner, List.of(), status);
            }
        }
    }

    private void runFinished(BestEffortTaskId task, RunOutcome outcome) {
        simulation.schedule(WORKER_CALL_TIME, () -> {
            TaskAssignment assignment = assignments.get(task);
            if (assignment != null) {
                agentScheduler.runFinished(task, assignment.runNumber(), outcome, simulation.nowNanos());
                executeActions();
            }
        });
    }

    private void executeActions() {
        Map<MemberName, List<RunResult>> results = new HashMap<>();
        Actions actions = agentScheduler.drainActions();
        while (!actions.isEmpty()) {
            for (FinishedAssignment finished : actions.finishedAssignments()) {
                results.computeIfAbsent(finished.owner(), owner -> new ArrayList<>())
                        .add(finished.result());
            }
            actions.runsToStop().forEach(this::stopAtWorker);
            actions.runsToStart().forEach(this::startAtWorker);
            actions = agentScheduler.drainActions();
        }
        results.forEach((owner, ownerResults) ->
                sendReport(owner, ownerResults, agentScheduler.workerStatusFor(owner, simulation.nowNanos())));
    }

    private void startAtWorker(TaskRun run) {
        TaskAssignment assignment = assignments.get(run.task());
        simulation.schedule(WORKER_CALL_TIME, () -> {
            worker.start(run.task(), workMillis.apply(run.task()), assignment.resources());
            simulation.schedule(
                    WORKER_CALL_TIME, () -> agentScheduler.runStarted(run.task(), run.number(), simulation.nowNanos()));
        });
    }

    private void stopAtWorker(TaskRun run) {
        simulation.schedule(WORKER_CALL_TIME, () -> worker.stop(run.task()));
    }

    private void sendReport(MemberName owner, List<RunResult> results, WorkerStatus status) {
        lastStatuses.put(owner, status);
        network.report(
                memberName,
                owner,
                new AgentReport(results, status, agentScheduler.runningMillicoresFor(owner, simulation.nowNanos())));
    }
}
