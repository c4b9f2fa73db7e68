package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.ValidationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class BestEffortSettingsTest {
    private static final String AGENT = String.join(
            "\n",
            "role = \"agent\"",
            "name = \"side-sofia-1\"",
            "zone = \"sofia\"",
            "host = \"10.1.0.14\"",
            "port = 7720",
            "[dispatch]",
            "store-address = \"10.200.1.7:8169\"",
            "callers-address = \"\"",
            "readiness-address = \"\"",
            "reports-address = \"10.1.0.14:8166\"",
            "worker-address = \"10.1.0.14:8165\"",
            "grace-seconds = 6");

    private static BestEffortSettings read(String text) {
        return BestEffortSettings.read(SettingsReader.parse(text));
    }

    @Test
    public void settingsOfTheOtherRoleMayBeEmpty() {
        BestEffortSettings settings = read(AGENT);
        assertEquals(settings.self().role(), Member.Role.AGENT);
        assertEquals(settings.reportsAddress().getPort(), 8166);
        assertEquals(settings.gracePeriod().toSeconds(), 6);
    }

    @Test
    public void settingsWithoutTheDispatchTableAreOfTheOtherKind() {
        assertTrue(BestEffortSettings.isPresentIn(SettingsReader.parse(AGENT)));
        assertFalse(BestEffortSettings.isPresentIn(SettingsReader.parse("role = \"agent\"")));
    }

    @Test
    public void metricsAreServedOnlyWhereAnAddressIsGiven() {
        assertTrue(read(AGENT).metricsAddress().isEmpty());
        BestEffortSettings settings = read(AGENT + "\nmetrics-address = \"10.1.0.14:9464\"");
        assertEquals(settings.metricsAddress().orElseThrow().getPort(), 9464);
    }

    @Test
    public void eachFeatureIsOffUnlessTheSettingsSwitchItOn() {
        assertEquals(read(AGENT).features(), DispatchFeatures.none());
        String settings = AGENT + "\noverload-control = true\njob-balancing = true\ncapacity-sharing = true"
                + "\ninterference-avoidance = true\nprompt-call-recovery = true";
        assertEquals(read(settings).features(), new DispatchFeatures(true, true, true, true, true));
    }

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {AGENT.replace("\"agent\"", "\"king\""), "role"},
            {AGENT.replace("10.1.0.14:8166", "10.1.0.14"), "dispatch.reports-address"},
            {AGENT.replace("grace-seconds = 6", "grace-seconds = 0"), "dispatch.grace-seconds"},
            {AGENT.replace("store-address", "store-adress"), "dispatch.store-address"},
            {AGENT + "\nmood = 1", "dispatch.mood"},
            {AGENT + "\noverload-control = \"yes\"", "dispatch.overload-control"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void anInvalidSettingIsRejectedByName(String text, String name) {
        ValidationException error = expectThrows(ValidationException.class, () -> read(text));
        assertTrue(error.getMessage().contains(name), error.getMessage());
    }
}
