package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.testng.annotations.Test;

public final class PeerJobsTest {
    private static final JobId JOB = JobId.of("00000000000000aa");
    private static final MemberName ONE = MemberName.of("one");
    private static final MemberName TWO = MemberName.of("two");

    @Test
    public void theEntryThatTookAJobLastHoldsIt() {
        PeerJobs jobs = PeerJobs.create();
        jobs.taken(ONE, JOB, 0);
        jobs.taken(TWO, JOB, 1);
        assertEquals(jobs.holder(JOB, 2), Optional.of(TWO));
    }

    @Test
    public void aJobIsForgottenAfterAWhileOrWhenGivenUp() {
        PeerJobs jobs = PeerJobs.create();
        jobs.taken(ONE, JOB, 0);
        assertEquals(jobs.holder(JOB, Duration.ofSeconds(16).toNanos()), Optional.empty());
        jobs.taken(ONE, JOB, 0);
        jobs.forget(JOB);
        assertEquals(jobs.holder(JOB, 1), Optional.empty());
    }
}
