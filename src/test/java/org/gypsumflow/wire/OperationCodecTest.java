package org.gypsumflow.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.gypsumflow.command.IntentParser;
import org.gypsumflow.command.OperationRecord;
import org.gypsumflow.command.OperationRecord.ConfirmationSubmitted;
import org.gypsumflow.command.OperationRecord.PlanProposed;
import org.gypsumflow.command.OperationRecord.StateSnapshot;
import org.gypsumflow.command.OperationRecord.StepCompleted;
import org.gypsumflow.command.OperationsState;
import org.gypsumflow.command.Plan;
import org.gypsumflow.command.PlanState.Step;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class OperationCodecTest {
    private static final Operator NIGHT = Operator.of("night");

    private static PlanProposed plan(String intent) {
        PlanId id = PlanId.of(intent.replace(' ', '-'));
        return new PlanProposed(new Plan(
                id,
                intent,
                IntentParser.parse(intent),
                NIGHT,
                ConfigurationVersion.of(4),
                1,
                2,
                List.of("step"),
                List.of("risk"),
                true));
    }

    @DataProvider
    public static Object[][] intents() {
        return new Object[][] {
            {"drain sofia"},
            {"open sofia"},
            {"stop listings"},
            {"start listings"},
            {"quarantine worker-1"},
            {"release worker-1"},
            {"quota ruseva 80"},
            {"rule outage go-on"},
        };
    }

    @Test(dataProvider = "intents")
    public void everyPlanIsDecodedAsItWasEncoded(String intent) {
        assertEquals(OperationCodec.decode(OperationCodec.encode(plan(intent))), plan(intent));
    }

    @Test
    public void aSnapshotContainsEverythingThatWasApplied() {
        PlanProposed proposed = plan("drain sofia");
        PlanId id = proposed.plan().id();
        OperationsState state = OperationsState.EMPTY
                .apply(0, proposed)
                .apply(1, new ConfirmationSubmitted(id, NIGHT, "nonce", true, 1))
                .apply(2, new StepCompleted(id, new Step("in force", 5, "all")));
        OperationRecord snapshot = new StateSnapshot(state);
        assertEquals(OperationCodec.decode(OperationCodec.encode(snapshot)), snapshot);
    }

    @Test
    public void invalidBytesAreRejected() {
        expectThrows(IllegalArgumentException.class, () -> OperationCodec.decode(new byte[] {1, 2, 3}));
    }
}
