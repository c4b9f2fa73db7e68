package org.gypsumflow.command;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/**
 * Caches which peer announced a best-effort job last. An entry that receives such a job asks its owner to abandon it
 * before starting it, so that a job sent again to another entry does not run twice at the same time.
 *
 * <p>An owner repeats its announcement while a run of the job may be left. Only a job without an announcement for {@link
 * BestEffortTimings#JOB_OWNERSHIP_LIFETIME} is evicted: however many jobs there are, none of a live owner is.
 */
public final class JobOwnerCache {
    private record Ownership(MemberName owner, long announcedNanos) {
        private boolean hasExpired(long nowNanos) {
            return nowNanos - announcedNanos >= BestEffortTimings.JOB_OWNERSHIP_LIFETIME.toNanos();
        }
    }

    /** Ownerships in the order of their last announcements. */
    private final Map<JobId, Ownership> jobs = new LinkedHashMap<>();

    private JobOwnerCache() {}

    /**
     * Creates an empty cache.
     *
     * @return the cache
     */
    public static JobOwnerCache create() {
        return new JobOwnerCache();
    }

    /**
     * Records that a peer announced a job, and replaces an earlier owner.
     *
     * @param owner the peer
     * @param job id of the job
     * @param nowNanos current monotonic time
     */
    public void recordOwner(MemberName owner, JobId job, long nowNanos) {
        evictExpired(nowNanos);
        jobs.remove(job);
        jobs.put(job, new Ownership(owner, nowNanos));
    }

    /**
     * Returns the peer that announced a job last.
     *
     * @param job id of the job
     * @param nowNanos current monotonic time
     * @return the owner, or empty if no peer announced the job within the lifetime of an ownership
     */
    public Optional<MemberName> ownerOf(JobId job, long nowNanos) {
        return Optional.ofNullable(jobs.get(job))
                .filter(ownership -> !ownership.hasExpired(nowNanos))
                .map(Ownership::owner);
    }

    /**
     * Removes a job, since its owner has abandoned it; a newer owner is kept.
     *
     * @param job id of the job
     * @param owner the peer that abandoned it
     * @param requestedNanos monotonic time at which it was asked; if it announced the job again later, it is kept
     */
    public void remove(JobId job, MemberName owner, long requestedNanos) {
        Ownership ownership = jobs.get(job);
        if (ownership != null && ownership.owner.equals(owner) && ownership.announcedNanos - requestedNanos <= 0) {
            jobs.remove(job);
        }
    }

    private void evictExpired(long nowNanos) {
        Iterator<Ownership> oldestFirst = jobs.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().hasExpired(nowNanos)) {
            oldestFirst.remove();
        }
    }
}
