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
    private static final Operator NIGHT = Operator.of("night");
    private static final long EXPIRY = 1000;

    private static PlanProposed plan(String id, String intent, long base, boolean needsOverride) {
        return new PlanProposed(new Plan(
                PlanId.of(id),
                intent,
                IntentParser.parse(intent),
                NIGHT,
                ConfigurationVersion.of(base),
                0,
                EXPIRY,
                List.of(),
                List.of(),
                needsOverride));
    }

    private static ConfirmationSubmitted confirm(String id, boolean override, long atMillis) {
        return new ConfirmationSubmitted(PlanId.of(id), NIGHT, "nonce-" + id, override, atMillis);
    }

    private static OperationsState fold(OperationRecord... operations) {
        OperationsState state = OperationsState.EMPTY;
        for (OperationRecord operation : operations) {
            state = state.apply(state.nextOffset(), operation);
        }
        return state;
    }

    private static Status standing(OperationsState state, String id) {
        return state.plan(PlanId.of(id)).orElseThrow().status();
    }

    @Test
    public void aConfirmedPlanChangesTheConfiguration() {
        OperationsState state = fold(plan("one", "drain sofia", 0, false), confirm("one", false, 1));
        assertEquals(state.configuration().closedZones().toString(), "[sofia]");
        assertEquals(state.configurationVersion(), ConfigurationVersion.of(2));
    }

    @Test
    public void nothingHappensBeforeTheConfirmation() {
        assertEquals(fold(plan("one", "drain sofia", 0, false)).configurationVersion(), ConfigurationVersion.NONE);
    }

    @Test
    public void ofTwoOperatorsWhoRaceTheSecondIsToldWhoCameFirst() {
        OperationsState state = fold(
                plan("one", "drain sofia", 0, false),
                plan("two", "drain burgas", 0, false),
                confirm("one", false, 1),
                confirm("two", false, 2));
        assertEquals(standing(state, "two"), Status.VOID);
        assertEquals(
                state.plan(PlanId.of("two")).orElseThrow().voidReason(),
                "the plan was made against version 0, but plan \"one\" confirmed by \"night\" changed zones in version 3");
        assertEquals(state.configuration().closedZones().toString(), "[sofia]");
    }

    @Test
    public void changesOfDifferentThingsDoNotConflict() {
        OperationsState state = fold(
                plan("one", "drain sofia", 0, false),
                plan("two", "stop listings", 0, false),
                confirm("one", false, 1),
                confirm("two", false, 2));
        assertEquals(standing(state, "two"), Status.ACCEPTED);
    }

    @Test
    public void anExpiredPlanIsVoid() {
        OperationsState state = fold(plan("one", "drain sofia", 0, false), confirm("one", false, EXPIRY + 1));
        assertEquals(standing(state, "one"), Status.VOID);
    }

    @Test
    public void aConfirmationThatLandsTwiceCountsOnce() {
        OperationsState state =
                fold(plan("one", "drain sofia", 0, false), confirm("one", false, 1), confirm("one", false, 1));
        assertEquals(state.configurationVersion(), ConfigurationVersion.of(2));
    }

    @Test
    public void thePlanThatClosesTheLastCapacityNeedsTheOverride() {
        OperationsState without = fold(plan("one", "drain sofia", 0, true), confirm("one", false, 1));
        assertEquals(standing(without, "one"), Status.PROPOSED);
        OperationsState with = fold(plan("one", "drain sofia", 0, true), confirm("one", true, 1));
        assertEquals(standing(with, "one"), Status.ACCEPTED);
    }

    @Test
    public void aReaderThatComesAfterTheOldestRecordsExpiredLearnsEverythingFromTheSnapshot() {
        OperationsState before = fold(plan("one", "drain sofia", 0, false), confirm("one", false, 1));
        OperationsProjection follower = OperationsProjection.create();
        follower.skipTruncated(2);
        assertEquals(follower.hasGap(), true);
        follower.apply(2, 0, plan("two", "stop listings", 2, false));
        follower.apply(3, 0, new StateSnapshot(before));
        follower.apply(4, 0, confirm("two", false, 2));
        assertEquals(follower.hasGap(), false);
        assertEquals(follower.state().configuration().closedZones(), java.util.Set.of(AvailabilityZone.of("sofia")));
        assertEquals(follower.state().configuration().stoppedServices().toString(), "[listings]");
    }

    @Test
    public void aReaderWithoutASnapshotTrustsNothing() {
        OperationsProjection follower = OperationsProjection.create();
        follower.skipTruncated(2);
        follower.apply(2, 0, confirm("one", false, 1));
        assertEquals(follower.hasGap(), true);
    }
}
