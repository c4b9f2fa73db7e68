package org.gypsumflow.command;

import java.time.Duration;

/**
 * Intervals and timeouts that detect lost members and decide when a best-effort task may be assigned again.
 *
 * <p>They satisfy one inequality: a task may start elsewhere only when it can no longer run where it was. Both sides of
 * a connection count from one event, whichever direction is interrupted and however late a closing arrives: the agent
 * from its send of the newest heartbeat that the entry is known to have received, and the entry from its last receipt,
 * which is later than that send. After the send:
 *
 * <ol>
 *   <li>the contact ends after {@link #CONFIRMED_CONTACT_LIMIT}; the agent accepts no more assignments of the entry;
 *   <li>the agent notices at most {@link #CONNECTION_CHECK_INTERVAL} later and stops the entry's runs;
 *   <li>if the worker has not confirmed a stop {@link #STOP_CONFIRMATION_TIMEOUT} later, the agent no longer renews the
 *       lease;
 *   <li>the lease ends {@link #LEASE_DURATION} after the last request, or 60 ms later, for the agent's estimate of the
 *       worker's clock;
 *   <li>the worker stops its runs within {@link #MAX_STOP_TIME}.
 * </ol>
 *
 * <p>All clocks may be slow by 2 %: (700 + 150 + 200 + 900) / 0.98 + 60 + 50 = 2,100 ms. A paused agent makes no request
 * after the pause has begun, which is at most {@link #CONNECTION_CHECK_INTERVAL} after the end of the contact if it had
 * not noticed that yet, so that its lease ends earlier. A worker that has restarted may grant the longest lease instead,
 * {@link #MAX_LEASE_DURATION}: (700 + 150 + 200 + 1,000) / 0.98 + 50 = 2,142 ms. {@link #REASSIGN_AFTER_LAST_MESSAGE}
 * exceeds both sums.
 */
public final class BestEffortTimings {
    /** Time between checks of the connections; four checks fit into the heartbeat timeout. */
    public static final Duration CONNECTION_CHECK_INTERVAL = Duration.ofMillis(150);
    /** A connection idle for this long gets a heartbeat at the next check, at most 200 ms after the last message. */
    public static final Duration HEARTBEAT_IDLE_TIME = Duration.ofMillis(50);
    /** The same for a process with many connections: a heartbeat every second check, two in a heartbeat timeout. */
    public static final Duration HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS = Duration.ofMillis(200);
    /** A process with more connections than this sends fewer heartbeats, which would outnumber its other messages. */
    public static final int MANY_CONNECTIONS_THRESHOLD = 8;
    /**
     * An entry's heartbeats to an agent echo those of the agent; one is sent without a heartbeat of the agent on a
     * connection that is idle for this long at a check.
     */
    public static final Duration HEARTBEAT_IDLE_TIME_WITHOUT_ECHOES = Duration.ofMillis(350);
    /** Time without a message after which a connection counts as lost: three heartbeats, so that one may be late. */
    public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(600);
    /**
     * Time since the send of the newest heartbeat that an entry is known to have received, after which an agent accepts
     * no more assignments of it and stops its runs: two heartbeats among many connections, so that one may be lost.
     */
    public static final Duration CONFIRMED_CONTACT_LIMIT = Duration.ofMillis(700);
    /** How long a worker runs tasks without a renewal; below the platform's limit of one second for leases. */
    public static final Duration LEASE_DURATION = Duration.ofMillis(900);
    /** The longest lease that a worker grants; the platform shortens others to it. */
    public static final Duration MAX_LEASE_DURATION = Duration.ofSeconds(1);
    /** Maximum time that a worker needs to stop a task, guaranteed by the platform. */
    public static final Duration MAX_STOP_TIME = Duration.ofMillis(50);
    /**
     * Time after which an agent lets the lease of its worker expire because a run of a lost entry has not ended; the
     * worker's stop and the listing that shows it take a third of it.
     */
    public static final Duration STOP_CONFIRMATION_TIMEOUT = Duration.ofMillis(200);
    /** Time since the last message of an agent after which its tasks no longer run, by the sum above. */
    public static final Duration REASSIGN_AFTER_LAST_MESSAGE = Duration.ofMillis(2150);
    /**
     * Time since the last message of a lost entry after which none of its tasks runs any more, so that another entry may
     * start its jobs again.
     *
     * <p>The entry sent its last message at most {@link #HEARTBEAT_IDLE_TIME_MANY_CONNECTIONS} and {@link
     * #CONNECTION_CHECK_INTERVAL} before it was lost, and confirmed no contact to an agent after that. From then on the
     * sums for {@link #REASSIGN_AFTER_LAST_MESSAGE} hold: (350 + 700 + 150 + 200 + 900) / 0.98 + 60 + 50 = 2,457 ms, and
     * (350 + 700 + 150 + 200 + 1,000) / 0.98 + 50 = 2,499 ms.
     *
     * <p>An entry that does not know the jobs of its peers starts none for as long, since a peer that does not answer may
     * have ended.
     */
    public static final Duration TAKE_OVER_AFTER_LAST_MESSAGE = Duration.ofMillis(2500);
    /** Other members may consider a process lost that paused for this long; longer than the delay of a slow timer. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofMillis(450);
    /**
     * An entry that paused for this long abandons its jobs: their callers may have sent them to another entry meanwhile,
     * which they do 1,300 ms after they got no response. A shorter pause is like a silence of all its connections.
     */
    public static final Duration ENTRY_PAUSE_THRESHOLD = Duration.ofMillis(850);
    /** Time between unsolicited reports of a changing worker status: longer saves bytes, shorter avoids collisions. */
    public static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    /** Number of entries from which an agent reports to each less often, to limit its messages per second. */
    public static final int ENTRIES_AT_FULL_RATE = 6;
    /** Longest time after which an entry tells the others which jobs it accepted; they are sent again after 1,300 ms. */
    public static final Duration MAX_ANNOUNCEMENT_INTERVAL = Duration.ofMillis(200);
    /**
     * Time after which an entry announces a job again while a run of it may be left; at most twice this time passes
     * between two announcements of a job.
     */
    public static final Duration REPEATED_ANNOUNCEMENT_INTERVAL = Duration.ofMillis(2500);
    /**
     * Time since the last announcement of a job after which its owner is forgotten.
     *
     * <p>A live owner has announced the job again before, or no run of it is left. If the owner is lost, its runs have
     * ended: 2 x 2,500 ms without an announcement, 200 ms until it is sent, and {@link #TAKE_OVER_AFTER_LAST_MESSAGE},
     * by a clock that is 2 % slow, are 7,857 ms.
     */
    public static final Duration JOB_OWNERSHIP_LIFETIME = Duration.ofSeconds(10);
    /** Multiple of the latency objective after which a result has no value for its caller. */
    public static final double HARD_DEADLINE_FACTOR = 3.0;

    private BestEffortTimings() {}
}
