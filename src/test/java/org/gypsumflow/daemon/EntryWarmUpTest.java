package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.control.ManualExecutor;
import org.gypsumflow.model.Event;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Load: an entry that has just started on a fraction of a core gets all its callers at once. */
public final class EntryWarmUpTest {
    private static final long LONGER_THAN_THE_WARM_UP_MILLIS = 20_000;

    private ManualExecutor executor;
    private List<Object> completedJobs;
    private int requests;
    private boolean callersHaveCome;

    @BeforeMethod
    public void forgetTheFormerWarmUp() {
        executor = new ManualExecutor();
        completedJobs = new ArrayList<>();
        requests = 0;
        callersHaveCome = false;
    }

    private void startWarmUp(DispatchFeatures features) {
        EntryWarmUp.start(
                executor,
                executor.timeSource(),
                features,
                () -> {
                    requests++;
                    return CompletableFuture.completedFuture(null);
                },
                () -> callersHaveCome,
                (event, details) -> {
                    if (event == Event.WARMED_UP) {
                        completedJobs.add(details[0]);
                    }
                });
    }

    @DataProvider
    public Object[][] features() {
        return new Object[][] {{DispatchFeatures.none()}, {new DispatchFeatures(true, true, true, true, true)}};
    }

    @Test(dataProvider = "features")
    public void allMadeUpJobsCompleteIfNoCallerComes(DispatchFeatures features) {
        startWarmUp(features);
        executor.advance(LONGER_THAN_THE_WARM_UP_MILLIS);
        assertEquals(completedJobs, List.of(EntryWarmUp.JOBS));
        assertTrue(requests > 0);
    }

    @Test
    public void theWarmUpEndsWhenTheFirstCallerComes() {
        startWarmUp(DispatchFeatures.none());
        executor.advance(100);
        callersHaveCome = true;
        executor.advance(100);
        int requestsUntilThen = requests;
        executor.advance(LONGER_THAN_THE_WARM_UP_MILLIS);
        assertEquals(requests, requestsUntilThen);
        assertTrue((int) completedJobs.get(0) < EntryWarmUp.JOBS);
    }
}
