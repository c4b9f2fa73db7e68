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

/**
 * Executes one claimed job: queues its tasks for placement, starts them on agents and aggregates their outcomes.
 *
 * <p>Confined to one executor.
 */
final class JobExecution {
    private final JobRequest job;
    private final SubmissionDigest submission;
    private final Incarnation self;
    private final SerialExecutor executor;
    private final TimeSource time;
    private final PlacementQueue placementQueue;
    private final RetryPolicy retryPolicy;
    private final RandomGenerator random;
    private final TraceParent trace;
    private final long deadlineNanos;
    private final JobProgress progress;
    private final Map<Integer, PlacementQueue.QueuedTask> queuedTasks = new HashMap<>();
    private final CompletableFuture<JobOutcome> result = new CompletableFuture<>();

    private JobExecution(
            JobRequest job,
            Incarnation self,
            SerialExecutor executor,
            TimeSource time,
            PlacementQueue placementQueue,
            RetryPolicy retryPolicy,
            RandomGenerator random,
            TraceParent trace,
            long deadlineNanos) {
        this.job = job;
        this.submission = job.key().digest();
        this.self = self;
        this.executor = executor;
        this.time = time;
        this.placementQueue = placementQueue;
        this.retryPolicy = retryPolicy;
        this.random = random;
        this.trace = trace;
        this.deadlineNanos = deadlineNanos;
        this.progress = JobProgress.create(job.taskCount());
    }

    static JobExecution create(
            JobRequest job,
            Incarnation self,
            SerialExecutor executor,
            TimeSource time,
            PlacementQueue placementQueue,
            RetryPolicy retryPolicy,
            RandomGenerator random,
            TraceParent trace,
            long deadlineNanos) {
        return new JobExecution(job, self, executor, time, placementQueue, retryPolicy, random, trace, deadlineNanos);
    }

    /** Starts the job; the future completes on the executor with an outcome, never with a failure. */
    CompletableFuture<JobOutcome> start() {
        for (int index = 0; index < job.taskCount(); index++) {
            enqueue(index);
        }
        executor.schedule(Duration.ofNanos(Math.max(0, deadlineNanos - time.nanoTime())), this::deadlinePassed);
        return result;
    }

    /** Cancels the tasks that have not started; their outcome is "not run". */
    void cancel() {
        endQueuedTasks("the job was cancelled");
        completeIfDone();
    }

    /** Applies an agent's report on one of the tasks: frees its slot, then retries the task or records its outcome. */
    void taskReported(TaskReport report) {
        if (report.status() == TaskStatus.RUNNING) {
            return;
        }
        TaskOutcome outcome = report.outcome();
        Optional<Duration> nextDelay = retryDelay(report);
        Optional<StartedTask> finishedTask =
                progress.finishAttempt(report.task().index(), report.attempt(), outcome, nextDelay.isPresent());
        if (finishedTask.isEmpty()) {
            return;
        }
        boolean rejected = outcome.verdict() == Verdict.NOT_RUN;
        placementQueue.releaseSlot(finishedTask.get().agent(), job.key().caller(), rejected);
        if (rejected && nextDelay.isPresent()) {
            executor.schedule(nextDelay.get(), () -> enqueue(report.task().index()));
            return;
        }
        if (progress.hasUnsuccessfulTask()) {
            endQueuedTasks("another task of the job did not complete");
        }
        completeIfDone();
    }

    /**
     * Resolves the starts that an earlier connection to the worker's agent may have lost. An agent with another
     * incarnation knows nothing of them, so these tasks end as possibly run.
     */
    void workerConnected(WorkerName worker, Incarnation agent, Connection connection) {
        for (StartedTask startedTask : progress.startedTasksOn(worker)) {
            TaskId task = TaskId.of(submission, startedTask.index());
            if (startedTask.agent().equals(agent)) {
                connection.send(new ResolveTask(task, startedTask.attempt(), agent, self));
                continue;
            }
            TaskOutcome lost = TaskOutcome.mayHaveRun("the agent of worker \"" + worker + "\" restarted");
            taskReported(new TaskReport(task, startedTask.attempt(), startedTask.agent(), TaskStatus.FINISHED, lost));
        }
    }

    private Optional<Duration> retryDelay(TaskReport report) {
        if (progress.hasUnsuccessfulTask() || result.isDone()) {
            return Optional.empty();
        }
        return retryPolicy
                .delay(report.attempt(), random)
                .filter(delay -> time.nanoTime() + delay.toNanos() - deadlineNanos < 0);
    }

    private void enqueue(int index) {
        if (!progress.isWaiting(index)) {
            return;
        }
        PlacementQueue.QueuedTask task = new PlacementQueue.QueuedTask(
                job.service(), job.key().caller(), worker -> executor.execute(() -> workerAssigned(index, worker)));
        queuedTasks.put(index, task);
        placementQueue.enqueue(task);
    }

    private void endQueuedTasks(String reason) {
        progress.endWaitingTasks(reason);
        placementQueue.remove(List.copyOf(queuedTasks.values()));
        queuedTasks.clear();
    }

    private void workerAssigned(int index, ConnectedWorker worker) {
        queuedTasks.remove(index);
        if (!progress.isWaiting(index) || time.nanoTime() - deadlineNanos >= 0) {
            placementQueue.releaseSlot(worker.agentIncarnation(), job.key().caller(), false);
            return;
        }
        StartedTask startedTask = progress.markStarted(index, worker.worker(), worker.agentIncarnation());
        worker.connection()
                .send(new StartTask(
                        TaskId.of(submission, index),
                        startedTask.attempt(),
                        worker.agentIncarnation(),
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
        endQueuedTasks("the deadline passed before a worker had a free slot");
        progress.abandonStartedTasks("the deadline passed before the worker reported the outcome of the task")
                .forEach(startedTask -> placementQueue.releaseSlot(
                        startedTask.agent(), job.key().caller(), false));
        completeIfDone();
    }

    private void completeIfDone() {
        if (progress.isDone() && !result.isDone()) {
            result.complete(progress.outcome());
        }
    }
}
