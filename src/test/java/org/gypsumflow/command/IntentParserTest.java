package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.Test;

public final class IntentParserTest {
    @Test
    public void knownSentencesAreParsedIntoChanges() {
        assertEquals(
                IntentParser.parse("drain sofia"), new ConfigurationChange.CloseZone(AvailabilityZone.of("sofia")));
        assertEquals(
                IntentParser.parse("stop listings for upgrade"),
                new ConfigurationChange.StopService(ServiceName.of("listings")));
        assertEquals(IntentParser.parse("quota ruseva 80").subject(), "quota ruseva");
    }

    @Test
    public void theErrorForAnUnknownIntentListsTheClosestForms() {
        String message = expectThrows(ValidationException.class, () -> IntentParser.parse("drian sofia"))
                .getMessage();
        assertEquals(message.contains("drain ZONE"), true);
    }

    @Test
    public void anIntentWithTooManyWordsIsRejected() {
        expectThrows(ValidationException.class, () -> IntentParser.parse("drain sofia burgas"));
    }

    @Test
    public void theErrorForAQuotaThatIsNotANumberQuotesIt() {
        String message = expectThrows(ValidationException.class, () -> IntentParser.parse("quota ruseva many"))
                .getMessage();
        assertEquals(message, "field \"quota\": \"many\" is not a whole number");
    }
}
