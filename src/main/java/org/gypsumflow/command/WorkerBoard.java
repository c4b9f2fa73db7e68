package org.gypsumflow.command;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.DispatchMessage.WorkerRoom;
import org.gypsumflow.model.NodeName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.ServiceName;

/** What an entry believes of the room on each worker: the last report, corrected by its own orders since then. */
public final class WorkerBoard {
    /**
     * A worker as a place for tasks.
     *
     * @param agent agent beside the worker
     * @param room the last report
     * @param free what is left once the receiver's own orders have arrived; may be negative
     */
    public record Candidate(NodeName agent, WorkerRoom room, Resources free) {
        Candidate after(Resources task) {
            return new Candidate(agent, room, free.minus(task));
        }
    }

    private static final class Row {
        private WorkerRoom room;
        private Resources ordered = Resources.NONE;
    }

    private final Map<NodeName, Row> rows = new HashMap<>();
    private Set<AvailabilityZone> closed = Set.of();

    private WorkerBoard() {}

    /**
     * Creates an empty board.
     *
     * @return the board
     */
    public static WorkerBoard create() {
        return new WorkerBoard();
    }

    /**
     * Takes a report of an agent.
     *
     * @param agent who reports
     * @param room its worker's room
     */
    public void report(NodeName agent, WorkerRoom room) {
        rows.computeIfAbsent(agent, name -> new Row()).room = room;
    }

    /**
     * Forgets an agent.
     *
     * @param agent who is gone
     */
    public void remove(NodeName agent) {
        rows.remove(agent);
    }

    /**
     * Sets the zones that get no tasks.
     *
     * @param zones the zones
     */
    public void close(Set<AvailabilityZone> zones) {
        this.closed = Set.copyOf(zones);
    }

    /**
     * Counts an order of this entry.
     *
     * @param agent where it went
     * @param needs what the task needs
     */
    public void ordered(NodeName agent, Resources needs) {
        row(agent).ifPresent(row -> row.ordered = row.ordered.plus(needs));
    }

    /**
     * Counts the end of an order of this entry.
     *
     * @param agent where it was
     * @param needs what the task needed
     */
    public void settled(NodeName agent, Resources needs) {
        row(agent).ifPresent(row -> row.ordered = row.ordered.minus(needs));
    }

    /**
     * Lists the workers that may get tasks of a service.
     *
     * @param service the service
     * @return the workers
     */
    public Collection<Candidate> candidates(ServiceName service) {
        return open(service).toList();
    }

    /**
     * Sums up what the workers of a service have.
     *
     * @param service the service
     * @return the whole capacity of workers that may get tasks
     */
    public Resources capacity(ServiceName service) {
        return open(service).map(candidate -> candidate.room().capacity()).reduce(Resources.NONE, Resources::plus);
    }

    /**
     * Counts the agents that reported.
     *
     * @return number of agents
     */
    public int size() {
        return rows.size();
    }

    private Stream<Candidate> open(ServiceName service) {
        return rows.entrySet().stream()
                .filter(entry -> entry.getValue().room != null && mayTake(entry.getValue().room, service))
                .map(entry -> candidate(entry.getKey(), entry.getValue()));
    }

    private boolean mayTake(WorkerRoom room, ServiceName service) {
        return room.open()
                && room.service().equals(service.value())
                && closed.stream().noneMatch(zone -> zone.value().equals(room.zone()));
    }

    private static Candidate candidate(NodeName agent, Row row) {
        return new Candidate(agent, row.room, row.room.free().minus(row.ordered.minus(row.room.yours())));
    }

    private Optional<Row> row(NodeName agent) {
        return Optional.ofNullable(rows.get(agent));
    }
}
