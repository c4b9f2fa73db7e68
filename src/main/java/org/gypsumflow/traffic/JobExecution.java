package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.gypsumflow.command.JobProgress;
import org.gypsumflow.command.JobProgress.StartedTask;
import org.gypsumflow.command.RetryPolicy;
import org.gypsumflow.control.ConnectedWorker;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.CommandMessage.ResolveTask;
import org.gypsumflow.model.CommandMessage.StartTask;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.ReportMessage.TaskReport;
import org.gypsumflow.model.SubmissionDigest;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.TaskStatus;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.model.WorkerName;

/** Runs one claimed job to its answer; all of it on one lane. */
final class JobExecution {
    private final JobRequest job;
    private final SubmissionDigest submission;
    private final Incarnation self;
    private final SerialExecutor lane;
    private final TimeSource time;
    private final PlacementQueue placement;
    private final RetryPolicy retries;
    private final RandomGenerator random;
    private final TraceParent trace;
    private final long deadlineNanos;
    private final JobProgress progress;
    private final Map<Integer, PlacementQueue.QueuedTask> waiting = new HashMap<>();
    private final CompletableFuture<JobOutcome> result = new CompletableFuture<>();

    private JobExecution(
            JobRequest job,
            Incarnation self,
            SerialExecutor lane,
            TimeSource time,
            PlacementQueue placement,
            RetryPolicy retries,
            RandomGenerator random,
            TraceParent trace,
            long deadlineNanos) {
        this.job = job;
        this.submission = job.key().digest();
        this.self = self;
        this.lane = lane;
        this.time = time;
        this.placement = placement;
        this.retries = retries;
        this.random = random;
        this.trace = trace;
        this.deadlineNanos = deadlineNanos;
        this.progress = JobProgress.create(job.taskCount());
    }

    static JobExecution create(
            JobRequest job,
            Incarnation self,
            SerialExecutor lane,
            TimeSource time,
            PlacementQueue placement,
            RetryPolicy retries,
            RandomGenerator random,
            TraceParent trace,
            long deadlineNanos) {
        return new JobExecution(job, self, lane, time, placement, retries, random, trace, deadlineNanos);
    }

    /** Starts the job; the future completes on the lane with an answer, never with a failure. */
    CompletableFuture<JobOutcome> start() {
        for (int index = 0; index < job.taskCount(); index++) {
            enqueue(index);
        }
        lane.schedule(Duration.ofNanos(Math.max(0, deadlineNanos - time.nanoTime())), this::deadlinePassed);
        return result;
    }

    /** Ends what has not started. */
    void cancel() {
        endWaiting("the job was cancelled");
        completeIfDone();
    }

    /** Takes what an agent says of one of the tasks. */
    void taskReported(TaskReport report) {
        if (report.status() == TaskStatus.RUNNING) {
            return;
        }
        TaskOutcome outcome = report.outcome();
        Optional<Duration> retry = retryDelay(report);
        Optional<StartedTask> ended =
                progress.finishAttempt(report.task().index(), report.attempt(), outcome, retry.isPresent());
        if (ended.isEmpty()) {
            return;
        }
        boolean refused = outcome.verdict() == Verdict.NOT_RUN;
        placement.releaseSlot(ended.get().agent(), job.key().caller(), refused);
        if (refused && retry.isPresent()) {
            lane.schedule(retry.get(), () -> enqueue(report.task().index()));
            return;
        }
        if (progress.hasUnsuccessfulTask()) {
            endWaiting("another task of the job did not complete");
        }
        completeIfDone();
    }

    /** Settles the starts that an earlier connection to an agent may have lost. */
    void workerConnected(WorkerName worker, Incarnation agent, Connection link) {
        for (StartedTask placed : progress.startedTasksOn(worker)) {
            TaskId task = TaskId.of(submission, placed.index());
            if (placed.agent().equals(agent)) {
                link.send(new ResolveTask(task, placed.attempt(), agent, self));
                continue;
            }
            TaskOutcome lost = TaskOutcome.mayHaveRun("the agent of worker \"" + worker + "\" restarted");
            taskReported(new TaskReport(task, placed.attempt(), placed.agent(), TaskStatus.FINISHED, lost));
        }
    }

    private Optional<Duration> retryDelay(TaskReport report) {
        if (progress.hasUnsuccessfulTask() || result.isDone()) {
            return Optional.empty();
        }
        return retries.delay(report.attempt(), random)
                .filter(delay -> time.nanoTime() + delay.toNanos() - deadlineNanos < 0);
    }

    private void enqueue(int index) {
        if (!progress.isWaiting(index)) {
            return;
        }
        PlacementQueue.QueuedTask task = new PlacementQueue.QueuedTask(
                job.service(), job.key().caller(), view -> lane.execute(() -> placed(index, view)));
        waiting.put(index, task);
        placement.enqueue(task);
    }

    private void endWaiting(String reason) {
        progress.endWaitingTasks(reason);
        placement.remove(List.copyOf(waiting.values()));
        waiting.clear();
    }

    private void placed(int index, ConnectedWorker view) {
        waiting.remove(index);
        if (!progress.isWaiting(index) || time.nanoTime() - deadlineNanos >= 0) {
            placement.releaseSlot(view.agentIncarnation(), job.key().caller(), false);
            return;
        }
        StartedTask placed = progress.markStarted(index, view.worker(), view.agentIncarnation());
        view.connection()
                .send(new StartTask(
                        TaskId.of(submission, index),
                        placed.attempt(),
                        view.agentIncarnation(),
                        self,
                        job.service(),
                        job.payloads().get(index),
                        Duration.ofNanos(Math.max(1, deadlineNanos - time.nanoTime())),
                        trace));
    }

    private void deadlinePassed() {
        if (result.isDone()) {
            return;
        }
        endWaiting("the deadline passed before a worker had room");
        progress.abandonStartedTasks("the deadline passed while the task was at a worker")
                .forEach(placed ->
                        placement.releaseSlot(placed.agent(), job.key().caller(), false));
        completeIfDone();
    }

    private void completeIfDone() {
        if (progress.isDone() && !result.isDone()) {
            result.complete(progress.outcome());
        }
    }
}
