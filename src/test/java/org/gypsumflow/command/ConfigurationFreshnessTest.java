package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.time.Duration;
import org.gypsumflow.model.Incarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ConfigurationFreshnessTest {
    private static final Incarnation LEFT = Incarnation.of("left");
    private static final Incarnation RIGHT = Incarnation.of("right");
    private ConfigurationFreshness freshness;

    @BeforeMethod
    public void createFreshness() {
        freshness = ConfigurationFreshness.create();
    }

    private static long seconds(int seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }

    @Test
    public void theConfigurationHasNoAgeBeforeTheLogWasRead() {
        freshness.recordPeerReply(LEFT, seconds(1), null);
        assertNull(freshness.age(2, seconds(1)));
    }

    @Test
    public void theAgeCountsFromWhenTheReadRequestWasSent() {
        freshness.recordLogRead(seconds(1));
        assertEquals(freshness.age(3, seconds(4)), Duration.ofSeconds(3));
    }

    @Test
    public void aPeerThatReadTheLogConfirmsTheConfigurationOfThisEntry() {
        freshness.recordLogRead(seconds(1));
        freshness.recordPeerReply(LEFT, seconds(10), Duration.ofSeconds(2));
        assertEquals(freshness.age(5, seconds(10)), Duration.ofSeconds(2));
    }

    @Test
    public void repliesOfAMajorityConfirmTheConfigurationWhileTheLogIsUnavailable() {
        freshness.recordLogRead(seconds(1));
        freshness.recordPeerReply(LEFT, seconds(99), null);
        assertEquals(freshness.age(3, seconds(100)), Duration.ofSeconds(1));
    }

    @Test
    public void repliesConfirmTheConfigurationOnlyIfTheyComeFromAMajority() {
        freshness.recordLogRead(seconds(1));
        freshness.recordPeerReply(LEFT, seconds(99), null);
        assertEquals(freshness.age(5, seconds(100)), Duration.ofSeconds(99));
        freshness.recordPeerReply(RIGHT, seconds(98), null);
        assertEquals(freshness.age(5, seconds(100)), Duration.ofSeconds(2));
    }
}
