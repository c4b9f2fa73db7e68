package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.testng.annotations.Test;

public final class JobOwnerCacheTest {
    private static final JobId JOB = JobId.of("00000000000000aa");
    private static final MemberName ONE = MemberName.of("one");
    private static final MemberName TWO = MemberName.of("two");

    @Test
    public void theEntryThatAcceptedAJobLastIsItsOwner() {
        JobOwnerCache cache = JobOwnerCache.create();
        cache.recordOwner(ONE, JOB, 0);
        cache.recordOwner(TWO, JOB, 1);
        assertEquals(cache.ownerOf(JOB, 2), Optional.of(TWO));
    }

    @Test
    public void aJobIsRemovedAfterItsLifetimeOrWhenAbandoned() {
        JobOwnerCache cache = JobOwnerCache.create();
        cache.recordOwner(ONE, JOB, 0);
        assertEquals(cache.ownerOf(JOB, Duration.ofSeconds(16).toNanos()), Optional.empty());
        cache.recordOwner(ONE, JOB, 0);
        cache.remove(JOB, ONE, 0);
        assertEquals(cache.ownerOf(JOB, 1), Optional.empty());
    }

    // Guards against a second start beside that of an entry which accepted the job while the former owner was asked.
    @Test
    public void anOwnerThatAcceptedAJobAfterTheRequestToTheFormerOneIsKept() {
        JobOwnerCache cache = JobOwnerCache.create();
        cache.recordOwner(ONE, JOB, 0);
        cache.recordOwner(TWO, JOB, 1);
        cache.remove(JOB, ONE, 2);
        assertEquals(cache.ownerOf(JOB, 2), Optional.of(TWO));
        cache.recordOwner(ONE, JOB, 3);
        cache.remove(JOB, ONE, 2);
        assertEquals(cache.ownerOf(JOB, 3), Optional.of(ONE));
    }

    // Guards against two runs of one task: an owner was forgotten when many other jobs had been accepted since.
    @Test
    public void anOwnerIsNotForgottenBeforeItsLifetimeHoweverManyJobsAreAnnounced() {
        JobOwnerCache cache = JobOwnerCache.create();
        cache.recordOwner(ONE, JOB, 0);
        for (int other = 1; other <= 60_000; other++) {
            cache.recordOwner(TWO, JobId.of(String.format("%016x", 0xf000_0000L + other)), other);
        }
        assertEquals(cache.ownerOf(JOB, 60_001), Optional.of(ONE));
    }

    @Test
    public void anOwnerThatAnnouncesItsJobAgainIsKept() {
        JobOwnerCache cache = JobOwnerCache.create();
        long halfLifetime =
                BestEffortTimings.JOB_OWNERSHIP_LIFETIME.dividedBy(2).toNanos();
        for (long nowNanos = 0; nowNanos < 10 * halfLifetime; nowNanos += halfLifetime) {
            cache.recordOwner(ONE, JOB, nowNanos);
        }
        assertEquals(cache.ownerOf(JOB, 10 * halfLifetime), Optional.of(ONE));
        assertEquals(cache.ownerOf(JOB, 12 * halfLifetime), Optional.empty());
    }
}
