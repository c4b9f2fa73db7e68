package org.gypsumflow.command;

import java.time.Duration;

/**
 * Times that decide when work counts as lost and where it may go.
 *
 * <p>The inequality behind them: a task may start again elsewhere only when it can no longer run where it was. Either side
 * notices a silence of {@link #HEARTBEAT_TIMEOUT} at the next look, {@link #CONNECTION_CHECK_INTERVAL} later at most. While only the way to the entry
 * is cut, the agent hears the entry until the entry gives the connection up; if the other way is cut at that moment, the
 * agent needs as long again, and then the worker {@link #MAX_STOP_TIME}. An agent that stands still cannot renew the worker's
 * lease, so that the worker ends the tasks {@link #LEASE_DURATION} after the last renewal, by a clock that may be slow by 2 %. Hence
 * {@link #REASSIGN_AFTER_LAST_MESSAGE} is longer than both sums, counted from the last message that the entry received.
 */
public final class BestEffortTimings {
    /** Time between looks at the connections; four fit into the silence that ends one. */
    public static final Duration CONNECTION_CHECK_INTERVAL = Duration.ofMillis(150);
    /** A connection that carried nothing for this long gets a heartbeat at the next look, at most 200 ms after the last. */
    public static final Duration HEARTBEAT_IDLE_TIME = Duration.ofMillis(50);
    /** The same for a process with many connections, which sends a heartbeat at every second look; two fit into the silence. */
    public static final Duration HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS = Duration.ofMillis(200);
    /** Number of connections from which a process has many: more than on the deployments of today. */
    public static final int MANY_CONNECTIONS_THRESHOLD = 16;
    /** Silence after which a connection is taken to be dead; three heartbeats, so that one may be late. */
    public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(600);
    /** How long a worker goes on without a renewal; below the platform's bound of one second on leases. */
    public static final Duration LEASE_DURATION = Duration.ofMillis(900);
    /** Longest time that a worker needs to stop a task; the platform's bound. */
    public static final Duration MAX_STOP_TIME = Duration.ofMillis(50);
    /** Silence of an agent after which its tasks have surely ended: silence on both sides, then the stop. */
    public static final Duration REASSIGN_AFTER_LAST_MESSAGE = Duration.ofMillis(1600);
    /** A process that did not run for this long may have been given up by all others; longer than a slow timer. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofMillis(450);
    /** Time between an agent's unasked reports of its room while it changes; a trade of bytes against collisions. */
    public static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    /** Number of entries from which an agent reports to each of them less often, to bound its messages a second. */
    public static final int ENTRIES_AT_FULL_RATE = 6;
    /** Multiple of the objective after which an answer earns its caller nothing. */
    public static final double HARD_DEADLINE_FACTOR = 3.0;

    private BestEffortTimings() {}
}
