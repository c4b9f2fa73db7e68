package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.gypsumflow.model.Incarnation;
import org.testng.annotations.Test;

public final class CreditAllocatorTest {
    private static final Incarnation LEFT = Incarnation.of("left");
    private static final Incarnation RIGHT = Incarnation.of("right");

    @Test
    public void slotsAreAllocatedEvenlyWhileNoTaskWaits() {
        assertEquals(CreditAllocator.allocate(8, Map.of(LEFT, 0, RIGHT, 0)), Map.of(LEFT, 4, RIGHT, 4));
    }

    @Test
    public void mostSlotsGoToTheEntryWhereTasksWait() {
        assertEquals(CreditAllocator.allocate(8, Map.of(LEFT, 100, RIGHT, 0)), Map.of(LEFT, 7, RIGHT, 1));
    }

    @Test
    public void anEntryGetsNoSlotThatAnotherEntryUses() {
        Map<Incarnation, Integer> shares = CreditAllocator.allocate(8, Map.of(LEFT, 100, RIGHT, 0), Map.of(RIGHT, 4));
        assertEquals(shares.get(LEFT), Integer.valueOf(4));
    }

    @Test
    public void everyEntryGetsASlotEvenIfThereAreMoreEntriesThanSlots() {
        assertEquals(CreditAllocator.allocate(1, Map.of(LEFT, 0, RIGHT, 0)), Map.of(LEFT, 1, RIGHT, 1));
    }
}
