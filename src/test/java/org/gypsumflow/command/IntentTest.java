package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.Test;

public final class IntentTest {
    @Test
    public void theOperatorsWordsAreUnderstood() {
        assertEquals(Intent.parse("drain sofia"), new Change.CloseZone(AvailabilityZone.of("sofia")));
        assertEquals(Intent.parse("stop listings for upgrade"), new Change.StopService(ServiceName.of("listings")));
        assertEquals(Intent.parse("quota ruseva 80").subject(), "quota ruseva");
    }

    @Test
    public void anIntentThatIsNotUnderstoodIsAnsweredWithTheClosestOnes() {
        String message = expectThrows(ValidationException.class, () -> Intent.parse("drian sofia"))
                .getMessage();
        assertEquals(message.contains("drain ZONE"), true);
    }

    @Test
    public void tooManyWordsAreRefused() {
        expectThrows(ValidationException.class, () -> Intent.parse("drain sofia burgas"));
    }

    @Test
    public void aQuotaThatIsNoNumberIsNamed() {
        String message = expectThrows(ValidationException.class, () -> Intent.parse("quota ruseva many"))
                .getMessage();
        assertEquals(message, "field \"quota\": \"many\" is not a whole number");
    }
}
