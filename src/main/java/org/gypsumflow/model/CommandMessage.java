package org.gypsumflow.model;

import java.time.Duration;
import java.util.Set;

/** A message that changes the state of the process that receives it. */
public sealed interface CommandMessage extends Message {

    /**
     * Introduces an entry daemon; the first message on a connection between two entries.
     *
     * @param entry who opened the connection
     */
    record AnnounceEntry(EntryAddress entry) implements CommandMessage {}

    /**
     * Introduces an agent daemon; the first message on a connection from an agent to an entry.
     *
     * @param worker worker of the agent
     * @param incarnation its present life
     * @param zone availability zone of the worker
     * @param slots how many tasks may run there at once
     */
    record AnnounceAgent(WorkerName worker, Incarnation incarnation, AvailabilityZone zone, int slots)
            implements CommandMessage {}

    /**
     * Reports an agent's state to an entry and asks whether its configuration is current.
     *
     * @param sentAtNanos the agent's monotonic clock, echoed by the reply
     * @param version version of the configuration that the agent enforces
     * @param service service of the target beside the agent, empty while no target is there
     * @param runningTasks number of tasks running
     * @param credit number of tasks that this entry may have in flight there
     * @param draining true once the agent or its target is leaving
     */
    record AgentHeartbeat(
            long sentAtNanos,
            ConfigurationVersion version,
            String service,
            int runningTasks,
            int credit,
            boolean draining)
            implements CommandMessage {}

    /**
     * Asks another entry whether it is there and what configuration it knows.
     *
     * @param sentAtNanos the sender's monotonic clock, echoed by the reply
     * @param version version of the sender's configuration
     * @param draining true once the sender is leaving
     * @param pendingClosures zones whose closing may stand in the log although the sender could not read it yet
     */
    record PeerHeartbeat(
            long sentAtNanos, ConfigurationVersion version, boolean draining, Set<AvailabilityZone> pendingClosures)
            implements CommandMessage {}

    /**
     * Tells an agent how much work waits at an entry, so that it lends its slots where they are needed.
     *
     * @param waitingTasks number of tasks that wait at the sender for a slot
     */
    record ReportDemand(int waitingTasks) implements CommandMessage {}

    /**
     * Starts a task under a claim.
     *
     * @param task task to start
     * @param attempt which placement of the task this is
     * @param agent incarnation the start is meant for
     * @param entry incarnation that holds the claim
     * @param service service the task needs
     * @param payload text for the target
     * @param timeout how long the task may take
     * @param trace trace context of the sender
     */
    record StartTask(
            TaskId task,
            Attempt attempt,
            Incarnation agent,
            Incarnation entry,
            ServiceName service,
            String payload,
            Duration timeout,
            TraceParent trace)
            implements CommandMessage {}

    /**
     * Asks what became of a start, and forbids it if it was not seen.
     *
     * @param task the task
     * @param attempt attempt to resolve; this and earlier attempts never start afterwards
     * @param agent incarnation the start was sent to
     * @param entry incarnation that holds the claim
     */
    record ResolveTask(TaskId task, Attempt attempt, Incarnation agent, Incarnation entry) implements CommandMessage {}

    /**
     * Hands a submission to the entry that owns its claim stream or holds its claim.
     *
     * @param request number that the answer repeats
     * @param job the job, with the time that is left as its timeout
     * @param nonce what the receiver claims under; the sender uses it for this message only
     * @param trace trace context of the sender
     */
    record ForwardJob(RequestId request, JobRequest job, ClaimNonce nonce, TraceParent trace)
            implements CommandMessage {}

    /**
     * Cancels the tasks of a job that have not started.
     *
     * @param request number that the answer repeats
     * @param submission the job
     */
    record CancelJob(RequestId request, SubmissionDigest submission) implements CommandMessage {}

    /**
     * Hands over a configuration; a receiver that knows a version as high ignores it.
     *
     * @param version version of the configuration
     * @param configuration the whole configuration
     */
    record ApplyConfiguration(ConfigurationVersion version, Configuration configuration) implements CommandMessage {}
}
