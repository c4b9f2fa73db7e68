package org.gypsumflow.command;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.gypsumflow.command.OperationRecord.ConfirmationSubmitted;
import org.gypsumflow.command.OperationRecord.PlanProposed;
import org.gypsumflow.command.OperationRecord.StateSnapshot;
import org.gypsumflow.command.PlanState.Status;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;
import org.testng.annotations.Test;

public final class OperationsStateTest {
    private static final Operator NIGHT_OPERATOR = Operator.of("night");
    private static final long EXPIRES_AT_MILLIS = 1000;

    private static PlanProposed plan(String id, String intent, long baseVersion, boolean needsOverride) {
        return new PlanProposed(new Plan(
                PlanId.of(id),
                intent,
                IntentParser.parse(intent),
                NIGHT_OPERATOR,
                ConfigurationVersion.of(baseVersion),
                0,
                EXPIRES_AT_MILLIS,
                List.of(),
                List.of(),
                needsOverride));
    }

    private static ConfirmationSubmitted confirm(String id, boolean override, long atMillis) {
        return new ConfirmationSubmitted(PlanId.of(id), NIGHT_OPERATOR, "nonce-" + id, override, atMillis);
    }

    private static OperationsState apply(OperationRecord... operations) {
        OperationsState state = OperationsState.EMPTY;
        for (OperationRecord operation : operations) {
            state = state.apply(state.nextOffset(), operation);
        }
        return state;
    }

    private static Status status(OperationsState state, String id) {
        return state.plan(PlanId.of(id)).orElseThrow().status();
    }

    @Test
    public void aConfirmedPlanChangesTheConfiguration() {
        OperationsState state = apply(plan("one", "drain sofia", 0, false), confirm("one", false, 1));
        assertEquals(state.configuration().closedZones().toString(), "[sofia]");
        assertEquals(state.configurationVersion(), ConfigurationVersion.of(2));
    }

    @Test
    public void aPlanHasNoEffectBeforeItIsConfirmed() {
        assertEquals(apply(plan("one", "drain sofia", 0, false)).configurationVersion(), ConfigurationVersion.NONE);
    }

    @Test
    public void ofTwoConflictingConfirmationsTheSecondIsToldWhoConfirmedFirst() {
        OperationsState state = apply(
                plan("one", "drain sofia", 0, false),
                plan("two", "drain burgas", 0, false),
                confirm("one", false, 1),
                confirm("two", false, 2));
        assertEquals(status(state, "two"), Status.VOID);
        assertEquals(
                state.plan(PlanId.of("two")).orElseThrow().voidReason(),
                "the plan was made against version 0, but plan \"one\" confirmed by \"night\" changed zones in version 3");
        assertEquals(state.configuration().closedZones().toString(), "[sofia]");
    }

    @Test
    public void changesOfDifferentSubjectsDoNotConflict() {
        OperationsState state = apply(
                plan("one", "drain sofia", 0, false),
                plan("two", "stop listings", 0, false),
                confirm("one", false, 1),
                confirm("two", false, 2));
        assertEquals(status(state, "two"), Status.ACCEPTED);
    }

    @Test
    public void aPlanThatIsConfirmedAfterItsExpiryIsVoid() {
        OperationsState state =
                apply(plan("one", "drain sofia", 0, false), confirm("one", false, EXPIRES_AT_MILLIS + 1));
        assertEquals(status(state, "one"), Status.VOID);
    }

    @Test
    public void aConfirmationThatIsLoggedTwiceCountsOnce() {
        OperationsState state =
                apply(plan("one", "drain sofia", 0, false), confirm("one", false, 1), confirm("one", false, 1));
        assertEquals(state.configurationVersion(), ConfigurationVersion.of(2));
    }

    @Test
    public void aPlanThatClosesTheLastCapacityNeedsTheOverride() {
        OperationsState withoutOverride = apply(plan("one", "drain sofia", 0, true), confirm("one", false, 1));
        assertEquals(status(withoutOverride, "one"), Status.PROPOSED);
        OperationsState withOverride = apply(plan("one", "drain sofia", 0, true), confirm("one", true, 1));
        assertEquals(status(withOverride, "one"), Status.ACCEPTED);
    }

    @Test
    public void aSnapshotReplacesRecordsThatTheLogDeletedBeforeTheyWereRead() {
        OperationsState snapshotState = apply(plan("one", "drain sofia", 0, false), confirm("one", false, 1));
        OperationsProjection projection = OperationsProjection.create();
        projection.skipTruncated(2);
        assertEquals(projection.hasGap(), true);
        projection.apply(2, 0, plan("two", "stop listings", 2, false));
        projection.apply(3, 0, new StateSnapshot(snapshotState));
        projection.apply(4, 0, confirm("two", false, 2));
        assertEquals(projection.hasGap(), false);
        assertEquals(projection.state().configuration().closedZones(), java.util.Set.of(AvailabilityZone.of("sofia")));
        assertEquals(projection.state().configuration().stoppedServices().toString(), "[listings]");
    }

    @Test
    public void aGapRemainsUntilASnapshotIsRead() {
        OperationsProjection projection = OperationsProjection.create();
        projection.skipTruncated(2);
        projection.apply(2, 0, confirm("one", false, 1));
        assertEquals(projection.hasGap(), true);
    }
}
