package org.gypsumflow.command.sharing;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.gypsumflow.command.sharing.FairShares.Demand;
import org.testng.annotations.Test;

public final class FairSharesTest {
    @Test
    public void everyPartyGetsWhatItAsksForWhileCapacitySuffices() {
        assertEquals(
                FairShares.divide(Map.of("high", new Demand(10, 4), "low", new Demand(30, 1)), 40),
                Map.of("high", 10.0, "low", 30.0));
    }

    @Test
    public void whatOnePartyLeavesIsDividedAmongTheOthersByTheirWeights() {
        assertEquals(
                FairShares.divide(
                        Map.of("high", new Demand(10, 4), "middle", new Demand(90, 2), "low", new Demand(90, 1)), 70),
                Map.of("high", 10.0, "middle", 40.0, "low", 20.0));
    }

    @Test
    public void thePartyOfTheLowestWeightIsGuaranteedItsPartHoweverMuchTheOthersAskFor() {
        assertEquals(
                FairShares.divide(
                        Map.of("high", new Demand(1e6, 4), "middle", new Demand(1e6, 2), "low", new Demand(90, 1)), 70),
                Map.of("high", 40.0, "middle", 20.0, "low", 10.0));
    }
}
