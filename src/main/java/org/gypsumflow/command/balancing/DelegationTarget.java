package org.gypsumflow.command.balancing;

import org.gypsumflow.model.MemberName;

/**
 * The entry that is to run a job, and why this one does not.
 *
 * @param peer the entry
 * @param cause which measure of the own load decided
 */
public record DelegationTarget(MemberName peer, Cause cause) {
    /** Which measure of the own load decided. */
    public enum Cause {
        /** Requests wait for the processor. */
        DELAY,
        /** The processor has little time to spare. */
        BUSY
    }
}
