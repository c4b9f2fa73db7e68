package org.gypsumflow.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.JobDispatcher;
import org.gypsumflow.command.JobOwnerCache;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/**
 * Announces the jobs of an entry to its peers: each soon after it was accepted, and again as long as a run of it may be
 * left. Peers forget the owner of a job that is not announced any more, and would start the job without asking it.
 *
 * <p>Confined to one executor.
 */
final class JobAnnouncements {
    private final TimeSource time;
    private final PeerPaths peers;
    private final JobDispatcher dispatcher;
    private final JobHandovers handovers;
    private final JobOwnerCache jobOwners;
    private final List<JobId> acceptedJobs = new ArrayList<>();
    private Set<JobId> unendedAtLastRepetition = Set.of();
    private long lastAnnouncementNanos;
    private long lastRepetitionNanos;

    JobAnnouncements(
            TimeSource time,
            PeerPaths peers,
            JobDispatcher dispatcher,
            JobHandovers handovers,
            JobOwnerCache jobOwners) {
        this.time = time;
        this.peers = peers;
        this.dispatcher = dispatcher;
        this.handovers = handovers;
        this.jobOwners = jobOwners;
        this.lastAnnouncementNanos = time.nanoTime();
        this.lastRepetitionNanos = time.nanoTime();
    }

    /** Adds a job that this entry has accepted; the next announcement has it. */
    void jobAccepted(JobId job) {
        acceptedJobs.add(job);
    }

    /** Returns the jobs of which a run may be left because of this entry, and those that it takes over from a peer. */
    List<JobId> unendedJobs() {
        return Stream.concat(dispatcher.unendedJobs().stream(), handovers.jobsTakenOver().stream())
                .distinct()
                .toList();
    }

    /** Sends the announcements that are due. */
    void tick() {
        announceAcceptedJobs();
        repeatAnnouncements();
    }

    /**
     * Announces the jobs that a peer had taken over, if no path leads to it any more: their former runs may not have
     * ended yet.
     */
    void announceJobsTakenOverBy(MemberName peer) {
        if (peers.pathTo(peer).isEmpty()) {
            announce(unendedJobs().stream()
                    .filter(job -> ownerOf(job).equals(Optional.of(peer)))
                    .toList());
        }
    }

    private void announceAcceptedJobs() {
        long sinceLast = time.nanoTime() - lastAnnouncementNanos;
        boolean due = peers.reachablePeers().size() < BestEffortTimings.ENTRIES_AT_FULL_RATE
                || sinceLast + BestEffortTimings.REPORT_INTERVAL.toNanos()
                        > BestEffortTimings.MAX_ANNOUNCEMENT_INTERVAL.toNanos();
        if (acceptedJobs.isEmpty() || !due) {
            return;
        }
        lastAnnouncementNanos = time.nanoTime();
        announce(acceptedJobs);
        acceptedJobs.clear();
    }

    /** Announces again the jobs that have not ended since the last repetition; those that end sooner are not repeated. */
    private void repeatAnnouncements() {
        long nowNanos = time.nanoTime();
        if (nowNanos - lastRepetitionNanos < BestEffortTimings.REPEATED_ANNOUNCEMENT_INTERVAL.toNanos()) {
            return;
        }
        lastRepetitionNanos = nowNanos;
        List<JobId> unended = unendedJobs();
        announce(unended.stream()
                .filter(unendedAtLastRepetition::contains)
                .filter(job -> !isTakenOver(job))
                .toList());
        unendedAtLastRepetition = Set.copyOf(unended);
    }

    /** Returns whether a reachable peer has taken over a job of which only former runs are left here. */
    private boolean isTakenOver(JobId job) {
        return !dispatcher.isActive(job)
                && !handovers.isPending(job)
                && ownerOf(job).flatMap(peers::pathTo).isPresent();
    }

    private Optional<MemberName> ownerOf(JobId job) {
        return jobOwners.ownerOf(job, time.nanoTime());
    }

    private void announce(List<JobId> jobs) {
        if (!jobs.isEmpty()) {
            peers.sendToAll(new ShareJobs(jobs));
        }
    }
}
