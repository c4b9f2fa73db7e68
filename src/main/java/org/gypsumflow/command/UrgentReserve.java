package org.gypsumflow.command;

import java.time.Duration;
import org.gypsumflow.model.Resources;

/**
 * Decides how much of a worker's free capacity a task may use: a share is reserved for urgent tasks, those with little
 * slack. A job of many short tasks needs capacity on many workers immediately, while a long task that waits a little
 * still finishes in time.
 */
final class UrgentReserve {
    /** Tasks with less slack than this are urgent; a full worker finishes several tasks within it. */
    static final Duration URGENT_SLACK = Duration.ofMillis(150);
    /** Reserved share of a worker; fits one task on most workers, for the task sizes in the users' requirements. */
    private static final double RESERVED_SHARE = 0.125;

    private UrgentReserve() {}

    static boolean isUrgent(Duration slack) {
        return slack.compareTo(URGENT_SLACK) < 0;
    }

    /** Returns the part of the available capacity that a task with this slack may use; may be negative. */
    static Resources usableCapacity(Resources available, Resources capacity, Duration slack) {
        if (isUrgent(slack)) {
            return available;
        }
        return available.minus(Resources.of((int) (capacity.cpuMillicores() * RESERVED_SHARE), 0, 0));
    }
}
