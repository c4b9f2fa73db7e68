package org.gypsumflow.model;

import java.time.Duration;
import java.util.Set;

/** A message that changes the state of the process that receives it. */
public sealed interface CommandMessage extends Message {

    /**
     * Introduces an entry daemon; the first message on a connection between two entries.
     *
     * @param entry address of the entry that opened the connection
     */
    record AnnounceEntry(EntryAddress entry) implements CommandMessage {}

    /**
     * Introduces an agent daemon; the first message on a connection from an agent to an entry.
     *
     * @param worker name of the agent's worker
     * @param incarnation current incarnation of the agent
     * @param zone availability zone of the worker
     * @param slots maximum number of tasks that run concurrently on the worker
     */
    record AnnounceAgent(WorkerName worker, Incarnation incarnation, AvailabilityZone zone, int slots)
            implements CommandMessage {}

    /**
     * Reports an agent's state to an entry and asks whether the agent's configuration is the newest.
     *
     * @param sentAtNanos the agent's monotonic time in nanoseconds, echoed by the reply
     * @param version version of the configuration that the agent applies
     * @param service name of the service of the agent's target, empty while no target is announced
     * @param runningTasks number of tasks that are running on the worker, for all entries
     * @param credit maximum number of tasks that the receiving entry may have in flight on the worker
     * @param draining true once the agent or its target is draining
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
     * Asks a peer whether it is reachable and which configuration version it knows.
     *
     * @param sentAtNanos the sender's monotonic time in nanoseconds, echoed by the reply
     * @param version version of the sender's configuration
     * @param draining true once the sender is draining
     * @param pendingClosures zones whose closing may have been appended to the log, though the sender has not read it
     *     back
     */
    record PeerHeartbeat(
            long sentAtNanos, ConfigurationVersion version, boolean draining, Set<AvailabilityZone> pendingClosures)
            implements CommandMessage {}

    /**
     * Reports the demand of an entry to an agent, which allocates its slots among the entries accordingly.
     *
     * @param waitingTasks number of tasks that wait for a slot at the sender
     */
    record ReportDemand(int waitingTasks) implements CommandMessage {}

    /**
     * Starts a task of a claimed job.
     *
     * @param task id of the task to start
     * @param attempt number of the attempt to run the task
     * @param agent incarnation of the agent that may start the task; any other incarnation rejects it
     * @param entry incarnation of the claim holder
     * @param service service whose target runs the task
     * @param payload text that is passed to the target
     * @param timeout maximum duration of the task
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
     * Asks for the status of a task whose report did not arrive, and forbids its attempts if the task has not started.
     *
     * @param task id of the task
     * @param attempt attempt to resolve; this and earlier attempts never start afterwards
     * @param agent incarnation of the agent to which the task was sent
     * @param entry incarnation of the claim holder
     */
    record ResolveTask(TaskId task, Attempt attempt, Incarnation agent, Incarnation entry) implements CommandMessage {}

    /**
     * Forwards a submission to the owner of its claim stream or to the holder of its claim.
     *
     * @param request id that the reply repeats
     * @param job the job, with the remaining time as its timeout
     * @param nonce nonce of the claim that the receiver may append; the sender uses it for this message only
     * @param trace trace context of the sender
     */
    record ForwardJob(RequestId request, JobRequest job, ClaimNonce nonce, TraceParent trace)
            implements CommandMessage {}

    /**
     * Cancels those tasks of a job that have not started.
     *
     * @param request id that the reply repeats
     * @param submission digest of the job's submission
     */
    record CancelJob(RequestId request, SubmissionDigest submission) implements CommandMessage {}

    /**
     * Sends a configuration to be applied; a receiver that has the same or a newer version ignores it.
     *
     * @param version version of the configuration
     * @param configuration the complete configuration
     */
    record ApplyConfiguration(ConfigurationVersion version, Configuration configuration) implements CommandMessage {}
}
