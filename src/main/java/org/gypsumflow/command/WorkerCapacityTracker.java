package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.ServiceName;

/** What an entry believes of the room on each worker: the last report, corrected by its own orders since then. */
public final class WorkerCapacityTracker {
    /**
     * A worker as a place for tasks.
     *
     * @param agent agent beside the worker
     * @param reportedStatus the last report
     * @param uncommitted what is left once the receiver's own orders have arrived, waiting tasks included; may be negative
     * @param idle what is left if tasks that wait are overtaken; may be negative
     * @param slowdown how long it takes for tasks, as a multiple of their estimates
     */
    public record Candidate(
            MemberName agent, WorkerStatus reportedStatus, Resources uncommitted, Resources idle, double slowdown) {}

    private static final class Row {
        private WorkerStatus room;
        private Resources ordered = Resources.NONE;
    }

    private final Map<MemberName, Row> rows = new HashMap<>();
    private final WorkerSpeedEstimator speeds = WorkerSpeedEstimator.create();
    private Set<AvailabilityZone> closed = Set.of();

    private WorkerCapacityTracker() {}

    /**
     * Creates an empty board.
     *
     * @return the board
     */
    public static WorkerCapacityTracker create() {
        return new WorkerCapacityTracker();
    }

    /**
     * Takes a report of an agent.
     *
     * @param agent who reports
     * @param room its worker's room
     */
    public void updateWorker(MemberName agent, WorkerStatus room) {
        rows.computeIfAbsent(agent, name -> new Row()).room = room;
    }

    /**
     * Forgets an agent.
     *
     * @param agent who is gone
     */
    public void remove(MemberName agent) {
        rows.remove(agent);
        speeds.remove(agent);
    }

    /**
     * Sets the zones that get no tasks.
     *
     * @param zones the zones
     */
    public void setClosedZones(Set<AvailabilityZone> zones) {
        this.closed = Set.copyOf(zones);
    }

    /**
     * Counts an order of this entry.
     *
     * @param agent where it went
     * @param needs what the task needs
     */
    public void recordAssignment(MemberName agent, Resources needs) {
        row(agent).ifPresent(row -> row.ordered = row.ordered.plus(needs));
    }

    /**
     * Counts the end of an order of this entry.
     *
     * @param agent where it was
     * @param needs what the task needed
     */
    public void releaseAssignment(MemberName agent, Resources needs) {
        row(agent).ifPresent(row -> row.ordered = row.ordered.minus(needs));
    }

    /**
     * Learns from a job whose tasks are done.
     *
     * @param runs its runs
     * @param estimate rough running time of one task
     * @param nowNanos monotonic clock
     */
    void recordCompletedJob(List<WorkerSpeedEstimator.Sample> runs, Duration estimate, long nowNanos) {
        speeds.recordCompletedJob(runs, estimate, nowNanos);
    }

    /**
     * Lists the workers that may get tasks of a service.
     *
     * @param service the service
     * @param nowNanos monotonic clock
     * @return the workers
     */
    public List<Candidate> candidates(ServiceName service, long nowNanos) {
        List<Candidate> open = new ArrayList<>();
        rows.forEach((agent, row) -> {
            if (row.room != null && mayTake(row.room, service)) {
                open.add(candidate(agent, row, nowNanos));
            }
        });
        return open;
    }

    /**
     * Counts the agents that reported.
     *
     * @return number of agents
     */
    public int agentCount() {
        return rows.size();
    }

    private boolean mayTake(WorkerStatus room, ServiceName service) {
        return room.acceptsTasks()
                && room.service().equals(service.value())
                && closed.stream().noneMatch(zone -> zone.value().equals(room.zone()));
    }

    private Candidate candidate(MemberName agent, Row row, long nowNanos) {
        double learnt = speeds.slowdown(agent, row.room.slowdown(), nowNanos);
        Resources onTheWay = row.ordered.minus(row.room.assignedByReceiver());
        return new Candidate(
                agent,
                row.room,
                row.room.uncommitted().minus(onTheWay),
                row.room.idle().minus(onTheWay),
                Math.max(learnt, row.room.overdueSlowdown()));
    }

    private Optional<Row> row(MemberName agent) {
        return Optional.ofNullable(rows.get(agent));
    }
}
