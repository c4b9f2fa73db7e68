package org.gypsumflow.query;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.gypsumflow.command.PlanState;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.model.PlanId;

/** Finds plans, with their status and completed steps. */
public final class PlanQuery {
    private PlanQuery() {}

    /**
     * Finds a plan.
     *
     * @param snapshot control state of the entry
     * @param id id of the plan
     * @return the plan and its status, or empty if the entry does not know the plan
     */
    public static Optional<PlanState> find(EntrySnapshot snapshot, PlanId id) {
        return snapshot.operations().plan(id);
    }

    /**
     * Lists the plans that the entry knows.
     *
     * @param snapshot control state of the entry
     * @return the plans, newest first
     */
    public static List<PlanState> history(EntrySnapshot snapshot) {
        List<PlanState> plans = new ArrayList<>(snapshot.operations().plans().values());
        Collections.reverse(plans);
        return plans;
    }
}
