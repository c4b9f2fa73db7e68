package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.gypsumflow.model.Resources;
import org.testng.annotations.Test;

public final class UrgentReserveTest {
    private static final Resources CAPACITY = Resources.of(32_000, 1000, 2);
    private static final Resources AVAILABLE = Resources.of(5000, 100, 1);

    @Test
    public void anUrgentTaskMayUseAllAvailableCapacity() {
        assertEquals(UrgentReserve.usableCapacity(AVAILABLE, CAPACITY, Duration.ofMillis(100)), AVAILABLE);
    }

    @Test
    public void aTaskWithSlackLeavesAShareOfTheCpuFree() {
        assertEquals(
                UrgentReserve.usableCapacity(AVAILABLE, CAPACITY, Duration.ofMillis(500)), Resources.of(1000, 100, 1));
    }
}
