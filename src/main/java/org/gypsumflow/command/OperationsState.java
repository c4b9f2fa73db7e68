package org.gypsumflow.command;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gypsumflow.command.OperationRecord.ConfirmationSubmitted;
import org.gypsumflow.command.OperationRecord.PlanProposed;
import org.gypsumflow.command.OperationRecord.StateSnapshot;
import org.gypsumflow.command.OperationRecord.StepCompleted;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.PlanId;

/**
 * Holds the configuration and the plans that result from the records of the operations stream; immutable.
 *
 * <p>The state depends only on the records and their order, so every reader of the stream accepts the same
 * confirmations. It includes the reasons why plans are void, whose texts must not change between versions, since
 * snapshots of the state are stored in the stream.
 *
 * @param nextOffset offset of the first record not yet applied
 * @param configuration active configuration
 * @param configurationVersion version of the configuration
 * @param plans plans by id with their status, oldest first, at most {@value #MAX_PLANS}
 * @param lastChanges last accepted change by subject
 */
public record OperationsState(
        long nextOffset,
        Configuration configuration,
        ConfigurationVersion configurationVersion,
        Map<PlanId, PlanState> plans,
        Map<String, LastChange> lastChanges) {
    /** Maximum number of plans that are kept; the oldest are dropped first. */
    public static final int MAX_PLANS = 1000;

    /** The state before the first record. */
    public static final OperationsState EMPTY =
            new OperationsState(0, Configuration.EMPTY, ConfigurationVersion.NONE, Map.of(), Map.of());

    /**
     * The last accepted change of one subject.
     *
     * @param version configuration version that the change produced
     * @param plan id of the plan that contains the change
     * @param operator name of the operator who confirmed the plan
     */
    public record LastChange(ConfigurationVersion version, PlanId plan, String operator) {}

    /**
     * Applies one record.
     *
     * @param offset offset of the record in the stream
     * @param operation the record
     * @return the state after the record; this state if the offset was applied before
     */
    public OperationsState apply(long offset, OperationRecord operation) {
        if (offset < nextOffset) {
            return this;
        }
        OperationsState advanced =
                new OperationsState(offset + 1, configuration, configurationVersion, plans, lastChanges);
        if (operation instanceof PlanProposed proposed) {
            return advanced.withPlan(PlanState.proposed(proposed.plan()));
        }
        if (operation instanceof ConfirmationSubmitted confirmation) {
            return advanced.confirm(offset, confirmation);
        }
        if (operation instanceof StepCompleted completed) {
            return advanced.plan(completed.plan())
                    .map(planState -> advanced.withPlan(planState.withStep(completed.step())))
                    .orElse(advanced);
        }
        return advanced;
    }

    /**
     * Replaces this state by that of a snapshot, if the snapshot includes more records.
     *
     * @param snapshot snapshot from the operations stream
     * @return the snapshot's state if it includes more records than this state, else this state
     */
    public OperationsState installSnapshot(StateSnapshot snapshot) {
        return snapshot.state().nextOffset() > nextOffset ? snapshot.state() : this;
    }

    /**
     * Finds a plan.
     *
     * @param id id of the plan
     * @return the plan and its status, or empty if it was never proposed or has been dropped as too old
     */
    public Optional<PlanState> plan(PlanId id) {
        return Optional.ofNullable(plans.get(id));
    }

    /**
     * Finds a change that conflicts with a plan and makes it void.
     *
     * @param plan a plan that is not accepted
     * @return the last accepted change of the same subject, if it is newer than the plan's base version
     */
    public Optional<LastChange> conflictingChange(Plan plan) {
        return Optional.ofNullable(lastChanges.get(plan.change().subject()))
                .filter(change -> change.version().isAfter(plan.baseVersion()));
    }

    private OperationsState confirm(long offset, ConfirmationSubmitted confirmation) {
        Optional<PlanState> known = plan(confirmation.plan());
        if (known.isEmpty() || known.get().status() != PlanState.Status.PROPOSED) {
            return this;
        }
        PlanState planState = known.get();
        Plan plan = planState.plan();
        if (confirmation.confirmedAtMillis() > plan.expiresAtMillis()) {
            return withPlan(planState.voided(confirmation, "the plan had expired"));
        }
        Optional<LastChange> conflict = conflictingChange(plan);
        if (conflict.isPresent()) {
            return withPlan(planState.voided(confirmation, describeConflict(plan, conflict.get())));
        }
        if (plan.needsOverride() && !confirmation.override()) {
            return this;
        }
        return accept(planState, confirmation, ConfigurationVersion.of(offset + 1));
    }

    private OperationsState accept(
            PlanState planState, ConfirmationSubmitted confirmation, ConfigurationVersion acceptedVersion) {
        Map<String, LastChange> updatedChanges = new HashMap<>(lastChanges);
        ConfigurationChange change = planState.plan().change();
        updatedChanges.put(
                change.subject(),
                new LastChange(
                        acceptedVersion,
                        confirmation.plan(),
                        confirmation.operator().value()));
        return new OperationsState(
                        nextOffset, change.applyTo(configuration), acceptedVersion, plans, Map.copyOf(updatedChanges))
                .withPlan(planState.accepted(confirmation, acceptedVersion));
    }

    private static String describeConflict(Plan plan, LastChange conflict) {
        return "the plan was made against version " + plan.baseVersion() + ", but plan \"" + conflict.plan()
                + "\" confirmed by \"" + conflict.operator() + "\" changed "
                + plan.change().subject() + " in version "
                + conflict.version();
    }

    private OperationsState withPlan(PlanState planState) {
        Map<PlanId, PlanState> updatedPlans = new LinkedHashMap<>(plans);
        updatedPlans.put(planState.plan().id(), planState);
        if (updatedPlans.size() > MAX_PLANS) {
            updatedPlans.remove(updatedPlans.keySet().iterator().next());
        }
        return new OperationsState(
                nextOffset,
                configuration,
                configurationVersion,
                Collections.unmodifiableMap(updatedPlans),
                lastChanges);
    }
}
