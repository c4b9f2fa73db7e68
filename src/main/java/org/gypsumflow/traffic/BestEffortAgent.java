package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.AgentScheduler;
import org.gypsumflow.command.AgentScheduler.FinishedAssignment;
import org.gypsumflow.command.AgentScheduler.StalledRun;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.WorkerReport;

/** The traffic of an agent: orders in, ends and room out; its state belongs to the traffic lane. */
public final class BestEffortAgent implements ConnectionManager.MemberListener {
    /** Reports are repeated after this time even if nothing changed, in case one was lost with a connection. */
    private static final Duration REPEAT = Duration.ofSeconds(1);

    /** Time between two log lines on what the agent believes of its worker. */
    private static final Duration STANDING_EVERY = Duration.ofSeconds(5);

    private static final MemberName NOBODY = MemberName.of("nobody");

    private static final class Owner {
        private final Connection link;
        private WorkerStatus told;
        private long toldNanos;

        private Owner(Connection link) {
            this.link = link;
        }
    }

    private final SerialExecutor traffic;
    private final TimeSource time;
    private final EventLog events;
    private final RoutingStateCache state;
    private final AgentScheduler desk = AgentScheduler.create();
    private final WorkerSession driver;
    private final Map<MemberName, Owner> owners = new HashMap<>();
    private final Map<MemberName, List<RunResult>> ended = new HashMap<>();
    private CompletableFuture<Void> drained;
    private long tickMillis;
    private long standingNanos;
    private boolean stopped;

    private BestEffortAgent(
            SerialExecutor traffic, TimeSource time, WorkerClient worker, RoutingStateCache state, EventLog events) {
        this.traffic = traffic;
        this.time = time;
        this.events = events;
        this.state = state;
        this.driver = new WorkerSession(traffic, time, desk, worker, events, this::ended, this::tellEnds);
    }

    /**
     * Creates the traffic of an agent.
     *
     * @param traffic the traffic lane
     * @param time tells the time
     * @param worker calls the worker
     * @param state routes and closures
     * @param events receives numbered events
     * @return the traffic
     */
    public static BestEffortAgent create(
            SerialExecutor traffic, TimeSource time, WorkerClient worker, RoutingStateCache state, EventLog events) {
        return new BestEffortAgent(traffic, time, worker, state, events);
    }

    /** Begins to watch the time. */
    public void start() {
        tickMillis = time.currentTimeMillis();
        traffic.scheduleWithFixedDelay(BestEffortTimings.REPORT_INTERVAL, () -> {
            tick();
            return !stopped;
        });
    }

    /** Stops at once. */
    public void stop() {
        traffic.execute(() -> stopped = true);
    }

    /**
     * Takes no more orders and waits for those that run.
     *
     * @return completes when nothing runs any more
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        traffic.execute(() -> {
            drained = done;
            desk.startDraining(time.nanoTime());
            driver.executeActions();
        });
        return done;
    }

    /**
     * Stops all orders.
     *
     * @return completes when the stops are on their way
     */
    public CompletableFuture<Void> stopAllTasks() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        traffic.execute(() -> {
            owners.keySet().forEach(owner -> desk.stopAllOf(owner, time.nanoTime()));
            driver.executeActions();
            done.complete(null);
        });
        return done;
    }

    /**
     * Takes a worker's report.
     *
     * @param report the report
     */
    public void workerReported(WorkerReport report) {
        traffic.execute(() -> {
            driver.workerReported(report);
            driver.executeActions();
            owners.forEach((name, owner) -> tell(owner, List.of(), desk.workerStatusFor(name, time.nanoTime())));
        });
    }

    /**
     * Takes note that the worker has left.
     *
     * @param worker id of the worker
     */
    public void workerLeft(String worker) {
        traffic.execute(() -> {
            desk.workerDeregistered(worker, time.nanoTime());
            driver.executeActions();
        });
    }

    /** Takes the closures that are now known. */
    public void closedZonesChanged() {
        traffic.execute(() -> {
            desk.setClosedZones(state.current().closedZones().zones(), time.nanoTime());
            driver.executeActions();
        });
    }

    @Override
    public void memberConnected(Member member, Connection link) {
        traffic.execute(() -> {
            Owner owner = new Owner(link);
            owners.put(member.name(), owner);
            tell(owner, List.of(), desk.workerStatusFor(member.name(), time.nanoTime()));
        });
    }

    @Override
    public void memberDisconnected(Member member, long heardNanos) {
        traffic.execute(() -> {
            owners.remove(member.name());
            int orders = desk.stopAllOf(member.name(), time.nanoTime());
            if (orders > 0) {
                events.write(Event.ENTRY_ASSIGNMENTS_DROPPED, orders, member.name(), "out of touch");
            }
            driver.executeActions();
        });
    }

    @Override
    public void jobMessageReceived(MemberName from, BestEffortMessage message) {
        traffic.execute(() -> {
            noticePause();
            long now = time.nanoTime();
            if (message instanceof AssignTasks start) {
                start.assignments().forEach(order -> desk.assign(from, order, now));
            } else if (message instanceof StopTasks stop) {
                desk.stop(from, stop.job(), stop.indexes(), now);
            }
            driver.executeActions();
        });
    }

    @Override
    public void routingStateReceived(MemberName from, ShareRoutingState shared) {
        if (state.update(shared, "host " + from)) {
            closedZonesChanged();
        }
    }

    private void tick() {
        noticePause();
        desk.tick(time.nanoTime()).forEach(this::logStuck);
        driver.executeActions();
        logStanding();
        owners.forEach(this::tellIfChanged);
    }

    private void logStuck(StalledRun stuck) {
        events.write(
                Event.TASK_STALLED,
                stuck.run().task(),
                stuck.run().number().value(),
                stuck.elapsed().toMillis(),
                stuck.estimate().toMillis(),
                stuck.percentDone());
    }

    private void logStanding() {
        if (time.nanoTime() - standingNanos < STANDING_EVERY.toNanos()) {
            return;
        }
        standingNanos = time.nanoTime();
        WorkerStatus room = desk.workerStatusFor(NOBODY, standingNanos);
        events.write(
                Event.WORKER_STATUS,
                room.acceptsTasks(),
                room.runningTasks(),
                desk.assignmentCount(),
                String.format("%.2f", room.slowdown()),
                String.format("%.2f", room.failureRate()),
                room.meanRunDuration().toMillis());
    }

    private void noticePause() {
        long now = time.currentTimeMillis();
        long gap = now - tickMillis;
        tickMillis = now;
        if (gap > BestEffortTimings.PAUSE_THRESHOLD.toMillis()) {
            events.write(Event.PROCESS_PAUSED, gap);
            desk.processPaused(time.nanoTime());
        }
    }

    private void tellEnds() {
        ended.forEach((name, ends) -> {
            Owner owner = owners.get(name);
            if (owner != null) {
                tell(owner, ends, desk.workerStatusFor(name, time.nanoTime()));
            }
        });
        ended.clear();
        if (drained != null && desk.assignmentCount() == 0) {
            drained.complete(null);
        }
    }

    private void ended(FinishedAssignment end) {
        ended.computeIfAbsent(end.owner(), owner -> new ArrayList<>()).add(end.result());
        events.write(
                Event.TASK_ENDED,
                end.result().task(),
                end.result().runNumber().value(),
                end.owner(),
                end.result().outcome(),
                end.queueTime().toMillis(),
                end.result().runDuration().toMillis(),
                end.estimate().toMillis());
    }

    private void tellIfChanged(MemberName name, Owner owner) {
        WorkerStatus room = desk.workerStatusFor(name, time.nanoTime());
        long sinceTold = time.nanoTime() - owner.toldNanos;
        long spacing =
                BestEffortTimings.REPORT_INTERVAL.toNanos() * (owners.size() / BestEffortTimings.ENTRIES_AT_FULL_RATE);
        if (sinceTold > REPEAT.toNanos() || (sinceTold > spacing && !room.equals(owner.told))) {
            tell(owner, List.of(), room);
        }
    }

    private void tell(Owner owner, List<RunResult> ends, WorkerStatus room) {
        owner.told = room;
        owner.toldNanos = time.nanoTime();
        owner.link.send(new AgentReport(ends, room));
    }
}
