package org.gypsumflow.command;

import java.time.Duration;

/**
 * Intervals and timeouts that detect lost members and decide when a best-effort task may be assigned again.
 *
 * <p>They satisfy one inequality: a task may start elsewhere only when it can no longer run where it was. Either side
 * of a connection detects a timeout of {@link #HEARTBEAT_TIMEOUT} at its next check, at most
 * {@link #CONNECTION_CHECK_INTERVAL} later. If only the direction to the entry is interrupted, the agent receives
 * messages until the entry closes the connection; if the other direction is interrupted at that moment, the agent
 * needs the same time again, and its worker then {@link #MAX_STOP_TIME}. A paused agent cannot renew the worker's
 * lease, so the worker stops the tasks {@link #LEASE_DURATION} after the last renewal, by a clock that may be slow by
 * 2 %. Therefore {@link #REASSIGN_AFTER_LAST_MESSAGE}, counted from the last message that the entry received, exceeds
 * both sums.
 */
public final class BestEffortTimings {
    /** Time between checks of the connections; four checks fit into the heartbeat timeout. */
    public static final Duration CONNECTION_CHECK_INTERVAL = Duration.ofMillis(150);
    /** A connection idle for this long gets a heartbeat at the next check, at most 200 ms after the last message. */
    public static final Duration HEARTBEAT_IDLE_TIME = Duration.ofMillis(50);
    /** The same for a process with many connections: a heartbeat every second check, two in a heartbeat timeout. */
    public static final Duration HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS = Duration.ofMillis(200);
    /** A process with more connections than this sends fewer heartbeats; present deployments have fewer. */
    public static final int MANY_CONNECTIONS_THRESHOLD = 16;
    /** Time without a message after which a connection counts as lost: three heartbeats, so that one may be late. */
    public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(600);
    /** How long a worker runs tasks without a renewal; below the platform's limit of one second for leases. */
    public static final Duration LEASE_DURATION = Duration.ofMillis(900);
    /** Maximum time that a worker needs to stop a task, guaranteed by the platform. */
    public static final Duration MAX_STOP_TIME = Duration.ofMillis(50);
    /** Time since the last message of an agent after which its tasks no longer run: both timeouts, then the stop. */
    public static final Duration REASSIGN_AFTER_LAST_MESSAGE = Duration.ofMillis(1600);
    /**
     * Time since the last message of a lost entry after which none of its tasks runs any more, so that another entry may
     * start its jobs again.
     *
     * <p>An agent may have received a message from that entry later than the entry that counts, by the time between two
     * heartbeats: {@link #HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS} and {@link #CONNECTION_CHECK_INTERVAL}. It notices the
     * loss {@link #HEARTBEAT_TIMEOUT} and {@link #CONNECTION_CHECK_INTERVAL} later. Its stops may go unanswered and a
     * renewal in flight may still arrive, 200 ms; then the runs end with the lease, {@link #LEASE_DURATION} by a clock
     * that is 2 % slow, after 60 ms for its check and {@link #MAX_STOP_TIME}: 350 + 750 + 200 + 919 + 60 + 50 = 2,329 ms.
     */
    public static final Duration TAKE_OVER_AFTER_LAST_MESSAGE = Duration.ofMillis(2350);
    /** Other members may consider a process lost that paused for this long; longer than the delay of a slow timer. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofMillis(450);
    /** Time between unsolicited reports of a changing worker status: longer saves bytes, shorter avoids collisions. */
    public static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    /** Number of entries from which an agent reports to each less often, to limit its messages per second. */
    public static final int ENTRIES_AT_FULL_RATE = 6;
    /** Multiple of the latency objective after which a result has no value for its caller. */
    public static final double HARD_DEADLINE_FACTOR = 3.0;

    private BestEffortTimings() {}
}
