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
 * Remembers every task that an agent started or forbade, and decides on each start.
 *
 * <p>A task starts at most once in the life of the ledger, whatever arrives in whatever order. Not safe for use by
 * several threads.
 */
public final class AgentTaskTable {
    private static final class Memory {
        private TaskStatus standing = TaskStatus.NOT_STARTED;
        private Attempt forbidden = Attempt.of(0);
        private Attempt started = Attempt.of(0);
        private TaskOutcome outcome;
        private long touchedNanos;
    }

    private final Incarnation self;
    private final long windowNanos;
    private final Map<SubmissionDigest, TreeMap<Integer, Memory>> submissions = new HashMap<>();
    private final LinkedHashMap<TaskId, Memory> byAge = new LinkedHashMap<>();
    private int running;

    private AgentTaskTable(Incarnation self, Duration window) {
        this.self = self;
        this.windowNanos = window.toNanos();
    }

    /**
     * Creates an empty ledger.
     *
     * @param self incarnation of the agent
     * @param window how long a task is remembered after it was last touched
     * @return the ledger
     */
    public static AgentTaskTable create(Incarnation self, Duration window) {
        return new AgentTaskTable(self, window);
    }

    /**
     * Decides on a start.
     *
     * @param start the start
     * @param guard what the agent knows
     * @param nowNanos monotonic time
     * @return start it, or what to answer
     */
    public StartDecision decideStart(StartTask start, StartGuard guard, long nowNanos) {
        forget(nowNanos);
        if (!start.agent().equals(self)) {
            return refused("the start was meant for incarnation " + start.agent() + " of the agent");
        }
        Optional<Memory> known = startedTasks(start.task());
        if (known.isPresent() && known.get().standing != TaskStatus.NOT_STARTED) {
            return new StartDecision.Answer(known.get().standing, known.get().outcome);
        }
        if (known.isPresent() && start.attempt().compareTo(known.get().forbidden) <= 0) {
            return refused("the attempt was resolved as not run");
        }
        Optional<String> refusal = guard.rejectionReason(start.service(), running, nowNanos);
        if (refusal.isPresent()) {
            forbid(start.task(), start.attempt(), nowNanos);
            return refused(refusal.get());
        }
        Memory memory = remember(start.task(), nowNanos);
        memory.standing = TaskStatus.RUNNING;
        memory.started = start.attempt();
        running++;
        return new StartDecision.Start();
    }

    /**
     * Resolves a start that its sender lost track of; a task not seen never starts for this attempt afterwards.
     *
     * @param resolve the question
     * @param nowNanos monotonic time
     * @return what is known; not run only if this very incarnation was asked and did not start the task
     */
    public StartDecision.Answer resolve(ResolveTask resolve, long nowNanos) {
        if (!resolve.agent().equals(self)) {
            return new StartDecision.Answer(
                    TaskStatus.FINISHED, TaskOutcome.mayHaveRun("the agent restarted and lost its memory"));
        }
        Optional<Memory> known = startedTasks(resolve.task());
        if (known.isPresent() && known.get().standing != TaskStatus.NOT_STARTED) {
            return new StartDecision.Answer(known.get().standing, known.get().outcome);
        }
        forbid(resolve.task(), resolve.attempt(), nowNanos);
        return refused("the start was lost on its way");
    }

    /**
     * Records the end of a task that {@link #decideStart} allowed.
     *
     * <p>A task that the target provably never received may start again under a later attempt.
     *
     * @param task the task
     * @param outcome how it ended
     * @param nowNanos monotonic time
     */
    public void finish(TaskId task, TaskOutcome outcome, long nowNanos) {
        Memory memory = remember(task, nowNanos);
        if (memory.standing != TaskStatus.RUNNING) {
            return;
        }
        running--;
        if (outcome.verdict() == Verdict.NOT_RUN) {
            memory.standing = TaskStatus.NOT_STARTED;
            forbid(task, memory.started, nowNanos);
            return;
        }
        memory.standing = TaskStatus.FINISHED;
        memory.outcome = outcome;
    }

    /**
     * Lists the started tasks of a submission.
     *
     * @param submission the submission
     * @return its tasks that run or ended here
     */
    public List<KnownTask> startedTasks(SubmissionDigest submission) {
        List<KnownTask> found = new ArrayList<>();
        submissions.getOrDefault(submission, new TreeMap<>()).forEach((index, memory) -> {
            if (memory.standing != TaskStatus.NOT_STARTED) {
                found.add(new KnownTask(index, memory.standing, memory.outcome));
            }
        });
        return found;
    }

    /**
     * Returns the number of tasks running.
     *
     * @return the number of tasks
     */
    public int runningTaskCount() {
        return running;
    }

    /**
     * Returns the number of tasks remembered.
     *
     * @return the number of tasks
     */
    public int taskCount() {
        return byAge.size();
    }

    private static StartDecision.Answer refused(String reason) {
        return new StartDecision.Answer(TaskStatus.NOT_STARTED, TaskOutcome.notRun(reason));
    }

    private void forbid(TaskId task, Attempt attempt, long nowNanos) {
        Memory memory = remember(task, nowNanos);
        if (attempt.compareTo(memory.forbidden) > 0) {
            memory.forbidden = attempt;
        }
    }

    private Optional<Memory> startedTasks(TaskId task) {
        return Optional.ofNullable(byAge.get(task));
    }

    private Memory remember(TaskId task, long nowNanos) {
        Memory memory = byAge.remove(task);
        if (memory == null) {
            memory = new Memory();
            submissions
                    .computeIfAbsent(task.submission(), submission -> new TreeMap<>())
                    .put(task.index(), memory);
        }
        memory.touchedNanos = nowNanos;
        byAge.put(task, memory);
        return memory;
    }

    private void forget(long nowNanos) {
        while (!byAge.isEmpty()) {
            Map.Entry<TaskId, Memory> oldest = byAge.entrySet().iterator().next();
            boolean recent = nowNanos - oldest.getValue().touchedNanos < windowNanos;
            if (recent || oldest.getValue().standing == TaskStatus.RUNNING) {
                return;
            }
            byAge.remove(oldest.getKey());
            forgetIndex(oldest.getKey());
        }
    }

    private void forgetIndex(TaskId task) {
        TreeMap<Integer, Memory> indexes = submissions.get(task.submission());
        indexes.remove(task.index());
        if (indexes.isEmpty()) {
            submissions.remove(task.submission());
        }
    }
}
