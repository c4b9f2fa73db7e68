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
 * Folds the operations stream into configuration, plans and outcomes, as one immutable value.
 *
 * <p>The fold depends on the records and their order only, so every reader accepts the same confirmations.
 *
 * @param nextOffset offset of the first record not yet folded
 * @param configuration configuration in force
 * @param configurationVersion version of the configuration
 * @param plans plans by id, oldest first, at most {@value #MAX_PLANS}
 * @param lastChanges last accepted change by subject
 */
public record OperationsState(
        long nextOffset,
        Configuration configuration,
        ConfigurationVersion configurationVersion,
        Map<PlanId, PlanState> plans,
        Map<String, LastChange> lastChanges) {
    /** Most plans remembered; the oldest are forgotten first. */
    public static final int MAX_PLANS = 1000;

    /** State before the first record. */
    public static final OperationsState EMPTY =
            new OperationsState(0, Configuration.EMPTY, ConfigurationVersion.NONE, Map.of(), Map.of());

    /**
     * The last accepted change of one subject.
     *
     * @param version configuration version that it brought
     * @param plan plan that it came from
     * @param operator who confirmed it
     */
    public record LastChange(ConfigurationVersion version, PlanId plan, String operator) {}

    /**
     * Folds one record.
     *
     * @param offset offset of the record
     * @param operation the record
     * @return the state after it; this state if the record was folded before
     */
    public OperationsState apply(long offset, OperationRecord operation) {
        if (offset < nextOffset) {
            return this;
        }
        OperationsState moved =
                new OperationsState(offset + 1, configuration, configurationVersion, plans, lastChanges);
        if (operation instanceof PlanProposed made) {
            return moved.withPlan(PlanState.proposed(made.plan()));
        }
        if (operation instanceof ConfirmationSubmitted confirmed) {
            return moved.confirm(offset, confirmed);
        }
        if (operation instanceof StepCompleted reported) {
            return moved.plan(reported.plan())
                    .map(state -> moved.withPlan(state.withStep(reported.step())))
                    .orElse(moved);
        }
        return moved;
    }

    /**
     * Adopts a snapshot that holds more records than this state.
     *
     * @param snapshot the snapshot
     * @return the snapshot's state if it is ahead of this one, else this one
     */
    public OperationsState installSnapshot(StateSnapshot snapshot) {
        return snapshot.state().nextOffset() > nextOffset ? snapshot.state() : this;
    }

    /**
     * Finds a plan.
     *
     * @param id the plan
     * @return the plan and what became of it
     */
    public Optional<PlanState> plan(PlanId id) {
        return Optional.ofNullable(plans.get(id));
    }

    /**
     * Finds the change that makes a plan void.
     *
     * @param plan the plan
     * @return an accepted change of the same subject that came after the plan was made
     */
    public Optional<LastChange> conflictingChange(Plan plan) {
        return Optional.ofNullable(lastChanges.get(plan.change().subject()))
                .filter(change -> change.version().isAfter(plan.baseVersion()));
    }

    private OperationsState confirm(long offset, ConfirmationSubmitted confirmed) {
        Optional<PlanState> known = plan(confirmed.plan());
        if (known.isEmpty() || known.get().status() != PlanState.Status.PROPOSED) {
            return this;
        }
        PlanState state = known.get();
        Plan plan = state.plan();
        if (confirmed.confirmedAtMillis() > plan.expiresAtMillis()) {
            return withPlan(state.voided(confirmed, "the plan had expired"));
        }
        Optional<LastChange> conflict = conflictingChange(plan);
        if (conflict.isPresent()) {
            return withPlan(state.voided(confirmed, describe(plan, conflict.get())));
        }
        if (plan.needsOverride() && !confirmed.override()) {
            return this;
        }
        return accept(state, confirmed, ConfigurationVersion.of(offset + 1));
    }

    private OperationsState accept(PlanState state, ConfirmationSubmitted confirmed, ConfigurationVersion accepted) {
        Map<String, LastChange> changes = new HashMap<>(lastChanges);
        ConfigurationChange change = state.plan().change();
        changes.put(
                change.subject(),
                new LastChange(accepted, confirmed.plan(), confirmed.operator().value()));
        return new OperationsState(nextOffset, change.applyTo(configuration), accepted, plans, Map.copyOf(changes))
                .withPlan(state.accepted(confirmed, accepted));
    }

    private static String describe(Plan plan, LastChange first) {
        return "the plan was made against version " + plan.baseVersion() + ", but plan \"" + first.plan()
                + "\" confirmed by \"" + first.operator() + "\" changed "
                + plan.change().subject() + " in version "
                + first.version();
    }

    private OperationsState withPlan(PlanState state) {
        Map<PlanId, PlanState> changed = new LinkedHashMap<>(plans);
        changed.put(state.plan().id(), state);
        if (changed.size() > MAX_PLANS) {
            changed.remove(changed.keySet().iterator().next());
        }
        return new OperationsState(
                nextOffset, configuration, configurationVersion, Collections.unmodifiableMap(changed), lastChanges);
    }
}
