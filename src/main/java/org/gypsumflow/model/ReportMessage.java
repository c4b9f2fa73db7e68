package org.gypsumflow.model;

import java.util.List;

/** A message that replies to a command or a query, or reports the outcome of an earlier command. */
public sealed interface ReportMessage extends Message {

    /**
     * Replies to the heartbeat of an agent or a peer.
     *
     * @param echoNanos the time in nanoseconds that the heartbeat contained, by the monotonic clock of its sender
     * @param version version of the configuration that the replying entry knows
     * @param configurationAgeMillis time since that version was last known to be the newest, negative if it never was
     * @param waitingTasks number of tasks that wait for a slot at the replying entry
     * @param entriesInService entries in service, including the replying one; empty if unchanged since the last reply
     * @param draining true once the replying entry is draining
     */
    record HeartbeatReply(
            long echoNanos,
            ConfigurationVersion version,
            long configurationAgeMillis,
            int waitingTasks,
            List<EntryAddress> entriesInService,
            boolean draining)
            implements ReportMessage {}

    /**
     * Reports the status of a task, either when it ends or in reply to {@link CommandMessage.ResolveTask}.
     *
     * @param task id of the task
     * @param attempt attempt that the report is about
     * @param agent incarnation of the agent
     * @param status how far the agent has got with the task
     * @param outcome outcome of the task; null while it is running
     */
    record TaskReport(TaskId task, Attempt attempt, Incarnation agent, TaskStatus status, TaskOutcome outcome)
            implements ReportMessage {}

    /**
     * A task that has started on an agent.
     *
     * @param index position in the job, from 0
     * @param status how far the agent has got with the task
     * @param outcome outcome of the task; null while it is running
     */
    record KnownTask(int index, TaskStatus status, TaskOutcome outcome) {}

    /**
     * Replies to {@link QueryMessage.FindTasks}.
     *
     * @param request id of the query
     * @param tasks tasks of the submission that have started on this agent, in any order
     */
    record FindTasksReply(RequestId request, List<KnownTask> tasks) implements ReportMessage {}

    /**
     * Replies to {@link CommandMessage.ForwardJob} or {@link CommandMessage.CancelJob} with the job's outcome.
     *
     * @param request id of the command
     * @param outcome outcome of the job, with those of all its tasks
     */
    record JobReport(RequestId request, JobOutcome outcome) implements ReportMessage {}

    /**
     * Replies to {@link CommandMessage.ForwardJob} or {@link CommandMessage.CancelJob} with an error.
     *
     * @param request id of the command
     * @param error why there is no outcome, and whether the job may have run
     */
    record JobError(RequestId request, RequestError error) implements ReportMessage {}
}
