package org.gypsumflow.command.balancing;

import java.util.Optional;

/** Chooses the entry that runs a job. */
@FunctionalInterface
public interface PeerChooser {
    /**
     * Chooses the entry that runs a job.
     *
     * @param balancer knows the load of this entry and of its peers
     * @param nowNanos current monotonic time
     * @return the peer, or empty if this entry runs the job
     */
    Optional<DelegationTarget> choose(JobBalancer balancer, long nowNanos);
}
