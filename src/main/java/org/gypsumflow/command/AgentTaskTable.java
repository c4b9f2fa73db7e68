package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gypsumflow.model.Attempt;
import org.gypsumflow.model.CommandMessage.ResolveTask;
import org.gypsumflow.model.CommandMessage.StartTask;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ReportMessage.KnownTask;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;
import org.gypsumflow.model.Verdict;

/**
 * Tracks the tasks of claimed jobs on one agent and decides which of them may start.
 *
 * <p>A task starts at most once while the table remembers it, regardless of duplicate and reordered messages. For each
 * task the table keeps its status, its outcome and the highest attempt that must not start any more (a tombstone). Not
 * thread-safe.
 */
public final class AgentTaskTable {
    private static final class TaskEntry {
        private TaskStatus status = TaskStatus.NOT_STARTED;
        private Attempt lastForbiddenAttempt = Attempt.of(0);
        private Attempt startedAttempt = Attempt.of(0);
        private TaskOutcome outcome;
        private long lastChangedNanos;
    }

    private final Incarnation self;
    private final long retentionNanos;
    private final Map<SubmissionDigest, TreeMap<Integer, TaskEntry>> submissions = new HashMap<>();
    private final LinkedHashMap<TaskId, TaskEntry> byLastChange = new LinkedHashMap<>();
    private int runningCount;

    private AgentTaskTable(Incarnation self, Duration retention) {
        this.self = self;
        this.retentionNanos = retention.toNanos();
    }

    /**
     * Creates an empty table.
     *
     * @param self incarnation of the agent
     * @param retention how long a task is remembered after its last change; running tasks are never evicted
     * @return an empty table
     */
    public static AgentTaskTable create(Incarnation self, Duration retention) {
        return new AgentTaskTable(self, retention);
    }

    /**
     * Decides whether a task may start, and records it as running if so.
     *
     * <p>An attempt that the guard rejects is recorded as forbidden, so that a duplicate of its message does not start
     * the task later.
     *
     * @param start the request to start the task
     * @param guard conditions under which the agent accepts tasks
     * @param nowNanos monotonic time in nanoseconds
     * @return the decision to start the task, or the status and outcome to report instead
     */
    public StartDecision decideStart(StartTask start, StartGuard guard, long nowNanos) {
        evictExpired(nowNanos);
        if (!start.agent().equals(self)) {
            return notStarted(
                    "the start was sent to incarnation " + start.agent() + " of the agent, which is no longer running");
        }
        Optional<TaskEntry> known = find(start.task());
        if (known.isPresent() && known.get().status != TaskStatus.NOT_STARTED) {
            return new StartDecision.ReportStatus(known.get().status, known.get().outcome);
        }
        if (known.isPresent() && start.attempt().compareTo(known.get().lastForbiddenAttempt) <= 0) {
            return notStarted("the attempt was already rejected or resolved as not run");
        }
        Optional<String> rejectionReason = guard.rejectionReason(start.service(), runningCount, nowNanos);
        if (rejectionReason.isPresent()) {
            forbid(start.task(), start.attempt(), nowNanos);
            return notStarted(rejectionReason.get());
        }
        TaskEntry entry = getOrCreate(start.task(), nowNanos);
        entry.status = TaskStatus.RUNNING;
        entry.startedAttempt = start.attempt();
        runningCount++;
        return new StartDecision.Start();
    }

    /**
     * Resolves an attempt whose report the entry did not receive, and forbids the attempt unless the task has started.
     *
     * @param resolve the task and attempt to resolve
     * @param nowNanos monotonic time in nanoseconds
     * @return the task's status and outcome; the verdict is {@link Verdict#NOT_RUN} only if the attempt was sent to
     *     this incarnation and the task has not started here
     */
    public StartDecision.ReportStatus resolve(ResolveTask resolve, long nowNanos) {
        if (!resolve.agent().equals(self)) {
            return new StartDecision.ReportStatus(
                    TaskStatus.FINISHED, TaskOutcome.mayHaveRun("the agent restarted and no longer knows its tasks"));
        }
        Optional<TaskEntry> known = find(resolve.task());
        if (known.isPresent() && known.get().status != TaskStatus.NOT_STARTED) {
            return new StartDecision.ReportStatus(known.get().status, known.get().outcome);
        }
        forbid(resolve.task(), resolve.attempt(), nowNanos);
        return notStarted("the agent had not started the task when it was asked to resolve the attempt");
    }

    /**
     * Records the outcome of a task that {@link #decideStart} allowed to start.
     *
     * <p>Ignored unless the task is running. A task that the target provably never received may start again under a
     * later attempt.
     *
     * @param task id of the running task
     * @param outcome outcome of the task
     * @param nowNanos monotonic time in nanoseconds
     */
    public void finish(TaskId task, TaskOutcome outcome, long nowNanos) {
        TaskEntry entry = getOrCreate(task, nowNanos);
        if (entry.status != TaskStatus.RUNNING) {
            return;
        }
        runningCount--;
        if (outcome.verdict() == Verdict.NOT_RUN) {
            entry.status = TaskStatus.NOT_STARTED;
            forbid(task, entry.startedAttempt, nowNanos);
            return;
        }
        entry.status = TaskStatus.FINISHED;
        entry.outcome = outcome;
    }

    /**
     * Lists the tasks of a submission that have started on this agent.
     *
     * @param submission digest of the submission
     * @return its running and finished tasks by index; empty if none has started here
     */
    public List<KnownTask> startedTasks(SubmissionDigest submission) {
        List<KnownTask> knownTasks = new ArrayList<>();
        submissions.getOrDefault(submission, new TreeMap<>()).forEach((index, entry) -> {
            if (entry.status != TaskStatus.NOT_STARTED) {
                knownTasks.add(new KnownTask(index, entry.status, entry.outcome));
            }
        });
        return knownTasks;
    }

    /**
     * Returns the number of tasks that are running.
     *
     * @return the number of running tasks
     */
    public int runningTaskCount() {
        return runningCount;
    }

    /**
     * Returns the number of tasks in the table, whether running, finished or not started.
     *
     * @return the number of tasks
     */
    public int taskCount() {
        return byLastChange.size();
    }

    private static StartDecision.ReportStatus notStarted(String reason) {
        return new StartDecision.ReportStatus(TaskStatus.NOT_STARTED, TaskOutcome.notRun(reason));
    }

    private void forbid(TaskId task, Attempt attempt, long nowNanos) {
        TaskEntry entry = getOrCreate(task, nowNanos);
        if (attempt.compareTo(entry.lastForbiddenAttempt) > 0) {
            entry.lastForbiddenAttempt = attempt;
        }
    }

    private Optional<TaskEntry> find(TaskId task) {
        return Optional.ofNullable(byLastChange.get(task));
    }

    private TaskEntry getOrCreate(TaskId task, long nowNanos) {
        TaskEntry entry = byLastChange.remove(task);
        if (entry == null) {
            entry = new TaskEntry();
            submissions
                    .computeIfAbsent(task.submission(), submission -> new TreeMap<>())
                    .put(task.index(), entry);
        }
        entry.lastChangedNanos = nowNanos;
        byLastChange.put(task, entry);
        return entry;
    }

    private void evictExpired(long nowNanos) {
        while (!byLastChange.isEmpty()) {
            Map.Entry<TaskId, TaskEntry> oldest =
                    byLastChange.entrySet().iterator().next();
            boolean recent = nowNanos - oldest.getValue().lastChangedNanos < retentionNanos;
            if (recent || oldest.getValue().status == TaskStatus.RUNNING) {
                return;
            }
            byLastChange.remove(oldest.getKey());
            removeFromSubmission(oldest.getKey());
        }
    }

    private void removeFromSubmission(TaskId task) {
        TreeMap<Integer, TaskEntry> tasksByIndex = submissions.get(task.submission());
        tasksByIndex.remove(task.index());
        if (tasksByIndex.isEmpty()) {
            submissions.remove(task.submission());
        }
    }
}
