package org.gypsumflow.command;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/** Remembers which entry took a job last, so that a job that is sent again elsewhere does not run twice at once. */
public final class JobOwnerCache {
    /** How long a job is remembered; longer than any caller waits before sending it again. */
    private static final Duration MEMORY = Duration.ofSeconds(15);
    /** Most jobs remembered; fifteen seconds of three thousand jobs a second. */
    private static final int MOST_JOBS = 45_000;

    private record Taken(MemberName entry, long atNanos) {}

    private final Map<JobId, Taken> jobs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Taken> eldest) {
            return size() > MOST_JOBS;
        }
    };

    private JobOwnerCache() {}

    /**
     * Creates an empty memory.
     *
     * @return the memory
     */
    public static JobOwnerCache create() {
        return new JobOwnerCache();
    }

    /**
     * Remembers that an entry took a job.
     *
     * @param entry the entry
     * @param job the job
     * @param nowNanos monotonic clock
     */
    public void recordAccepted(MemberName entry, JobId job, long nowNanos) {
        jobs.remove(job);
        jobs.put(job, new Taken(entry, nowNanos));
    }

    /**
     * Tells which other entry took a job last.
     *
     * @param job the job
     * @param nowNanos monotonic clock
     * @return the entry, if it took the job not long ago
     */
    public Optional<MemberName> ownerOf(JobId job, long nowNanos) {
        return Optional.ofNullable(jobs.get(job))
                .filter(taken -> nowNanos - taken.atNanos < MEMORY.toNanos())
                .map(Taken::entry);
    }

    /**
     * Forgets a job, since its holder has given it up.
     *
     * @param job the job
     */
    public void remove(JobId job) {
        jobs.remove(job);
    }
}
