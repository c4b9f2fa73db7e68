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
        cache.recordAccepted(ONE, JOB, 0);
        cache.recordAccepted(TWO, JOB, 1);
        assertEquals(cache.ownerOf(JOB, 2), Optional.of(TWO));
    }

    @Test
    public void aJobIsRemovedAfterItsLifetimeOrWhenAbandoned() {
        JobOwnerCache cache = JobOwnerCache.create();
        cache.recordAccepted(ONE, JOB, 0);
        assertEquals(cache.ownerOf(JOB, Duration.ofSeconds(16).toNanos()), Optional.empty());
        cache.recordAccepted(ONE, JOB, 0);
        cache.remove(JOB, ONE, 0);
        assertEquals(cache.ownerOf(JOB, 1), Optional.empty());
    }

    // Guards against a second start beside that of an entry which accepted the job while the former owner was asked.
    @Test
    public void anOwnerThatAcceptedAJobAfterTheRequestToTheFormerOneIsKept() {
        JobOwnerCache cache = JobOwnerCache.create();
        cache.recordAccepted(ONE, JOB, 0);
        cache.recordAccepted(TWO, JOB, 1);
        cache.remove(JOB, ONE, 2);
        assertEquals(cache.ownerOf(JOB, 2), Optional.of(TWO));
        cache.recordAccepted(ONE, JOB, 3);
        cache.remove(JOB, ONE, 2);
        assertEquals(cache.ownerOf(JOB, 3), Optional.of(ONE));
    }
}
