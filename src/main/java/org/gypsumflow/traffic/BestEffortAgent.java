package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.gypsumflow.command.AgentScheduler;
import org.gypsumflow.command.AgentScheduler.FinishedAssignment;
import org.gypsumflow.command.AgentScheduler.StalledRun;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.interference.NeighbourTracker;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.PeerMessage;
import org.gypsumflow.model.BestEffortMessage.Relay;
import org.gypsumflow.model.BestEffortMessage.RunResult;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortMessage.WorkerStatus;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.RunOutcome;
import org.gypsumflow.model.WorkerReport;
import org.gypsumflow.traffic.PauseDetector.Pause;

/**
 * Runs the tasks that entries assign to this agent's worker, and reports their results and the worker's status back.
 *
 * <p>Its state is confined to the traffic executor, on which the public methods run their actions.
 */
public final class BestEffortAgent implements ConnectionManager.MemberListener {
    /** Time after which a report is repeated even if nothing changed, in case one was lost with a connection. */
    private static final Duration MAX_REPORT_INTERVAL = Duration.ofSeconds(1);

    /** Time between two log lines with the status of the worker. */
    private static final Duration STATUS_LOG_INTERVAL = Duration.ofSeconds(5);

    private static final MemberName NO_ENTRY = MemberName.of("nobody");

    private static final class ConnectedEntry {
        private final Connection connection;
        private final long connectedNanos;
        private OptionalLong confirmedSentNanos = OptionalLong.empty();
        private WorkerStatus lastStatus;
        private long lastReportNanos;

        private ConnectedEntry(Connection connection, long connectedNanos) {
            this.connection = connection;
            this.connectedNanos = connectedNanos;
        }

        /** Returns whether a heartbeat was confirmed, and the newest one was sent at the given time or later. */
        private boolean isConfirmedSince(long nanos) {
            return wasConfirmed() && confirmedSentNanos.getAsLong() - nanos >= 0;
        }

        /** Returns whether the entry ever received a heartbeat on this connection; it has no tasks here before. */
        private boolean wasConfirmed() {
            return confirmedSentNanos.isPresent();
        }

        /** Returns the time at which the loss of this entry was due to be noticed, at the latest the current time. */
        private long lostNanos(long nowNanos) {
            long dueNanos = confirmedSentNanos.orElse(nowNanos)
                    + BestEffortTimings.CONFIRMED_CONTACT_LIMIT
                            .plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL)
                            .toNanos();
            return dueNanos - nowNanos < 0 ? dueNanos : nowNanos;
        }
    }

    /** Runs a check before each action, since time may have passed since the last one. */
    private record CheckingExecutor(SerialExecutor executor, Runnable check) implements SerialExecutor {
        @Override
        public void execute(Runnable action) {
            executor.execute(checked(action));
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            executor.schedule(delay, checked(action));
        }

        private Runnable checked(Runnable action) {
            return () -> {
                check.run();
                action.run();
            };
        }
    }

    private final SerialExecutor executor;
    /** Leaves out the check of contacts, which a confirmation that waits in the queue may renew. */
    private final SerialExecutor confirmationExecutor;

    private final TimeSource time;
    private final EventLog events;
    private final RoutingStateCache routingState;
    private final DispatchFeatures features;
    private final DecisionCounter counter;
    private final AgentScheduler scheduler;
    private final PauseDetector pauseDetector;
    private final WorkerSession workerSession;
    private final Map<MemberName, ConnectedEntry> entries = new HashMap<>();
    private final Map<MemberName, List<RunResult>> resultsByEntry = new HashMap<>();
    private CompletableFuture<Void> drained;
    private OptionalLong lastPauseNanos = OptionalLong.empty();
    private long lastStatusLogNanos;
    private boolean stopped;

    private BestEffortAgent(
            SerialExecutor executor,
            TimeSource time,
            WorkerClient worker,
            RoutingStateCache routingState,
            EventLog events,
            DispatchFeatures features,
            DecisionCounter counter) {
        this.features = features;
        this.counter = counter;
        this.scheduler = features.interferenceAvoidance()
                ? AgentScheduler.create(NeighbourTracker.create())
                : AgentScheduler.create();
        this.confirmationExecutor = new CheckingExecutor(executor, this::detectPauseAndExecuteActions);
        this.executor = new CheckingExecutor(confirmationExecutor, this::dropEntriesAndExecuteActions);
        this.time = time;
        this.events = events;
        this.routingState = routingState;
        this.pauseDetector = PauseDetector.create(BestEffortTimings.PAUSE_THRESHOLD, time);
        this.workerSession = new WorkerSession(
                this.executor,
                time,
                scheduler,
                worker,
                events,
                features,
                counter,
                new WorkerSession.Callbacks(
                        this::assignmentFinished, this::reportResults, this::checkContacts, this::hasConfirmedContact));
    }

    /**
     * Creates an agent without a worker and without assignments; {@link #start} begins its periodic work.
     *
     * @param executor traffic executor, to which all state of the agent is confined
     * @param time wall clock and monotonic clock
     * @param worker client of the worker
     * @param routingState latest known routes and closed zones
     * @param events receives numbered log events
     * @return the agent
     */
    public static BestEffortAgent create(
            SerialExecutor executor,
            TimeSource time,
            WorkerClient worker,
            RoutingStateCache routingState,
            EventLog events) {
        return create(executor, time, worker, routingState, events, DispatchFeatures.none(), DecisionCounter.none());
    }

    /**
     * Creates an agent without a worker and without assignments; {@link #start} begins its periodic work.
     *
     * @param executor traffic executor, to which all state of the agent is confined
     * @param time wall clock and monotonic clock
     * @param worker client of the worker
     * @param routingState latest known routes and closed zones
     * @param events receives numbered log events
     * @param features parts that are switched on
     * @param counter counts the decisions of these parts
     * @return the agent
     */
    public static BestEffortAgent create(
            SerialExecutor executor,
            TimeSource time,
            WorkerClient worker,
            RoutingStateCache routingState,
            EventLog events,
            DispatchFeatures features,
            DecisionCounter counter) {
        return new BestEffortAgent(executor, time, worker, routingState, events, features, counter);
    }

    /**
     * Starts the periodic work: expiry of queued assignments, detection of stalled tasks and pauses, status reports.
     */
    public void start() {
        events.write(Event.FEATURES, features);
        pauseDetector.restart();
        executor.scheduleWithFixedDelay(BestEffortTimings.REPORT_INTERVAL, () -> {
            tick();
            return !stopped;
        });
    }

    /** Stops the periodic work; tasks at the worker are left alone. */
    public void stop() {
        executor.execute(() -> stopped = true);
    }

    /**
     * Rejects new assignments, returns the queued ones unstarted, and waits for the running tasks.
     *
     * @return completes when no assignment is left
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        executor.execute(() -> {
            drained = completion;
            scheduler.startDraining(time.nanoTime());
            workerSession.executeActions();
        });
        return completion;
    }

    /**
     * Stops all assigned tasks, whether queued or running.
     *
     * @return completes when the stops have been sent to the worker
     */
    public CompletableFuture<Void> stopAllTasks() {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        executor.execute(() -> {
            long now = time.nanoTime();
            entries.keySet().forEach(entry -> scheduler.stopAllOf(entry, now, now));
            workerSession.executeActions();
            completion.complete(null);
        });
        return completion;
    }

    /**
     * Applies a report of the worker and sends the resulting worker status to all entries immediately.
     *
     * @param report what the worker reported of itself
     */
    public void workerReported(WorkerReport report) {
        executor.execute(() -> {
            workerSession.workerReported(report);
            workerSession.executeActions();
            entries.forEach((name, entry) -> {
                if (entry.wasConfirmed()) {
                    sendReport(name, entry, List.of(), statusFor(name, entry));
                }
            });
        });
    }

    /**
     * Records that a worker has deregistered; the tasks that ran there count as lost.
     *
     * @param worker id of the worker; ignored unless it is the present one
     * @param startedAtMillis when the incarnation that deregistered started, in milliseconds since the epoch; ignored
     *     unless it is the present one
     */
    public void workerLeft(String worker, long startedAtMillis) {
        executor.execute(() -> workerSession.workerDeregistered(worker, startedAtMillis));
    }

    /** Applies the latest closed zones; while its own zone is closed the agent accepts no new tasks. */
    public void closedZonesChanged() {
        executor.execute(() -> {
            scheduler.setClosedZones(routingState.current().closedZones().zones(), time.nanoTime());
            workerSession.executeActions();
        });
    }

    @Override
    public void memberConnected(Member member, Connection connection) {
        long connectedNanos = time.nanoTime();
        executor.execute(() -> entries.put(member.name(), new ConnectedEntry(connection, connectedNanos)));
    }

    @Override
    public void contactConfirmed(MemberName member, long sentAtNanos) {
        confirmationExecutor.execute(() -> {
            ConnectedEntry entry = entries.get(member);
            // A heartbeat from before this connection was confirmed on an earlier one.
            if (entry == null || sentAtNanos - entry.connectedNanos < 0 || entry.isConfirmedSince(sentAtNanos)) {
                return;
            }
            boolean hadContact = hasConfirmedContact(entry);
            boolean isNew = !entry.wasConfirmed();
            entry.confirmedSentNanos = OptionalLong.of(sentAtNanos);
            if (!hadContact && hasConfirmedContact(entry)) {
                sendReport(member, entry, List.of(), statusFor(member, entry));
            }
            if (isNew) {
                announceNewContact(member, entry);
            }
        });
    }

    @Override
    public void memberDisconnected(Member member, long lastMessageNanos) {
        executor.execute(() -> {
            removeEntry(member.name(), "connection lost");
            workerSession.executeActions();
        });
    }

    private void removeEntry(MemberName name, String reason) {
        ConnectedEntry entry = entries.remove(name);
        if (entry != null && entry.wasConfirmed()) {
            ContactsChanged change = new ContactsChanged(List.of(), List.of(name));
            contactsBeside(name).values().forEach(other -> other.connection.send(change));
        }
        stopTasksOf(name, entry, reason);
    }

    /** Tells an entry that has just come into contact and the others in contact of each other. */
    private void announceNewContact(MemberName name, ConnectedEntry entry) {
        Map<MemberName, ConnectedEntry> others = contactsBeside(name);
        entry.connection.send(new ContactsChanged(List.copyOf(others.keySet()), List.of()));
        ContactsChanged change = new ContactsChanged(List.of(name), List.of());
        others.values().forEach(other -> other.connection.send(change));
    }

    private Map<MemberName, ConnectedEntry> contactsBeside(MemberName name) {
        Map<MemberName, ConnectedEntry> contacts = new TreeMap<>(entries);
        contacts.remove(name);
        contacts.values().removeIf(entry -> !entry.wasConfirmed());
        return contacts;
    }

    /** Passes a message of one entry on to another; the sender learns of a lost contact, and sends it on another way. */
    private void relay(MemberName from, MemberName to, PeerMessage message) {
        ConnectedEntry receiver = entries.get(to);
        if (receiver != null && receiver.wasConfirmed()) {
            receiver.connection.send(new Relay(from, message));
        }
    }

    private void stopTasksOf(MemberName name, ConnectedEntry entry, String reason) {
        long now = time.nanoTime();
        int stoppedTasks = scheduler.stopAllOf(name, entry == null ? now : entry.lostNanos(now), now);
        if (stoppedTasks > 0) {
            events.write(Event.ENTRY_ASSIGNMENTS_DROPPED, stoppedTasks, name, reason);
            counter.increment("entries_dropped", reason.replace(' ', '_'));
        }
    }

    /** Checks again what is checked before each action, for one that may have been held up since. */
    private void checkContacts() {
        detectPause();
        dropEntriesWithoutContact();
    }

    private void dropEntriesAndExecuteActions() {
        if (dropEntriesWithoutContact()) {
            workerSession.executeActions();
        }
    }

    /**
     * Decides to stop the tasks of entries that may not have received anything for too long, whatever they send. Returns
     * whether there were any.
     */
    private boolean dropEntriesWithoutContact() {
        long limitNanos = time.nanoTime() - BestEffortTimings.CONFIRMED_CONTACT_LIMIT.toNanos();
        return dropEntries(entry -> !entry.isConfirmedSince(limitNanos));
    }

    /** Drops those of the entries that ever confirmed contact; the others have no tasks here. */
    private boolean dropEntries(Predicate<ConnectedEntry> which) {
        List<MemberName> dropped = entries.entrySet().stream()
                .filter(entry -> entry.getValue().wasConfirmed() && which.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        dropped.forEach(name -> {
            entries.get(name).connection.close();
            removeEntry(name, "no confirmed contact");
        });
        return !dropped.isEmpty();
    }

    @Override
    public void jobMessageReceived(MemberName from, BestEffortMessage message) {
        executor.execute(() -> {
            long now = time.nanoTime();
            if (message instanceof AssignTasks request) {
                assign(from, request.assignments(), now);
            } else if (message instanceof StopTasks stop) {
                scheduler.stop(from, stop.job(), stop.indexes(), now);
            } else if (message instanceof Relay relay) {
                relay(from, relay.entry(), relay.message());
            }
            workerSession.executeActions();
        });
    }

    @Override
    public void routingStateReceived(MemberName from, ShareRoutingState received) {
        if (routingState.update(received, "host " + from)) {
            closedZonesChanged();
        }
    }

    private void assign(MemberName from, List<TaskAssignment> assignments, long now) {
        ConnectedEntry entry = entries.get(from);
        if (entry == null) {
            events.write(Event.ENTRY_ASSIGNMENTS_DROPPED, assignments.size(), from, "not connected");
        } else if (hasConfirmedContact(entry)) {
            assignments.forEach(assignment -> scheduler.assign(from, assignment, now));
        } else {
            events.write(Event.ENTRY_ASSIGNMENTS_DROPPED, assignments.size(), from, "no confirmed contact");
            sendReport(from, entry, notStarted(assignments), statusFor(from, entry));
        }
    }

    private static List<RunResult> notStarted(List<TaskAssignment> assignments) {
        return assignments.stream()
                .map(assignment ->
                        new RunResult(assignment.task(), assignment.runNumber(), RunOutcome.NOT_STARTED, Duration.ZERO))
                .toList();
    }

    private boolean hasConfirmedContact(MemberName name) {
        ConnectedEntry entry = entries.get(name);
        return entry != null && hasConfirmedContact(entry);
    }

    /** Returns whether the entry certainly received a heartbeat recently, and since the last pause of this process. */
    private boolean hasConfirmedContact(ConnectedEntry entry) {
        return entry.isConfirmedSince(time.nanoTime() - BestEffortTimings.CONFIRMED_CONTACT_LIMIT.toNanos())
                && (lastPauseNanos.isEmpty() || entry.isConfirmedSince(lastPauseNanos.getAsLong()));
    }

    private WorkerStatus statusFor(MemberName name, ConnectedEntry entry) {
        WorkerStatus status = scheduler.workerStatusFor(name, time.nanoTime());
        return hasConfirmedContact(entry) ? status : status.withoutAcceptance();
    }

    private void tick() {
        scheduler.tick(time.nanoTime()).forEach(this::logStalled);
        workerSession.executeActions();
        logWorkerStatus();
        entries.forEach(this::reportIfChanged);
    }

    private void logStalled(StalledRun stalled) {
        events.write(
                Event.TASK_STALLED,
                stalled.run().task(),
                stalled.run().number().value(),
                stalled.elapsed().toMillis(),
                stalled.estimate().toMillis(),
                stalled.percentDone());
    }

    private void logWorkerStatus() {
        if (time.nanoTime() - lastStatusLogNanos < STATUS_LOG_INTERVAL.toNanos()) {
            return;
        }
        lastStatusLogNanos = time.nanoTime();
        WorkerStatus status = scheduler.workerStatusFor(NO_ENTRY, lastStatusLogNanos);
        events.write(
                Event.WORKER_STATUS,
                status.acceptsTasks(),
                status.runningTasks(),
                scheduler.assignmentCount(),
                String.format("%.2f", status.slowdown()),
                String.format("%.2f", status.failureRate()),
                status.meanRunDuration().toMillis());
    }

    private void detectPauseAndExecuteActions() {
        if (detectPause()) {
            workerSession.executeActions();
        }
    }

    /** Decides what to return and to stop after a pause of this process. Returns whether there was one. */
    private boolean detectPause() {
        Optional<Duration> pause = pauseDetector.detect().map(Pause::duration);
        pause.ifPresent(duration -> {
            events.write(Event.PROCESS_PAUSED, duration.toMillis());
            lastPauseNanos = OptionalLong.of(time.nanoTime());
            scheduler.processPaused(time.nanoTime());
            // The monotonic clock may have stood still, so that a contact from before the pause looks recent.
            if (duration.compareTo(BestEffortTimings.CONFIRMED_CONTACT_LIMIT) > 0) {
                dropEntries(entry -> true);
            }
        });
        return pause.isPresent();
    }

    private void reportResults() {
        resultsByEntry.forEach((name, results) -> {
            ConnectedEntry entry = entries.get(name);
            if (entry != null) {
                sendReport(name, entry, results, statusFor(name, entry));
            }
        });
        resultsByEntry.clear();
        if (drained != null && scheduler.assignmentCount() == 0) {
            drained.complete(null);
        }
    }

    private void assignmentFinished(FinishedAssignment finished) {
        resultsByEntry
                .computeIfAbsent(finished.owner(), entry -> new ArrayList<>())
                .add(finished.result());
        events.write(
                Event.TASK_ENDED,
                finished.result().task(),
                finished.result().runNumber().value(),
                finished.owner(),
                finished.result().outcome(),
                finished.queueTime().toMillis(),
                finished.result().runDuration().toMillis(),
                finished.estimate().toMillis());
    }

    private void reportIfChanged(MemberName name, ConnectedEntry entry) {
        if (!entry.wasConfirmed()) {
            return;
        }
        WorkerStatus status = statusFor(name, entry);
        long sinceLastReport = time.nanoTime() - entry.lastReportNanos;
        long minInterval =
                BestEffortTimings.REPORT_INTERVAL.toNanos() * (entries.size() / BestEffortTimings.ENTRIES_AT_FULL_RATE);
        if (sinceLastReport > MAX_REPORT_INTERVAL.toNanos()
                || (sinceLastReport > minInterval && !status.equals(entry.lastStatus))) {
            sendReport(name, entry, List.of(), status);
        }
    }

    private void sendReport(MemberName name, ConnectedEntry entry, List<RunResult> results, WorkerStatus status) {
        entry.lastStatus = status;
        entry.lastReportNanos = time.nanoTime();
        entry.connection.send(new AgentReport(results, status, scheduler.runningMillicoresFor(name, time.nanoTime())));
    }
}
