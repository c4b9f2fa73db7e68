package org.gypsumflow.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class ValidationExceptionTest {
    @Test
    public void aShortProblemIsToldInFull() {
        assertEquals(ValidationException.of("port", "is 0").getMessage(), "field \"port\": is 0");
    }

    // Guards against a log that a value of another writer fills: it was echoed in full.
    @Test
    public void aLongValueLosesItsMiddleAndTheProblemStaysReadable() {
        String message = ValidationException.of(
                        "f".repeat(100_000), "is \"" + "x".repeat(100_000) + "\", but must be an IP address")
                .getMessage();
        assertTrue(message.length() <= 450, "length: " + message.length());
        assertTrue(message.endsWith("xxx\", but must be an IP address"));
    }
}
