package org.gypsumflow.bench.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.gypsumflow.bench.load.LoadReport.OutcomeCategory;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.testng.annotations.Test;

public final class LoadPatternTest {
    private static LoadReport play(String pattern, long seed) {
        return LoadSimulation.simulate(LoadPattern.all().get(pattern), EarliestFinishPlacement.policy(), seed);
    }

    @Test
    public void nearlyAllJobsEndInTimeAtASteadyLoadOfTwoThirds() {
        assertTrue(play("steady-65", 1).valueRatio() > 0.97);
    }

    @Test
    public void nearlyAllJobsEndInTimeOnWorkersOfThreeSpeeds() {
        assertTrue(play("three-speeds-65", 1).valueRatio() > 0.97);
    }

    @Test
    public void mostShortWideJobsEndInTimeAtASteadyLoadOfFiveSixths() {
        assertTrue(play("steady-85", 1).valueRatioOf("short") > 0.8);
    }

    @Test
    public void workersThatFailEverythingCostLittle() {
        assertTrue(play("failing-workers", 1).valueRatio() > 0.95);
    }

    @Test
    public void workersThatHangCostLittle() {
        assertTrue(play("hanging-workers", 1).valueRatio() > 0.95);
    }

    @Test
    public void aLostZoneCostsNoMoreThanItsShareOfTheCapacityAndTheTime() {
        double shareOfCapacity = 0.28;
        double shareOfTime = 22.0 / 30;
        assertTrue(play("zone-lost", 1).valueRatio() > 1 - shareOfCapacity * shareOfTime);
    }

    @Test
    public void jobsOfTheHighestPriorityAreNotTheFirstToSufferFromOverload() {
        LoadReport report = play("overload", 1);
        assertTrue(report.valueRatioOf("short") > 0.45, report.text());
    }

    @Test
    public void anOverloadRefusesAtOnceRatherThanAnswersLate() {
        LoadReport report = play("overload", 1);
        assertTrue(report.count(OutcomeCategory.EXPIRED) + report.count(OutcomeCategory.FAILED)
                < report.count(OutcomeCategory.REJECTED) / 10);
    }

    @Test
    public void theSameSeedGivesTheSameFigures() {
        assertEquals(play("steady-85", 7).text(), play("steady-85", 7).text());
    }
}
