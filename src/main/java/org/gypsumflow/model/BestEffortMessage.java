package org.gypsumflow.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** A message about best-effort jobs, between an entry and an agent or between two entries. */
public sealed interface BestEffortMessage extends Message {
    /** A message between two entries; an agent carries it if they are not connected to each other. */
    sealed interface PeerMessage extends BestEffortMessage {}

    /**
     * Introduces the sender; the first message on a connection, in both directions.
     *
     * @param member the sender's name, role and address
     * @param incarnation current incarnation of the sender
     */
    record Introduce(Member member, Incarnation incarnation) implements BestEffortMessage {}

    /**
     * Shows that the sender is alive and that the connection works.
     *
     * @param sentAtNanos the sender's monotonic time in nanoseconds
     * @param echoedNanos {@code sentAtNanos} of the newest heartbeat that the sender had received on this connection,
     *     by the receiver's monotonic clock; empty if it had received none, and always from a sender of an older
     *     version
     * @param routingConfirmed whether the sender follows the records of the operator, so that its routing state was the
     *     newest a moment ago; always true from a sender of an older version
     */
    record MemberHeartbeat(long sentAtNanos, OptionalLong echoedNanos, boolean routingConfirmed)
            implements BestEffortMessage {
        /**
         * Creates a heartbeat of a sender that follows the records of the operator.
         *
         * @param sentAtNanos the sender's monotonic time in nanoseconds
         * @param echoedNanos {@code sentAtNanos} of the newest heartbeat that the sender had received
         */
        public MemberHeartbeat(long sentAtNanos, OptionalLong echoedNanos) {
            this(sentAtNanos, echoedNanos, true);
        }

        /**
         * Creates a heartbeat that confirms none of the receiver's.
         *
         * @param sentAtNanos the sender's monotonic time in nanoseconds
         * @return the heartbeat
         */
        public static MemberHeartbeat withoutEcho(long sentAtNanos) {
            return new MemberHeartbeat(sentAtNanos, OptionalLong.empty());
        }
    }

    /**
     * A task that an entry assigns to an agent, for one run on the agent's worker.
     *
     * @param task id of the task
     * @param runNumber number of the run
     * @param specification what the worker runs, as the caller specified it
     * @param route route of the job, which tells its kind of request; {@link #UNKNOWN_ROUTE} from a sender of an older
     *     version
     * @param resources resources that the task takes while it runs
     * @param estimate estimated run duration; may be far off
     * @param maxQueueTime maximum time that the task may wait for free capacity at the agent; after that it is returned
     *     as not started
     * @param slack time left until the task should have started, counted from now; a task with less slack starts first
     * @param mayQueue false if the task must be returned as not started when the worker has no free capacity
     *     immediately
     */
    record TaskAssignment(
            BestEffortTaskId task,
            RunNumber runNumber,
            String specification,
            RouteName route,
            Resources resources,
            Duration estimate,
            Duration maxQueueTime,
            Duration slack,
            boolean mayQueue) {
        /** Stands for the route in a message of an entry that does not tell it. */
        public static final RouteName UNKNOWN_ROUTE = RouteName.of("unknown");
    }

    /**
     * Assigns tasks to an agent, which runs each of them on its worker or returns it as not started.
     *
     * @param assignments tasks to run
     */
    record AssignTasks(List<TaskAssignment> assignments) implements BestEffortMessage {
        /** Makes an unmodifiable copy of the list. */
        public AssignTasks {
            assignments = List.copyOf(assignments);
        }
    }

    /**
     * Stops tasks of a job, whether they are queued or running at the agent.
     *
     * <p>Tasks that the agent does not know are ignored.
     *
     * @param job id of the job
     * @param indexes positions of the tasks in the job, from 0
     */
    record StopTasks(JobId job, List<Integer> indexes) implements BestEffortMessage {
        /** Makes an unmodifiable copy of the list. */
        public StopTasks {
            indexes = List.copyOf(indexes);
        }
    }

    /**
     * The result of one task assignment.
     *
     * @param task id of the task
     * @param runNumber number of the run
     * @param outcome how the run ended
     * @param runDuration how long the task ran, zero if it did not start
     * @param surroundings what ran beside it
     */
    record RunResult(
            BestEffortTaskId task,
            RunNumber runNumber,
            RunOutcome outcome,
            Duration runDuration,
            RunSurroundings surroundings) {
        /**
         * Creates the result of a run whose surroundings are unknown.
         *
         * @param task id of the task
         * @param runNumber number of the run
         * @param outcome how the run ended
         * @param runDuration how long the task ran, zero if it did not start
         */
        public RunResult(BestEffortTaskId task, RunNumber runNumber, RunOutcome outcome, Duration runDuration) {
            this(task, runNumber, outcome, runDuration, RunSurroundings.UNKNOWN);
        }
    }

    /**
     * What ran beside a run on its worker.
     *
     * @param neighbours the routes of the other runs, those that overlapped it most
     * @param occupiedShare mean share of the worker that was taken during the run, its own part included, 0.0 to 1.0
     */
    record RunSurroundings(List<Neighbour> neighbours, float occupiedShare) {
        /** Stands for surroundings that the agent did not observe. */
        public static final RunSurroundings UNKNOWN = new RunSurroundings(List.of(), 0);

        /** Makes an unmodifiable copy of the list. */
        public RunSurroundings {
            neighbours = List.copyOf(neighbours);
        }
    }

    /**
     * A route of which at least one run overlapped another run on the same worker.
     *
     * @param route the route
     * @param overlapShare share of the other run's time during which one was present, 0.0 to 1.0
     */
    record Neighbour(RouteName route, float overlapShare) {}

    /**
     * Reports to an entry the results of its task assignments and the status of the agent's worker.
     *
     * @param results results of the assignments that ended since the last report; may be empty
     * @param workerStatus status of the worker; accepts no tasks while no worker is registered
     * @param runningMillicores what the runs of each route take of the worker, in thousandths of a core; empty if the
     *     receiver was told a moment ago, or the agent does not tell
     */
    record AgentReport(List<RunResult> results, WorkerStatus workerStatus, Map<RouteName, Integer> runningMillicores)
            implements BestEffortMessage {
        /** Makes unmodifiable copies of the collections. */
        public AgentReport {
            results = List.copyOf(results);
            runningMillicores = Map.copyOf(runningMillicores);
        }

        /**
         * Creates a report that does not tell what the routes take.
         *
         * @param results results of the assignments that ended since the last report; may be empty
         * @param workerStatus status of the worker
         */
        public AgentReport(List<RunResult> results, WorkerStatus workerStatus) {
            this(results, workerStatus, Map.of());
        }
    }

    /**
     * The status of a worker, by which entries decide which tasks to assign to it.
     *
     * @param acceptsTasks true if the worker accepts tasks
     * @param service name of the worker's service, empty while it has none
     * @param zone name of the worker's availability zone, empty while no worker is registered
     * @param capacity total resources of the worker
     * @param uncommitted capacity that neither running nor queued tasks take; may be negative
     * @param idle capacity that neither running tasks nor queued urgent tasks take; an urgent task may use it before
     *     the other queued tasks; may be negative
     * @param assignedByReceiver resources taken by the receiver's own assignments, running or queued
     * @param meanRunDuration mean run duration of recent tasks
     * @param slowdown run durations of recent tasks divided by their estimates; 1.0 if they agree
     * @param overdueSlowdown time that overdue running tasks have run so far, divided by their estimates; 0 if few
     *     tasks are overdue
     * @param failureRate share of recent runs that failed, from 0.0 to 1.0
     * @param runningTasks number of running tasks
     */
    record WorkerStatus(
            boolean acceptsTasks,
            String service,
            String zone,
            Resources capacity,
            Resources uncommitted,
            Resources idle,
            Resources assignedByReceiver,
            Duration meanRunDuration,
            double slowdown,
            double overdueSlowdown,
            double failureRate,
            int runningTasks) {
        /**
         * Returns the status for an entry whose assignments would be returned.
         *
         * @return this status, with {@code acceptsTasks} false
         */
        public WorkerStatus withoutAcceptance() {
            return new WorkerStatus(
                    false,
                    service,
                    zone,
                    capacity,
                    uncommitted,
                    idle,
                    assignedByReceiver,
                    meanRunDuration,
                    slowdown,
                    overdueSlowdown,
                    failureRate,
                    runningTasks);
        }
    }

    /**
     * Forwards the routes and closed zones that the sender knows, so that all members converge to the latest ones.
     *
     * @param table routes with their version
     * @param closedZones zones that get no new tasks
     */
    record ShareRoutingState(RoutingTable table, ClosedZones closedZones) implements BestEffortMessage {}

    /**
     * The zones that get no new tasks, as of an offset in the log of operator records.
     *
     * @param asOfOffset offset up to which records were read, so a higher one is newer; -1 if none was read
     * @param zones closed zones
     */
    record ClosedZones(long asOfOffset, Set<AvailabilityZone> zones) {
        /** The value before any operator record was read: no zone is closed. */
        public static final ClosedZones NONE = new ClosedZones(-1, Set.of());

        /** Makes an unmodifiable copy of the set. */
        public ClosedZones {
            zones = Set.copyOf(zones);
        }
    }

    /**
     * Informs a peer which jobs the sender has accepted, so that a job resubmitted to the peer does not run twice.
     *
     * @param acceptedJobs ids of the jobs that were accepted since the last message, or, when a path to the peer has
     *     opened, of all that have not ended
     */
    record ShareJobs(List<JobId> acceptedJobs) implements PeerMessage {
        /** Makes an unmodifiable copy of the list. */
        public ShareJobs {
            acceptedJobs = List.copyOf(acceptedJobs);
        }
    }

    /**
     * Asks a peer to abandon a job and stop its tasks, because its caller has contacted the sender. Unless the job was
     * cancelled, the sender owns the job from now on, and the peer replies with {@link JobAbandoned}.
     *
     * @param job id of the job
     * @param cancelled true if the caller cancelled the job, false if the sender is going to run it again
     */
    record AbandonJob(JobId job, boolean cancelled) implements PeerMessage {}

    /**
     * Confirms that the sender has abandoned a job and that no run of its tasks is left: for each one its agent has
     * reported the end, or is lost for so long that the run cannot go on.
     *
     * @param job id of the job
     * @param wasActive true if the job was active when the request to abandon it came
     */
    record JobAbandoned(JobId job, boolean wasActive) implements PeerMessage {}

    /**
     * Asks a peer for all its jobs that have not ended; it replies with {@link JobList}.
     *
     * @param number tells this question from earlier ones, whose replies may still be on their way
     * @param exchangesLoads true if the sender sends and takes {@link EntryLoad} and {@link DelegateJob}; false from a
     *     sender of an older version
     */
    record RequestJobs(long number, boolean exchangesLoads) implements PeerMessage {
        /**
         * Creates a question of an entry that does not exchange loads.
         *
         * @param number tells this question from earlier ones
         */
        public RequestJobs(long number) {
            this(number, false);
        }
    }

    /**
     * Tells a peer all jobs of the sender that have not ended.
     *
     * @param number number of the question
     * @param jobs ids of the active jobs and of those with an outcome whose runs may not have ended
     */
    record JobList(long number, List<JobId> jobs) implements PeerMessage {
        /** Makes an unmodifiable copy of the list. */
        public JobList {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * Informs an entry which other entries the agent that sends this is in contact with, so that they can reach each
     * other through it.
     *
     * @param gained entries that are in contact from now on
     * @param lost entries that are not any more; one that restarted is first lost, then gained
     */
    record ContactsChanged(List<MemberName> gained, List<MemberName> lost) implements BestEffortMessage {
        /** Makes unmodifiable copies of the lists. */
        public ContactsChanged {
            gained = List.copyOf(gained);
            lost = List.copyOf(lost);
        }
    }

    /**
     * Carries a message between two entries that are not connected to each other, through an agent.
     *
     * @param entry the receiver on the way to the agent, the sender on the way from it
     * @param message the message
     */
    record Relay(MemberName entry, PeerMessage message) implements BestEffortMessage {}

    /**
     * Tells a peer the load of the sender. Sent only on a direct connection, to a peer that exchanges loads.
     *
     * @param delay time that requests wait until the sender acts on them
     * @param activeJobs number of jobs that the sender runs
     * @param busyShare share of the recent time that the sender's traffic thread was busy, from 0.0 to 1.0
     * @param sentAtMicros the sender's monotonic time in microseconds, of which only differences below half an hour count
     * @param echoedMicros {@code sentAtMicros} of the newest load that the sender had received from the receiver; empty
     *     if it had received none
     * @param echoHeldFor time from that receipt until this message was sent
     */
    record EntryLoad(
            Duration delay,
            int activeJobs,
            double busyShare,
            int sentAtMicros,
            OptionalInt echoedMicros,
            Duration echoHeldFor)
            implements BestEffortMessage {}

    /**
     * Hands a job to a peer, which owns it from its receipt on. Nothing of the job has started. Sent only on a direct
     * connection: the loss of the connection is the loss of the job.
     *
     * @param job id of the job
     * @param route name of the route that matched the request
     * @param routesVersion version of the routes that the sender applied
     * @param specification what the worker runs, as the caller specified it
     * @param taskCount number of tasks
     * @param resourcesPerTask resources that each task takes while it runs
     * @param estimate estimated run duration of one task
     * @param timeLeft time until the caller stops waiting
     * @param age time since the sender accepted the job
     * @param zone zone of the sender, which is that of the caller
     */
    record DelegateJob(
            JobId job,
            RouteName route,
            long routesVersion,
            String specification,
            int taskCount,
            Resources resourcesPerTask,
            Duration estimate,
            Duration timeLeft,
            Duration age,
            AvailabilityZone zone)
            implements BestEffortMessage {}

    /**
     * Tells the entry that handed a job over how it ended.
     *
     * @param job id of the job
     * @param outcome outcome of the job; {@code NOT_RUN} with a zero Retry-After means that the sender did not take it
     */
    record DelegationEnded(JobId job, BestEffortOutcome outcome) implements BestEffortMessage {
        /**
         * Creates the reply of an entry that does not take a job.
         *
         * @param job id of the job
         * @param reason why it does not
         * @return the reply
         */
        public static DelegationEnded refused(JobId job, String reason) {
            return new DelegationEnded(job, BestEffortOutcome.notRun(reason, Duration.ZERO));
        }

        /**
         * Returns whether the peer did not take the job.
         *
         * @return true if it has run no part of it, and the sender of the job may run it itself
         */
        public boolean isRefused() {
            return outcome.verdict() == Verdict.NOT_RUN && outcome.retryAfter().isZero();
        }
    }
}
