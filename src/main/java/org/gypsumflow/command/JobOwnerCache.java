package org.gypsumflow.command;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/**
 * Caches which peer accepted a best-effort job last. An entry that receives such a job asks its owner to abandon it
 * before starting it, so that a job sent again to another entry does not run twice at the same time.
 */
public final class JobOwnerCache {
    /** How long a job is cached; longer than any caller waits before sending it again. */
    private static final Duration OWNERSHIP_LIFETIME = Duration.ofSeconds(15);
    /** Maximum number of cached jobs: 15 seconds at 3,000 jobs per second; the oldest are evicted first. */
    private static final int MAX_JOBS = 45_000;

    private record Ownership(MemberName owner, long acceptedNanos) {}

    private final Map<JobId, Ownership> jobs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Ownership> eldest) {
            return size() > MAX_JOBS;
        }
    };

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
     * Records that a peer accepted a job and replaces an earlier owner.
     *
     * @param entry the peer
     * @param job id of the job
     * @param nowNanos current monotonic time
     */
    public void recordAccepted(MemberName entry, JobId job, long nowNanos) {
        jobs.remove(job);
        jobs.put(job, new Ownership(entry, nowNanos));
    }

    /**
     * Returns the peer that accepted a job last.
     *
     * @param job id of the job
     * @param nowNanos current monotonic time
     * @return the owner, or empty if no peer accepted the job within the last 15 seconds
     */
    public Optional<MemberName> ownerOf(JobId job, long nowNanos) {
        return Optional.ofNullable(jobs.get(job))
                .filter(ownership -> nowNanos - ownership.acceptedNanos < OWNERSHIP_LIFETIME.toNanos())
                .map(Ownership::owner);
    }

    /**
     * Removes a job, since its owner has abandoned it; a newer owner is kept.
     *
     * @param job id of the job
     * @param owner the peer that abandoned it
     * @param requestedNanos monotonic time at which it was asked; if it accepted the job again later, it is kept
     */
    public void remove(JobId job, MemberName owner, long requestedNanos) {
        Ownership ownership = jobs.get(job);
        if (ownership != null && ownership.owner.equals(owner) && ownership.acceptedNanos - requestedNanos <= 0) {
            jobs.remove(job);
        }
    }
}
