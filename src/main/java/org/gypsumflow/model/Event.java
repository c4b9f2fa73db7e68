package org.gypsumflow.model;

/** The numbered events that the daemons write to their log; docs/EVENTS.md explains each of them to the operator. */
public enum Event {
    /** A daemon started. */
    STARTED(100, Level.INFO, "{} started as {} in zone {}"),
    /** A daemon was asked to stop and accepts no new work. */
    SHUTDOWN_STARTED(101, Level.INFO, "shutting down: no new work is accepted, {} in flight are completed"),
    /** A daemon has stopped. */
    STOPPED(102, Level.INFO, "stopped, {} requests were interrupted"),
    /** A setting is invalid, so the daemon does not start. */
    BAD_SETTING(103, Level.ERROR, "not started because of an invalid setting: {}"),
    /** An agent connected. */
    AGENT_CONNECTED(200, Level.INFO, "agent of worker {} connected, incarnation {}"),
    /** The connection to an agent was closed. */
    AGENT_LOST(201, Level.WARN, "connection to the agent of worker {} closed"),
    /** A connection was closed because no message arrived within the heartbeat timeout. */
    HEARTBEAT_TIMEOUT(202, Level.WARN, "closed a connection on which no message arrived for {} ms"),
    /** A connection to a peer opened. */
    PEER_CONNECTED(203, Level.INFO, "connected to entry {}"),
    /** The process did not run for some time, for example because its host was suspended. */
    PROCESS_PAUSED(207, Level.WARN, "this process was paused for {} ms"),
    /** The wall clock advanced further than the monotonic clock. */
    WALL_CLOCK_AHEAD(
            208,
            Level.WARN,
            "the wall clock advanced by {} ms at once: it was set, or this host was suspended; asking the other entries"
                    + " which jobs they have taken over"),
    /** The connection to a peer was closed. */
    PEER_LOST(204, Level.WARN, "connection to entry {} closed"),
    /** The target on the agent's host registered with the agent. */
    TARGET_ANNOUNCED(205, Level.INFO, "target of service {} registered at {}"),
    /** The target on the agent's host is draining. */
    TARGET_DRAINING(206, Level.INFO, "target of service {} is draining"),
    /** The platform's log does not respond. */
    LOG_UNREACHABLE(300, Level.WARN, "the platform's log does not respond: {}"),
    /** The platform's log responds again. */
    LOG_REACHABLE(301, Level.INFO, "the platform's log responds again"),
    /** The log deleted records of the operations stream before they were read. */
    CONFIGURATION_GAP(
            302, Level.ERROR, "records of the operations stream before offset {} were deleted before they were read"),
    /** A configuration was applied in this process. */
    CONFIGURATION_APPLIED(303, Level.INFO, "applied configuration version {} in this process"),
    /** An agent starts no more tasks, because its configuration was not confirmed for too long. */
    CONFIGURATION_STALE(304, Level.WARN, "configuration not confirmed for {} ms, this agent starts no tasks"),
    /** The configuration is confirmed again, so the agent starts tasks. */
    CONFIGURATION_FRESH(305, Level.INFO, "configuration confirmed, this agent starts tasks again"),
    /** A snapshot of the whole state was appended to the operations stream. */
    SNAPSHOT_APPENDED(306, Level.INFO, "appended a snapshot of the state up to offset {} to the operations stream"),
    /** A plan was proposed. */
    PLAN_PROPOSED(400, Level.INFO, "plan {} proposed by {}: {}"),
    /** The confirmation of a plan was accepted. */
    PLAN_ACCEPTED(401, Level.INFO, "plan {} confirmed by {}, configuration version {}"),
    /** The confirmation of a plan was rejected or the plan is void. */
    CONFIRMATION_REJECTED(402, Level.WARN, "confirmation of plan {} by {} rejected: {}"),
    /** A step of a plan was completed. */
    PLAN_STEP(403, Level.INFO, "plan {}: step {} completed: {}"),
    /** A claim was abandoned without starting any task. */
    CLAIM_ABANDONED(500, Level.WARN, "claim of submission {} abandoned, no task was started: {}"),
    /** The holder of a claim is no longer in service. */
    HOLDER_LOST(
            501, Level.WARN, "claim holder of submission {} is not in service, the agents know {} of {} task outcomes"),
    /** A best-effort job was abandoned. */
    JOB_ABANDONED(600, Level.WARN, "job {} of route {} abandoned, may have run: {}, known agents: {}, reason: {}"),
    /** A best-effort job ended before its tasks did. */
    JOB_ENDED_EARLY(601, Level.INFO, "job {} of route {} ended before its tasks: {}"),
    /** A task assignment of an entry ended at its agent. */
    TASK_ENDED(
            618,
            Level.INFO,
            "task {} run {} of entry {} ended {}: queue time {} ms, run duration {} ms, estimate {} ms"),
    /** A best-effort job completed. */
    JOB_DONE(
            617,
            Level.INFO,
            "job {} of route {} (routes of version {}) completed after {} ms, {} tasks with estimate {} ms in {}"
                    + " assignments on {} workers, longest run {} ms on {}"),
    /** Runs at a worker were counted as lost, so that their tasks start elsewhere. */
    RUNS_LOST(
            619,
            Level.WARN,
            "counted {} runs at the worker as lost: {}; last response {} ms ago, last request with a lease {} ms ago"),
    /** A worker listed a run that its agent does not track, and was told to stop it. */
    UNTRACKED_RUN_STOPPED(
            620, Level.WARN, "stopped task {} run {}, which the worker lists and this agent does not track"),
    /** An entry queued a task for another run, since the previous one ended without success. */
    TASK_REQUEUED(621, Level.INFO, "task {} is queued for run {}: the previous run at {} was {}"),
    /** A worker rejected the start of a task. */
    START_REJECTED(602, Level.WARN, "worker rejected task {} run {}: {}"),
    /** A worker does not respond. */
    WORKER_UNRESPONSIVE(603, Level.WARN, "worker did not respond to {}: {}"),
    /** A worker reported for the first time, or reported a changed state. */
    WORKER_CHANGED(
            604, Level.INFO, "worker {} started at {} ms since the epoch, service {}, draining: {}, capacity {}"),
    /** A task was stopped because it stalled. */
    TASK_STALLED(
            605, Level.WARN, "stopped stalled task {} run {}: run duration {} ms, estimate {} ms, {} percent done"),
    /** The task assignments of an unreachable entry were dropped. */
    ENTRY_ASSIGNMENTS_DROPPED(606, Level.WARN, "dropped {} task assignments of entry {}: {}"),
    /** A connection to another member opened. */
    MEMBER_CONNECTED(607, Level.INFO, "connected to {} {} in zone {}, incarnation {}"),
    /** The connection to another member was closed. */
    MEMBER_LOST(608, Level.WARN, "connection to {} {} closed: {}"),
    /** Messages to an entry that is not connected go through an agent. */
    PEER_RELAYED(622, Level.INFO, "messages to entry {} go through agent {}"),
    /** An entry cannot be reached in any way. */
    PEER_UNREACHABLE(623, Level.WARN, "entry {} is not connected, and no agent here is in contact with it"),
    /** An entry that has just started, or was paused, knows the jobs of its peers. */
    JOBS_RELEASED(624, Level.INFO, "starts new jobs from now on: {}; {} requests waited for that"),
    /** No entry in contact follows the records of the operator, so that an agent reads them itself. */
    ROUTING_UNCONFIRMED(
            625,
            Level.WARN,
            "no entry in contact confirms the routes and closed zones, reads them from the store itself"),
    /** An entry in contact follows the records of the operator again, or no entry is in contact any more. */
    ROUTING_CONFIRMED(
            626,
            Level.INFO,
            "no longer reads the routes and closed zones itself, after {} ms and {} reads of the store"),
    /** The platform's store does not respond. */
    STORE_UNREACHABLE(609, Level.WARN, "the platform's store did not respond to {}: {}"),
    /** The platform's store responds again. */
    STORE_REACHABLE(610, Level.INFO, "the platform's store responds again"),
    /** New routes were applied. */
    ROUTES_APPLIED(611, Level.INFO, "applied routes of version {}, {} routes, received from {}"),
    /** A changed set of closed zones was applied. */
    CLOSED_ZONES_APPLIED(612, Level.INFO, "applied closed zones {} as of record {}, received from {}"),
    /** A message or record from outside the system could not be parsed. */
    MESSAGE_UNREADABLE(613, Level.WARN, "could not parse {}, ignored it: {}"),
    /** The status of the worker, as its agent sees it. */
    WORKER_STATUS(
            615,
            Level.INFO,
            "worker accepts tasks: {}, running tasks: {}, assignments: {}, slowdown {}, failure rate {},"
                    + " mean run duration {} ms"),
    /** Log lines were dropped to limit their rate. */
    LOG_LINES_DROPPED(616, Level.WARN, "dropped {} lines of event GF{} in the last second"),
    /** Log lines were dropped because the standard output took no more; written once it does again. */
    LOG_NOT_READ(627, Level.WARN, "dropped {} log lines, as nobody read the log"),
    /** The settings file was read again; the text says whether the settings were applied. */
    SETTINGS_RELOADED(614, Level.INFO, "settings file read again: {}"),
    /** A daemon has started; the text tells which parts of the dispatcher its settings switch on. */
    FEATURES(630, Level.INFO, "{}"),
    /** An entry that has just started has run made-up jobs to have its code compiled. */
    WARMED_UP(633, Level.INFO, "warmed up with {} made-up jobs"),
    /** A call to the worker got no response in time and is sent again. */
    CALL_REPEATED(650, Level.WARN, "worker left {} unanswered for {} ms, sent copy {}"),
    /** The worker lists a run whose start got no response. */
    RUN_ADOPTED(651, Level.INFO, "task {} run {} was started, only the response was lost"),
    /** A run whose start got no usable response is stopped before its task may start elsewhere. */
    RUN_FENCED(652, Level.WARN, "task {} run {} is stopped, as the worker may start it late: {}"),
    /** An entry does what arrives later than its jobs allow. */
    OVERLOAD_BEGAN(631, Level.WARN, "overloaded: acts {} ms late on what arrives, {} active jobs, limit {}"),
    /** An entry keeps up again. */
    OVERLOAD_ENDED(632, Level.INFO, "keeps up again after {} ms of overload, {} requests rejected, acts {} ms late"),
    /** An entry began to hand jobs over to its peers. */
    DELEGATION_STARTED(
            640, Level.INFO, "hands jobs over to other entries, the first to {}: busy share {} percent, delay {} ms"),
    /** An entry runs all its jobs itself again. */
    DELEGATION_STOPPED(641, Level.INFO, "runs all its jobs itself again, after {} were handed over"),
    /** The path to an entry closed while it ran jobs of this one. */
    DELEGATION_LOST(642, Level.WARN, "connection to entry {} closed while it ran {} jobs of this entry"),
    /** Jobs wait for capacity of a service, and shares decide who goes first. */
    CAPACITY_SHORT(
            660,
            Level.WARN,
            "capacity of service {} is short: {} shares ask for {} thousandths of a core, {} were granted"),
    /** Few jobs wait for capacity of a service any more. */
    CAPACITY_SUFFICIENT(661, Level.INFO, "capacity of service {} suffices again, it was short for {} ms"),
    /** Tasks of two routes slow each other down on one worker. */
    INTERFERENCE_FOUND(
            670,
            Level.INFO,
            "tasks of route {} run {} times as long beside tasks of route {}, and are kept apart where there is"
                    + " room: {} runs beside them, {} apart"),
    /** Tasks of two routes are not kept apart any more. */
    INTERFERENCE_ENDED(
            671,
            Level.INFO,
            "tasks of route {} are not kept apart from those of route {} any more: factor {}, {} jobs placed otherwise"
                    + " meanwhile, {}"),
    /** What was known of two routes made room for routes that run more often. */
    INTERFERENCE_FORGOTTEN(
            672,
            Level.INFO,
            "tasks of route {} are not kept apart from those of route {} any more: others run more often;"
                    + " {} jobs placed otherwise meanwhile"),
    /** An internal error occurred. */
    INTERNAL_ERROR(900, Level.ERROR, "internal error in {}: {}");

    /** The severity of an event. */
    public enum Level {
        /** No action is needed. */
        INFO,
        /** The event may need attention. */
        WARN,
        /** An operator must act. */
        ERROR
    }

    private final int number;
    private final Level level;
    private final String template;

    Event(int number, Level level, String template) {
        this.number = number;
        this.level = level;
        this.template = template;
    }

    /**
     * Returns the number of the event in docs/EVENTS.md, by which operators identify it.
     *
     * @return the number, without the prefix GF
     */
    public int number() {
        return number;
    }

    /**
     * Returns the severity of the event.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }

    /**
     * Returns the text of the event, with the placeholder {@code {}} for each detail.
     *
     * @return the template
     */
    public String template() {
        return template;
    }
}
