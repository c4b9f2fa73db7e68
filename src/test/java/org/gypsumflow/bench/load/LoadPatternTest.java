package org.gypsumflow.bench.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.gypsumflow.bench.load.LoadReport.OutcomeCategory;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.testng.annotations.Test;

public final class LoadPatternTest {
    private static final DispatchFeatures CAPACITY_SHARING = new DispatchFeatures(false, false, true, false, false);
    private static final long[] SEEDS = {1, 2};

    private static LoadReport simulate(String pattern, long seed) {
        return simulate(pattern, DispatchFeatures.none(), seed);
    }

    private static LoadReport simulate(String pattern, DispatchFeatures features, long seed) {
        return LoadSimulation.simulate(
                LoadPattern.all().get(pattern), EarliestFinishPlacement.policy(), features, seed);
    }

    private static double mean(String pattern, DispatchFeatures features, ToDoubleFunction<LoadReport> figure) {
        return LongStream.of(SEEDS)
                .mapToObj(seed -> simulate(pattern, features, seed))
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }

    private static void assertSharingServesBetter(String pattern, ToDoubleFunction<LoadReport> figure) {
        double before = mean(pattern, DispatchFeatures.none(), figure);
        double after = mean(pattern, CAPACITY_SHARING, figure);
        assertTrue(after > before, after + " after " + before);
    }

    @Test
    public void nearlyAllValueIsEarnedAtASteadyLoadOfTwoThirds() {
        assertTrue(simulate("steady-65", 1).valueRatio() > 0.97);
    }

    @Test
    public void nearlyAllValueIsEarnedOnWorkersOfThreeSpeeds() {
        assertTrue(simulate("three-speeds-65", 1).valueRatio() > 0.97);
    }

    @Test
    public void mostValueOfShortJobsIsEarnedAtASteadyLoadOfFiveSixths() {
        assertTrue(simulate("steady-85", 1).valueRatioOf("short") > 0.8);
    }

    @Test
    public void workersThatFailAllTasksCostLittleValue() {
        assertTrue(simulate("failing-workers", 1).valueRatio() > 0.95);
    }

    @Test
    public void workersThatHangCostLittleValue() {
        assertTrue(simulate("hanging-workers", 1).valueRatio() > 0.95);
    }

    @Test
    public void aFailedZoneCostsNoMoreThanItsShareOfTheCapacityAndTime() {
        double shareOfCapacity = 0.28;
        double shareOfTime = 22.0 / 30;
        assertTrue(simulate("zone-lost", 1).valueRatio() > 1 - shareOfCapacity * shareOfTime);
    }

    @Test
    public void jobsOfTheHighestPriorityAreNotTheFirstToSufferFromOverload() {
        LoadReport report = simulate("overload", 1);
        assertTrue(report.valueRatioOf("short") > 0.45, report.text());
    }

    @Test
    public void anOverloadRejectsJobsInsteadOfFinishingThemAfterTheHardDeadline() {
        LoadReport report = simulate("overload", 1);
        assertTrue(report.count(OutcomeCategory.EXPIRED) + report.count(OutcomeCategory.FAILED)
                < report.count(OutcomeCategory.REJECTED) / 10);
    }

    @Test
    public void theSameSeedGivesTheSameReport() {
        assertEquals(simulate("steady-85", 7).text(), simulate("steady-85", 7).text());
    }

    @Test
    public void sharingEarnsMoreInABurstOfOneKind() {
        assertSharingServesBetter("burst-of-one-kind", LoadReport::valueRatio);
    }

    @Test
    public void sharingServesTheWorstKindBetterInABurstOfTwoKinds() {
        assertSharingServesBetter("burst-of-two-kinds", LoadReport::worstKindValueRatio);
    }

    @Test
    public void sharingServesTheWorstKindBetterInWaves() {
        assertSharingServesBetter("waves", LoadReport::worstKindValueRatio);
    }

    @Test
    public void sharingServesTheWorstKindBetterWhenAKeyGetsHalfOfAKind() {
        assertSharingServesBetter("hot-key", LoadReport::worstKindValueRatio);
    }

    @Test
    public void sharingServesTheWorstKindBetterWhenCallersLeave() {
        assertSharingServesBetter("overload-cancel-wave", LoadReport::worstKindValueRatio);
    }

    @Test
    public void sharingServesTheWorstKindBetterInAnOverloadOfAll() {
        assertSharingServesBetter("overload", LoadReport::worstKindValueRatio);
    }

    @Test
    public void sharingServesTheWorstZoneBetterWhenOneEntryGetsMostOfAnOverload() {
        assertSharingServesBetter("uneven-overload", LoadReport::worstZoneValueRatio);
    }

    @Test
    public void theLargestTenthOfEachKindIsServedAtLeastHalfAsOftenAsItsKindInAnOverload() {
        double halfAsOften = 0.5;
        assertTrue(mean("overload", CAPACITY_SHARING, LoadReport::worstLargestTenthRatio) > halfAsOften);
    }

    @Test
    public void sharingChangesNothingWhileCapacitySufficesForAll() {
        assertEquals(
                simulate("steady-65", CAPACITY_SHARING, 1).valueRatio(),
                simulate("steady-65", 1).valueRatio(),
                0.005);
    }

    @Test
    public void kindsThatSlowEachOtherDownBy1Point8AreKeptApartAtHalfLoad() {
        LoadReport apart = simulate("interfering-kinds-50-avoidance", 1);
        assertTrue(apart.believedPairs() > 0);
        assertTrue(apart.valueRatio() > simulate("interfering-kinds-50", 1).valueRatio() + 0.05, apart.text());
    }

    @Test
    public void kindsThatDoNotDisturbEachOtherArePlacedAsWithoutAvoidance() {
        for (String load : List.of("steady-65", "steady-85")) {
            assertEquals(
                    simulate(load + "-avoidance", 1).text(), simulate(load, 1).text());
        }
    }

    // Guards against interference that makes workers look full, so that jobs are rejected for it.
    @Test
    public void atFullLoadNoMoreJobsAreRejectedBecauseKindsDisturbEachOther() {
        int rejected = simulate("interfering-kinds-100-avoidance", 1).count(OutcomeCategory.REJECTED);
        int rejectedWithout = simulate("interfering-kinds-100", 1).count(OutcomeCategory.REJECTED);
        assertTrue(rejected <= rejectedWithout, rejected + " and " + rejectedWithout);
    }
}
