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
 * Queues tasks of claimed jobs and assigns them to free worker slots, round-robin over the callers of each service.
 *
 * <p>An agent grants this entry a number of slots, its credit; a task occupies one from its placement until its
 * release. The queues are confined to one executor; {@link #waitingTasks} may be called from any thread.
 */
final class PlacementQueue {
    /** Time for which an agent at which a task did not run gets no further tasks from this entry. */
    private static final Duration REJECTION_DELAY = Duration.ofMillis(100);

    /** Removed tasks are purged from the queues only in batches of at least this many. */
    private static final int MIN_PURGED_TASKS = 1024;

    /** A task that waits for a slot. */
    static final class QueuedTask {
        private final ServiceName service;
        private final Caller caller;
        private final Consumer<ConnectedWorker> placementCallback;
        private boolean dequeued;

        QueuedTask(ServiceName service, Caller caller, Consumer<ConnectedWorker> placementCallback) {
            this.service = service;
            this.caller = caller;
            this.placementCallback = placementCallback;
        }
    }

    private final SerialExecutor executor;
    private final TimeSource time;
    private final Supplier<EntrySnapshot> snapshotSupplier;
    private final WorkerSelectionPolicy selectionPolicy;
    private final RandomGenerator random;
    private final Runnable demandChanged;
    private final Map<ServiceName, Map<Caller, Deque<QueuedTask>>> queues = new HashMap<>();
    private final Map<Incarnation, Integer> usedSlotsByAgent = new HashMap<>();
    private final Map<Caller, Integer> usedSlotsByCaller = new HashMap<>();
    private final Map<Incarnation, Long> delayedUntilNanos = new HashMap<>();
    private final AtomicInteger waitingTasks = new AtomicInteger();
    private int removedTasks;
    private boolean placementScheduled;
    private boolean reportedWaitingTasks;

    private PlacementQueue(
            SerialExecutor executor,
            TimeSource time,
            Supplier<EntrySnapshot> snapshotSupplier,
            WorkerSelectionPolicy selectionPolicy,
            RandomGenerator random,
            Runnable demandChanged) {
        this.executor = executor;
        this.time = time;
        this.snapshotSupplier = snapshotSupplier;
        this.selectionPolicy = selectionPolicy;
        this.random = random;
        this.demandChanged = demandChanged;
    }

    static PlacementQueue create(
            SerialExecutor executor,
            TimeSource time,
            Supplier<EntrySnapshot> snapshotSupplier,
            WorkerSelectionPolicy selectionPolicy,
            RandomGenerator random,
            Runnable demandChanged) {
        return new PlacementQueue(executor, time, snapshotSupplier, selectionPolicy, random, demandChanged);
    }

    /** Returns the number of tasks that wait for a slot. */
    int waitingTasks() {
        return waitingTasks.get();
    }

    /** Adds a task; its callback runs on this queue's executor once the task has a slot. */
    void enqueue(QueuedTask task) {
        waitingTasks.incrementAndGet();
        executor.execute(() -> {
            if (task.dequeued) {
                return;
            }
            queues.computeIfAbsent(task.service, service -> new LinkedHashMap<>())
                    .computeIfAbsent(task.caller, caller -> new ArrayDeque<>())
                    .addLast(task);
            schedulePlacement();
        });
    }

    /** Removes tasks that still wait; those that already have a slot keep it. */
    void remove(List<QueuedTask> tasks) {
        executor.execute(() -> {
            for (QueuedTask task : tasks) {
                if (!task.dequeued) {
                    task.dequeued = true;
                    removedTasks++;
                    waitingTasks.decrementAndGet();
                }
            }
            purgeRemovedTasks();
        });
    }

    /**
     * Frees the slot of a task.
     *
     * @param rejected true if the task did not run at the agent, which then gets no tasks for {@link #REJECTION_DELAY}
     */
    void releaseSlot(Incarnation agent, Caller caller, boolean rejected) {
        executor.execute(() -> {
            usedSlotsByAgent.computeIfPresent(agent, (key, count) -> count > 1 ? count - 1 : null);
            usedSlotsByCaller.computeIfPresent(caller, (key, count) -> count > 1 ? count - 1 : null);
            if (rejected) {
                delayedUntilNanos.put(agent, time.nanoTime() + REJECTION_DELAY.toNanos());
                executor.schedule(REJECTION_DELAY, this::schedulePlacement);
            }
            schedulePlacement();
        });
    }

    /** Tries to place waiting tasks after a change of workers, credits or the configuration. */
    void snapshotChanged() {
        if (waitingTasks.get() > 0) {
            executor.execute(this::schedulePlacement);
        }
    }

    private void purgeRemovedTasks() {
        if (removedTasks < MIN_PURGED_TASKS || removedTasks < waitingTasks.get()) {
            return;
        }
        removedTasks = 0;
        queues.values().forEach(queuesByCaller -> {
            queuesByCaller.values().forEach(callerQueue -> callerQueue.removeIf(task -> task.dequeued));
            queuesByCaller.values().removeIf(Deque::isEmpty);
        });
    }

    private void schedulePlacement() {
        if (placementScheduled) {
            return;
        }
        placementScheduled = true;
        executor.execute(() -> {
            placementScheduled = false;
            queues.forEach(this::placeTasks);
            reportDemandChange();
        });
    }

    /** Reports only the changes between no waiting tasks and some, not every change of their number. */
    private void reportDemandChange() {
        boolean hasWaitingTasks = waitingTasks.get() > 0;
        if (hasWaitingTasks != reportedWaitingTasks) {
            reportedWaitingTasks = hasWaitingTasks;
            demandChanged.run();
        }
    }

    private void placeTasks(ServiceName service, Map<Caller, Deque<QueuedTask>> queuesByCaller) {
        if (queuesByCaller.isEmpty()) {
            return;
        }
        Map<WorkerName, ConnectedWorker> available = availableWorkers(service);
        List<Candidate> candidates = new ArrayList<>();
        available.values().forEach(worker -> addIfSlotFree(candidates, worker));
        while (!candidates.isEmpty()) {
            QueuedTask task = removeNextTask(queuesByCaller);
            if (task == null) {
                return;
            }
            Candidate chosen = selectionPolicy.choose(candidates, random);
            candidates.remove(chosen);
            ConnectedWorker worker = available.get(chosen.worker());
            assignSlot(task, worker);
            addIfSlotFree(candidates, worker);
        }
    }

    private Map<WorkerName, ConnectedWorker> availableWorkers(ServiceName service) {
        Map<WorkerName, ConnectedWorker> available = new HashMap<>();
        for (ConnectedWorker worker : snapshotSupplier.get().eligibleWorkers(service)) {
            Long delayedUntil = delayedUntilNanos.get(worker.agentIncarnation());
            if (delayedUntil == null || time.nanoTime() - delayedUntil >= 0) {
                delayedUntilNanos.remove(worker.agentIncarnation());
                available.put(worker.worker(), worker);
            }
        }
        return available;
    }

    private void addIfSlotFree(List<Candidate> candidates, ConnectedWorker worker) {
        int usedSlots = usedSlotsByAgent.getOrDefault(worker.agentIncarnation(), 0);
        if (usedSlots < worker.credit()) {
            candidates.add(new Candidate(worker.worker(), usedSlots, worker.credit()));
        }
    }

    private void assignSlot(QueuedTask task, ConnectedWorker worker) {
        task.dequeued = true;
        waitingTasks.decrementAndGet();
        usedSlotsByAgent.merge(worker.agentIncarnation(), 1, Integer::sum);
        usedSlotsByCaller.merge(task.caller, 1, Integer::sum);
        task.placementCallback.accept(worker);
    }

    /**
     * Removes the next task in round-robin order whose caller is below this entry's share of its quota, or returns
     * null.
     */
    private QueuedTask removeNextTask(Map<Caller, Deque<QueuedTask>> queuesByCaller) {
        for (Caller caller : List.copyOf(queuesByCaller.keySet())) {
            if (usedSlotsByCaller.getOrDefault(caller, 0) >= quotaShare(caller)) {
                continue;
            }
            Deque<QueuedTask> callerQueue = queuesByCaller.remove(caller);
            QueuedTask task = removeFirstWaiting(callerQueue);
            if (!callerQueue.isEmpty()) {
                queuesByCaller.put(caller, callerQueue);
            }
            if (task != null) {
                return task;
            }
        }
        return null;
    }

    private QueuedTask removeFirstWaiting(Deque<QueuedTask> callerQueue) {
        while (!callerQueue.isEmpty()) {
            QueuedTask task = callerQueue.removeFirst();
            if (!task.dequeued) {
                return task;
            }
            removedTasks--;
        }
        return null;
    }

    private int quotaShare(Caller caller) {
        EntrySnapshot current = snapshotSupplier.get();
        Integer quota = current.configuration().quotas().get(caller);
        if (quota == null) {
            return Integer.MAX_VALUE;
        }
        int entries = Math.max(1, current.entriesInService().size());
        return (quota + entries - 1) / entries;
    }
}
