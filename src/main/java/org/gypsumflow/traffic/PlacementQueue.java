package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gypsumflow.command.WorkerSelectionPolicy;
import org.gypsumflow.command.WorkerSelectionPolicy.Candidate;
import org.gypsumflow.control.ConnectedWorker;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * Gives waiting tasks the slots that agents lend to this entry, taking callers in turn.
 *
 * <p>All of it runs on one lane; the public counters may be read on any thread.
 */
final class PlacementQueue {
    private static final Duration REFUSAL_PAUSE = Duration.ofMillis(100);

    private static final int LEAST_PURGED_TASKS = 1024;

    /** One task that waits for a slot. */
    static final class QueuedTask {
        private final ServiceName service;
        private final Caller caller;
        private final Consumer<ConnectedWorker> placed;
        private boolean ended;

        QueuedTask(ServiceName service, Caller caller, Consumer<ConnectedWorker> placed) {
            this.service = service;
            this.caller = caller;
            this.placed = placed;
        }
    }

    private final SerialExecutor lane;
    private final TimeSource time;
    private final Supplier<EntrySnapshot> snapshot;
    private final WorkerSelectionPolicy policy;
    private final RandomGenerator random;
    private final Runnable demandChanged;
    private final Map<ServiceName, Map<Caller, Deque<QueuedTask>>> queues = new HashMap<>();
    private final Map<Incarnation, Integer> inFlight = new HashMap<>();
    private final Map<Caller, Integer> callerInFlight = new HashMap<>();
    private final Map<Incarnation, Long> pausedUntilNanos = new HashMap<>();
    private final AtomicInteger waitingTasks = new AtomicInteger();
    private int endedTasks;
    private boolean pumpScheduled;
    private boolean demandReported;

    private PlacementQueue(
            SerialExecutor lane,
            TimeSource time,
            Supplier<EntrySnapshot> snapshot,
            WorkerSelectionPolicy policy,
            RandomGenerator random,
            Runnable demandChanged) {
        this.lane = lane;
        this.time = time;
        this.snapshot = snapshot;
        this.policy = policy;
        this.random = random;
        this.demandChanged = demandChanged;
    }

    static PlacementQueue create(
            SerialExecutor lane,
            TimeSource time,
            Supplier<EntrySnapshot> snapshot,
            WorkerSelectionPolicy policy,
            RandomGenerator random,
            Runnable demandChanged) {
        return new PlacementQueue(lane, time, snapshot, policy, random, demandChanged);
    }

    /** Returns the number of tasks that wait for a slot. */
    int waitingTasks() {
        return waitingTasks.get();
    }

    /** Lets a task wait; its callback runs on this lane once a slot is taken for it. */
    void enqueue(QueuedTask task) {
        waitingTasks.incrementAndGet();
        lane.execute(() -> {
            if (task.ended) {
                return;
            }
            queues.computeIfAbsent(task.service, service -> new LinkedHashMap<>())
                    .computeIfAbsent(task.caller, caller -> new ArrayDeque<>())
                    .addLast(task);
            schedulePump();
        });
    }

    /** Ends the wait of tasks; those that have a slot already keep it. */
    void remove(List<QueuedTask> tasks) {
        lane.execute(() -> {
            for (QueuedTask task : tasks) {
                if (!task.ended) {
                    task.ended = true;
                    endedTasks++;
                    waitingTasks.decrementAndGet();
                }
            }
            purge();
        });
    }

    /** Gives a slot back. */
    void releaseSlot(Incarnation agent, Caller caller, boolean refused) {
        lane.execute(() -> {
            inFlight.computeIfPresent(agent, (key, count) -> count > 1 ? count - 1 : null);
            callerInFlight.computeIfPresent(caller, (key, count) -> count > 1 ? count - 1 : null);
            if (refused) {
                pausedUntilNanos.put(agent, time.nanoTime() + REFUSAL_PAUSE.toNanos());
                lane.schedule(REFUSAL_PAUSE, this::schedulePump);
            }
            schedulePump();
        });
    }

    /** Takes note that workers, credits or the configuration changed. */
    void snapshotChanged() {
        if (waitingTasks.get() > 0) {
            lane.execute(this::schedulePump);
        }
    }

    private void purge() {
        if (endedTasks < LEAST_PURGED_TASKS || endedTasks < waitingTasks.get()) {
            return;
        }
        endedTasks = 0;
        queues.values().forEach(callers -> {
            callers.values().forEach(queue -> queue.removeIf(task -> task.ended));
            callers.values().removeIf(Deque::isEmpty);
        });
    }

    private void schedulePump() {
        if (pumpScheduled) {
            return;
        }
        pumpScheduled = true;
        lane.execute(() -> {
            pumpScheduled = false;
            queues.forEach(this::pump);
            noteDemand();
        });
    }

    /** Reports when tasks begin to wait and when none waits any more, not each change between. */
    private void noteDemand() {
        boolean waits = waitingTasks.get() > 0;
        if (waits != demandReported) {
            demandReported = waits;
            demandChanged.run();
        }
    }

    private void pump(ServiceName service, Map<Caller, Deque<QueuedTask>> callers) {
        if (callers.isEmpty()) {
            return;
        }
        Map<WorkerName, ConnectedWorker> open = openWorkers(service);
        List<Candidate> candidates = new ArrayList<>();
        open.values().forEach(view -> addIfRoom(candidates, view));
        while (!candidates.isEmpty()) {
            QueuedTask task = nextTask(callers);
            if (task == null) {
                return;
            }
            Candidate chosen = policy.choose(candidates, random);
            candidates.remove(chosen);
            ConnectedWorker view = open.get(chosen.worker());
            take(task, view);
            addIfRoom(candidates, view);
        }
    }

    private Map<WorkerName, ConnectedWorker> openWorkers(ServiceName service) {
        Map<WorkerName, ConnectedWorker> open = new HashMap<>();
        for (ConnectedWorker view : snapshot.get().eligibleWorkers(service)) {
            Long pausedUntil = pausedUntilNanos.get(view.agentIncarnation());
            if (pausedUntil == null || time.nanoTime() - pausedUntil >= 0) {
                pausedUntilNanos.remove(view.agentIncarnation());
                open.put(view.worker(), view);
            }
        }
        return open;
    }

    private void addIfRoom(List<Candidate> candidates, ConnectedWorker view) {
        int used = inFlight.getOrDefault(view.agentIncarnation(), 0);
        if (used < view.credit()) {
            candidates.add(new Candidate(view.worker(), used, view.credit()));
        }
    }

    private void take(QueuedTask task, ConnectedWorker view) {
        task.ended = true;
        waitingTasks.decrementAndGet();
        inFlight.merge(view.agentIncarnation(), 1, Integer::sum);
        callerInFlight.merge(task.caller, 1, Integer::sum);
        task.placed.accept(view);
    }

    /** Takes the next task in turn of a caller that is within its quota. */
    private QueuedTask nextTask(Map<Caller, Deque<QueuedTask>> callers) {
        for (Caller caller : List.copyOf(callers.keySet())) {
            if (callerInFlight.getOrDefault(caller, 0) >= quotaShare(caller)) {
                continue;
            }
            Deque<QueuedTask> queue = callers.remove(caller);
            QueuedTask task = firstOpen(queue);
            if (!queue.isEmpty()) {
                callers.put(caller, queue);
            }
            if (task != null) {
                return task;
            }
        }
        return null;
    }

    private QueuedTask firstOpen(Deque<QueuedTask> queue) {
        while (!queue.isEmpty()) {
            QueuedTask task = queue.removeFirst();
            if (!task.ended) {
                return task;
            }
            endedTasks--;
        }
        return null;
    }

    private int quotaShare(Caller caller) {
        EntrySnapshot now = snapshot.get();
        Integer quota = now.configuration().quotas().get(caller);
        if (quota == null) {
            return Integer.MAX_VALUE;
        }
        int entries = Math.max(1, now.entriesInService().size());
        return (quota + entries - 1) / entries;
    }
}
