package org.gypsumflow.model;

/** Numbered events of the log; docs/EVENTS.md explains each of them to the operator. */
public enum Event {
    /** A daemon started. */
    STARTED(100, Level.INFO, "{} started as {} in zone {}"),
    /** A daemon was asked to stop and takes no new work. */
    SHUTDOWN_STARTED(101, Level.INFO, "leaving: no new work, {} in flight go on"),
    /** A daemon stopped. */
    STOPPED(102, Level.INFO, "stopped, {} requests cut"),
    /** A setting is wrong. */
    BAD_SETTING(103, Level.ERROR, "refused to start: {}"),
    /** An agent connected. */
    AGENT_CONNECTED(200, Level.INFO, "agent of worker {} connected, incarnation {}"),
    /** The connection to an agent ended. */
    AGENT_LOST(201, Level.WARN, "connection to the agent of worker {} ended"),
    /** A connection brought nothing for too long. */
    HEARTBEAT_TIMEOUT(202, Level.WARN, "closed a connection that brought nothing for {} ms"),
    /** Another entry connected. */
    PEER_CONNECTED(203, Level.INFO, "connected to entry {}"),
    /** The process was paused. */
    PROCESS_PAUSED(207, Level.WARN, "this process was paused for {} ms"),
    /** The connection to another entry ended. */
    PEER_LOST(204, Level.WARN, "connection to entry {} ended"),
    /** The target beside an agent announced itself. */
    TARGET_ANNOUNCED(205, Level.INFO, "target of service {} announced itself at {}"),
    /** The target beside an agent is leaving. */
    TARGET_DRAINING(206, Level.INFO, "target of service {} is leaving"),
    /** The log does not answer. */
    LOG_UNREACHABLE(300, Level.WARN, "the platform's log does not answer: {}"),
    /** The log answers again. */
    LOG_REACHABLE(301, Level.INFO, "the platform's log answers again"),
    /** Records of the operations stream expired unread. */
    CONFIGURATION_GAP(302, Level.ERROR, "records of the operations stream before offset {} expired unread"),
    /** A configuration came into force on this process. */
    CONFIGURATION_APPLIED(303, Level.INFO, "configuration version {} is in force here"),
    /** An agent stopped starting tasks because its configuration is not confirmed. */
    CONFIGURATION_STALE(304, Level.WARN, "configuration not confirmed for {} ms, nothing starts here"),
    /** The configuration is confirmed again. */
    CONFIGURATION_FRESH(305, Level.INFO, "configuration confirmed, starts are allowed"),
    /** The whole state was repeated in the operations stream. */
    SNAPSHOT_APPENDED(306, Level.INFO, "repeated the state up to offset {} in the operations stream"),
    /** A plan was made. */
    PLAN_PROPOSED(400, Level.INFO, "plan {} made for {}: {}"),
    /** A confirmation was accepted. */
    PLAN_ACCEPTED(401, Level.INFO, "plan {} confirmed by {}, version {}"),
    /** A confirmation was refused or void. */
    CONFIRMATION_REJECTED(402, Level.WARN, "confirmation of plan {} by {} refused: {}"),
    /** A step of a plan was done. */
    PLAN_STEP(403, Level.INFO, "plan {}: {}: {}"),
    /** A claim was given up. */
    CLAIM_ABANDONED(500, Level.WARN, "claim of submission {} given up, nothing started: {}"),
    /** The holder of a claim is gone. */
    HOLDER_LOST(501, Level.WARN, "holder of submission {} is gone, {} of {} outcomes found at the agents"),
    /** A job that is not stored was given up. */
    JOB_ABANDONED(600, Level.WARN, "job {} of route {} given up, may have run: {}, agents known: {}: {}"),
    /** A job that is not stored ended before its tasks did. */
    JOB_ENDED_EARLY(601, Level.INFO, "job {} of route {} ended early: {}"),
    /** An order of an entry ended at its agent. */
    TASK_ENDED(618, Level.INFO, "task {} run {} of entry {} ended {}: waited {} ms for room, ran {} ms of about {} ms"),
    /** A job that is not stored was answered whole. */
    JOB_DONE(
            617,
            Level.INFO,
            "job {} of route {} (routes of version {}) done after {} ms, {} tasks of about {} ms in {} orders on {}"
                    + " workers, slowest run {} ms on {}"),
    /** An agent could not start a task. */
    START_REJECTED(602, Level.WARN, "worker refused task {} run {}: {}"),
    /** A worker does not answer. */
    WORKER_UNRESPONSIVE(603, Level.WARN, "worker does not answer {}: {}"),
    /** A worker reported itself or changed. */
    WORKER_CHANGED(604, Level.INFO, "worker {} born {} of service {}, draining: {}, capacity {}"),
    /** A task was stopped because it stood still. */
    TASK_STALLED(605, Level.WARN, "stopped task {} run {}: {} ms of about {} ms, {} percent done"),
    /** An entry's orders were dropped because the entry is out of touch. */
    ENTRY_ASSIGNMENTS_DROPPED(606, Level.WARN, "dropped {} orders of entry {}: {}"),
    /** A connection between processes of the system opened. */
    MEMBER_CONNECTED(607, Level.INFO, "connected to {} {} in zone {}, incarnation {}"),
    /** A connection between processes of the system ended. */
    MEMBER_LOST(608, Level.WARN, "connection to {} {} ended: {}"),
    /** The platform's store does not answer. */
    STORE_UNREACHABLE(609, Level.WARN, "the platform's store does not answer {}: {}"),
    /** The platform's store answers again. */
    STORE_REACHABLE(610, Level.INFO, "the platform's store answers again"),
    /** Routes came into force. */
    ROUTES_APPLIED(611, Level.INFO, "routes of version {} are in force, {} routes, learnt from {}"),
    /** The set of zones that are being emptied changed. */
    CLOSED_ZONES_APPLIED(612, Level.INFO, "zones that get no tasks: {}, as of record {}, learnt from {}"),
    /** A message of an outside party could not be read. */
    MESSAGE_UNREADABLE(613, Level.WARN, "ignored {}: {}"),
    /** What an agent believes of its worker. */
    WORKER_STATUS(615, Level.INFO, "worker open: {}, at work: {}, orders: {}, slowness {}, failing {}, mean run {} ms"),
    /** Log lines were left out to bound the volume. */
    LOG_LINES_DROPPED(616, Level.WARN, "left out {} lines of GF{} in the last second"),
    /** The settings were read again. */
    SETTINGS_RELOADED(614, Level.INFO, "settings read again: {}"),
    /** A request failed inside the system. */
    INTERNAL_ERROR(900, Level.ERROR, "internal error in {}: {}");

    /** How urgent an event is. */
    public enum Level {
        /** Nothing to do. */
        INFO,
        /** Worth a look. */
        WARN,
        /** Somebody must act. */
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
     * Returns the number in the catalogue.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns how urgent the event is.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }

    /**
     * Returns the text with a pair of braces for each detail.
     *
     * @return the template
     */
    public String template() {
        return template;
    }
}
