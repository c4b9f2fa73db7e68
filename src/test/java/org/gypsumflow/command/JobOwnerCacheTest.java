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
    public void theEntryThatTookAJobLastHoldsIt() {
        JobOwnerCache jobs = JobOwnerCache.create();
        jobs.recordAccepted(ONE, JOB, 0);
        jobs.recordAccepted(TWO, JOB, 1);
        assertEquals(jobs.ownerOf(JOB, 2), Optional.of(TWO));
    }

    @Test
    public void aJobIsForgottenAfterAWhileOrWhenGivenUp() {
        JobOwnerCache jobs = JobOwnerCache.create();
        jobs.recordAccepted(ONE, JOB, 0);
        assertEquals(jobs.ownerOf(JOB, Duration.ofSeconds(16).toNanos()), Optional.empty());
        jobs.recordAccepted(ONE, JOB, 0);
        jobs.remove(JOB);
        assertEquals(jobs.ownerOf(JOB, 1), Optional.empty());
    }
}
