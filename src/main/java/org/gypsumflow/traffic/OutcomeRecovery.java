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

/** Asks the agents what became of a job whose holder is gone; it never starts anything. */
final class OutcomeRecovery {
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ASK_PAUSE = Duration.ofMillis(200);

    /** How long agents get to come back to this entry before a task counts as lost. */
    private static final Duration GRACE = Duration.ofSeconds(2);

    private final EntryContext context;
    private final SerialExecutor lane;

    private OutcomeRecovery(EntryContext context, SerialExecutor lane) {
        this.context = context;
        this.lane = lane;
    }

    static OutcomeRecovery create(EntryContext context, SerialExecutor lane) {
        return new OutcomeRecovery(context, lane);
    }

    /** Finds the answer of a job; the future completes on the lane and never fails. */
    CompletableFuture<JobOutcome> recover(SubmissionDigest submission, int size, long deadlineNanos) {
        CompletableFuture<JobOutcome> answer = new CompletableFuture<>();
        long graceUntil = context.time().nanoTime() + GRACE.toNanos();
        ask(submission, size, deadlineNanos, graceUntil, answer);
        return answer;
    }

    private void ask(
            SubmissionDigest submission,
            int size,
            long deadlineNanos,
            long graceUntil,
            CompletableFuture<JobOutcome> answer) {
        Map<Integer, KnownTask> found = new HashMap<>();
        List<CompletableFuture<Message>> asked = new ArrayList<>();
        for (ConnectedWorker view : context.snapshot().workers().values()) {
            asked.add(context.pendingRequests()
                    .send(view.connection(), lane, ASK_TIMEOUT, request -> new FindTasks(request, submission)));
        }
        CompletableFuture<?>[] settled = asked.stream()
                .map(each -> each.handle((message, failure) -> message))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(settled)
                .thenRun(() -> lane.execute(() -> {
                    asked.forEach(each -> collect(each, found));
                    decide(submission, size, deadlineNanos, graceUntil, found, answer);
                }));
    }

    private static void collect(CompletableFuture<Message> answer, Map<Integer, KnownTask> found) {
        if (answer.isCompletedExceptionally() || !(answer.join() instanceof FindTasksReply tasks)) {
            return;
        }
        for (KnownTask task : tasks.tasks()) {
            KnownTask before = found.get(task.index());
            if (before == null || before.status() != TaskStatus.FINISHED) {
                found.put(task.index(), task);
            }
        }
    }

    private void decide(
            SubmissionDigest submission,
            int size,
            long deadlineNanos,
            long graceUntil,
            Map<Integer, KnownTask> found,
            CompletableFuture<JobOutcome> answer) {
        long now = context.time().nanoTime();
        long finished = found.values().stream()
                .filter(task -> task.status() == TaskStatus.FINISHED)
                .count();
        boolean running = finished < found.size();
        boolean mayImprove = running || now - graceUntil < 0;
        if (finished < size && mayImprove && now - deadlineNanos < 0) {
            lane.schedule(ASK_PAUSE, () -> ask(submission, size, deadlineNanos, graceUntil, answer));
            return;
        }
        if (finished < size) {
            context.events().write(Event.HOLDER_LOST, submission, finished, size);
        }
        answer.complete(join(size, found));
    }

    private static JobOutcome join(int size, Map<Integer, KnownTask> found) {
        List<TaskOutcome> outcomes = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            KnownTask task = found.get(index);
            boolean known = task != null && task.status() == TaskStatus.FINISHED;
            outcomes.add(known ? task.outcome() : lostTask());
        }
        return JobOutcome.aggregate(outcomes);
    }

    private static TaskOutcome lostTask() {
        return TaskOutcome.mayHaveRun("the entry that held the claim is gone and no agent knows the task");
    }
}
