package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.control.ConnectedWorker;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.QueryMessage.FindTasks;
import org.gypsumflow.model.ReportMessage.FindTasksReply;
import org.gypsumflow.model.ReportMessage.KnownTask;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;

/** Recovers the outcome of a job whose claim holder is gone by querying all agents; it never starts a task. */
final class OutcomeRecovery {
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration QUERY_DELAY = Duration.ofMillis(200);

    /** How long agents have to connect to this entry before a task that none of them knows counts as lost. */
    private static final Duration RECONNECT_GRACE_PERIOD = Duration.ofSeconds(2);

    private final EntryContext context;
    private final SerialExecutor executor;

    private OutcomeRecovery(EntryContext context, SerialExecutor executor) {
        this.context = context;
        this.executor = executor;
    }

    static OutcomeRecovery create(EntryContext context, SerialExecutor executor) {
        return new OutcomeRecovery(context, executor);
    }

    /**
     * Queries the agents until all tasks have finished or the rest can no longer be found.
     *
     * @return the outcome; the future completes on the executor and never fails
     */
    CompletableFuture<JobOutcome> recover(SubmissionDigest submission, int taskCount, long deadlineNanos) {
        CompletableFuture<JobOutcome> outcome = new CompletableFuture<>();
        long graceEndNanos = context.time().nanoTime() + RECONNECT_GRACE_PERIOD.toNanos();
        queryAgents(submission, taskCount, deadlineNanos, graceEndNanos, outcome);
        return outcome;
    }

    private void queryAgents(
            SubmissionDigest submission,
            int taskCount,
            long deadlineNanos,
            long graceEndNanos,
            CompletableFuture<JobOutcome> outcome) {
        Map<Integer, KnownTask> knownTasks = new HashMap<>();
        List<CompletableFuture<Message>> replies = new ArrayList<>();
        for (ConnectedWorker worker : context.snapshot().workers().values()) {
            replies.add(context.pendingRequests()
                    .send(worker.connection(), executor, QUERY_TIMEOUT, request -> new FindTasks(request, submission)));
        }
        CompletableFuture<?>[] completions = replies.stream()
                .map(reply -> reply.handle((message, failure) -> message))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(completions)
                .thenRun(() -> executor.execute(() -> {
                    replies.forEach(reply -> collect(reply, knownTasks));
                    completeOrRetry(submission, taskCount, deadlineNanos, graceEndNanos, knownTasks, outcome);
                }));
    }

    private static void collect(CompletableFuture<Message> reply, Map<Integer, KnownTask> knownTasks) {
        if (reply.isCompletedExceptionally() || !(reply.join() instanceof FindTasksReply tasks)) {
            return;
        }
        for (KnownTask task : tasks.tasks()) {
            KnownTask earlier = knownTasks.get(task.index());
            if (earlier == null || earlier.status() != TaskStatus.FINISHED) {
                knownTasks.put(task.index(), task);
            }
        }
    }

    private void completeOrRetry(
            SubmissionDigest submission,
            int taskCount,
            long deadlineNanos,
            long graceEndNanos,
            Map<Integer, KnownTask> knownTasks,
            CompletableFuture<JobOutcome> outcome) {
        long now = context.time().nanoTime();
        long finishedTasks = knownTasks.values().stream()
                .filter(task -> task.status() == TaskStatus.FINISHED)
                .count();
        boolean hasRunningTasks = finishedTasks < knownTasks.size();
        boolean mayImprove = hasRunningTasks || now - graceEndNanos < 0;
        if (finishedTasks < taskCount && mayImprove && now - deadlineNanos < 0) {
            executor.schedule(
                    QUERY_DELAY, () -> queryAgents(submission, taskCount, deadlineNanos, graceEndNanos, outcome));
            return;
        }
        if (finishedTasks < taskCount) {
            context.events().write(Event.HOLDER_LOST, submission, finishedTasks, taskCount);
        }
        outcome.complete(aggregate(taskCount, knownTasks));
    }

    private static JobOutcome aggregate(int taskCount, Map<Integer, KnownTask> knownTasks) {
        List<TaskOutcome> outcomes = new ArrayList<>();
        for (int index = 0; index < taskCount; index++) {
            KnownTask task = knownTasks.get(index);
            boolean hasOutcome = task != null && task.status() == TaskStatus.FINISHED;
            outcomes.add(hasOutcome ? task.outcome() : lostTaskOutcome());
        }
        return JobOutcome.aggregate(outcomes);
    }

    private static TaskOutcome lostTaskOutcome() {
        return TaskOutcome.mayHaveRun(
                "the entry that held the claim is gone and no connected agent has an outcome of the task");
    }
}
