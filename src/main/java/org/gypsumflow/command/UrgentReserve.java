package org.gypsumflow.command;

import java.time.Duration;
import org.gypsumflow.model.Resources;

/**
 * Room on a worker that tasks with time to spare leave to tasks without. A wide job of short tasks needs many places at
 * once, while a long task that waits a little still ends in time.
 */
final class UrgentReserve {
    /** Tasks that need not start within this time have time to spare; a full worker frees a place several times in it. */
    static final Duration URGENT_SLACK = Duration.ofMillis(150);
    /** Share of a worker that is left; a place on most workers for the task sizes on the users' sheets. */
    private static final double SHARE = 0.125;

    private UrgentReserve() {}

    static boolean isUrgent(Duration slack) {
        return slack.compareTo(URGENT_SLACK) < 0;
    }

    /** Returns what a task may use of the room that is left on a worker. */
    static Resources usableCapacity(Resources room, Resources capacity, Duration slack) {
        if (isUrgent(slack)) {
            return room;
        }
        return room.minus(Resources.of((int) (capacity.cpuMillicores() * SHARE), 0, 0));
    }
}
