package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Configuration;
import org.gypsumflow.model.ConfigurationVersion;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;

/**
 * Creates plans, which predict the effects of a configuration change on the connected workers and their services.
 *
 * <p>The texts of the steps and risks are stored in the operations stream and must not change between versions.
 */
public final class Planner {
    /** Utilization of the remaining slots, in percent, from which a plan warns that a service has too few of them. */
    private static final int HIGH_UTILIZATION_PERCENT = 80;

    private static final int PERCENT = 100;

    /**
     * State of a connected worker at the time a plan is created.
     *
     * @param worker name of the worker
     * @param zone availability zone of the worker
     * @param service service of the worker's target, empty while no target is announced
     * @param slots maximum number of tasks that run concurrently on the worker
     * @param running number of running tasks
     */
    public record WorkerSnapshot(
            WorkerName worker, AvailabilityZone zone, Optional<ServiceName> service, int slots, int running) {}

    private Planner() {}

    /**
     * Creates a plan from an operator's intent.
     *
     * @param id id of the new plan
     * @param intent the operator's sentence, as {@link IntentParser} accepts it
     * @param operator operator who requests the plan
     * @param state state that the plan is based on
     * @param workers workers that are connected now
     * @param nowMillis wall clock time, in milliseconds since the epoch
     * @param lifetime how long the plan can be confirmed
     * @return the plan, which is not yet proposed in the log
     * @throws org.gypsumflow.model.ValidationException if the intent is not understood
     */
    public static Plan createPlan(
            PlanId id,
            String intent,
            Operator operator,
            OperationsState state,
            List<WorkerSnapshot> workers,
            long nowMillis,
            Duration lifetime) {
        ConfigurationChange change = IntentParser.parse(intent);
        Configuration after = change.applyTo(state.configuration());
        ConfigurationVersion baseVersion = state.configurationVersion();
        List<String> steps = new ArrayList<>();
        List<String> risks = new ArrayList<>();
        describeEffects(change, state.configuration(), after, workers, steps, risks);
        boolean closesLastCapacity = describeCapacity(state.configuration(), after, workers, steps, risks);
        return new Plan(
                id,
                intent,
                change,
                operator,
                baseVersion,
                nowMillis,
                nowMillis + lifetime.toMillis(),
                steps,
                risks,
                closesLastCapacity);
    }

    private static void describeEffects(
            ConfigurationChange change,
            Configuration before,
            Configuration after,
            List<WorkerSnapshot> workers,
            List<String> steps,
            List<String> risks) {
        if (after.equals(before)) {
            risks.add("nothing changes: this is already in force");
        }
        if (change instanceof ConfigurationChange.CloseZone close
                && workers.stream().noneMatch(worker -> worker.zone().equals(close.zone()))) {
            risks.add("no worker of zone \"" + close.zone() + "\" is connected; check the spelling");
        }
        steps.add("record the change of " + change.subject() + " in the platform's log");
        List<WorkerSnapshot> closingWorkers = allowedOnlyBy(workers, before, after);
        if (!closingWorkers.isEmpty()) {
            int running =
                    closingWorkers.stream().mapToInt(WorkerSnapshot::running).sum();
            steps.add(closingWorkers.size() + " workers start nothing new: " + sortedNames(closingWorkers));
            steps.add(running + " running tasks there go on to their end");
        }
        List<WorkerSnapshot> openingWorkers = allowedOnlyBy(workers, after, before);
        if (!openingWorkers.isEmpty()) {
            steps.add(openingWorkers.size() + " workers start tasks again: " + sortedNames(openingWorkers));
        }
    }

    private static List<WorkerSnapshot> allowedOnlyBy(
            List<WorkerSnapshot> workers, Configuration configuration, Configuration other) {
        return workers.stream()
                .filter(isAllowedBy(configuration).and(isAllowedBy(other).negate()))
                .toList();
    }

    private static Predicate<WorkerSnapshot> isAllowedBy(Configuration configuration) {
        return worker -> worker.service().isPresent()
                && configuration.allows(
                        worker.worker(), worker.zone(), worker.service().get());
    }

    private static String sortedNames(List<WorkerSnapshot> workers) {
        return String.join(
                ", ",
                workers.stream().map(worker -> worker.worker().value()).sorted().toList());
    }

    private static boolean describeCapacity(
            Configuration before,
            Configuration after,
            List<WorkerSnapshot> workers,
            List<String> steps,
            List<String> risks) {
        Set<ServiceName> services = new TreeSet<>();
        workers.forEach(worker -> worker.service().ifPresent(services::add));
        boolean closesLastCapacity = false;
        for (ServiceName service : services) {
            List<WorkerSnapshot> serviceWorkers = workers.stream()
                    .filter(worker -> worker.service().filter(service::equals).isPresent())
                    .toList();
            int slotsBefore = openSlots(serviceWorkers, before);
            int slotsAfter = openSlots(serviceWorkers, after);
            int running =
                    serviceWorkers.stream().mapToInt(WorkerSnapshot::running).sum();
            steps.add("service \"" + service + "\" keeps " + slotsAfter + " of " + slotsBefore + " open slots, "
                    + running + " in use now");
            if (slotsAfter == 0 && slotsBefore > 0) {
                closesLastCapacity = true;
                risks.add("service \"" + service + "\" has no open slot left; its jobs will be refused");
            } else if (slotsAfter < slotsBefore && running * PERCENT >= slotsAfter * HIGH_UTILIZATION_PERCENT) {
                risks.add("service \"" + service + "\" has too few slots left for the present load");
            }
        }
        return closesLastCapacity;
    }

    private static int openSlots(List<WorkerSnapshot> workers, Configuration configuration) {
        return workers.stream()
                .filter(isAllowedBy(configuration))
                .mapToInt(WorkerSnapshot::slots)
                .sum();
    }
}
