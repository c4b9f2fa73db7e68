package org.gypsumflow.model;

import java.util.List;

/** A message that answers a command or a query. */
public sealed interface ReportMessage extends Message {

    /**
     * Answers a heartbeat.
     *
     * @param echoNanos the asker's monotonic clock at the time it asked
     * @param version version of the configuration that the answering entry knows
     * @param configurationAgeMillis how long ago that version was known to be the newest, negative if that is not known
     * @param waitingTasks number of tasks that wait at the entry for a slot
     * @param entriesInService entries in service, the answering one among them; empty if nothing changed since the last answer
     * @param draining true once the answering entry is leaving
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
     * Tells what became of a start, without being asked or in answer to a resolve.
     *
     * @param task the task
     * @param attempt attempt that is reported
     * @param agent incarnation of the agent
     * @param status how far the agent got
     * @param outcome what is known; null while the task runs
     */
    record TaskReport(TaskId task, Attempt attempt, Incarnation agent, TaskStatus status, TaskOutcome outcome)
            implements ReportMessage {}

    /**
     * One task that an agent knows.
     *
     * @param index position in the job, from 0
     * @param status how far the agent got
     * @param outcome what is known; null while the task runs
     */
    record KnownTask(int index, TaskStatus status, TaskOutcome outcome) {}

    /**
     * Answers {@link QueryMessage.FindTasks}.
     *
     * @param request number of the question
     * @param tasks tasks that this agent started, in any order
     */
    record FindTasksReply(RequestId request, List<KnownTask> tasks) implements ReportMessage {}

    /**
     * Answers {@link CommandMessage.ForwardJob} or {@link CommandMessage.CancelJob} with the job's outcome.
     *
     * @param request number of the question
     * @param outcome the whole answer
     */
    record JobReport(RequestId request, JobOutcome outcome) implements ReportMessage {}

    /**
     * Answers {@link CommandMessage.ForwardJob} or {@link CommandMessage.CancelJob} with a refusal.
     *
     * @param request number of the question
     * @param error the refusal
     */
    record JobError(RequestId request, RequestError error) implements ReportMessage {}
}
