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

/** Works out what a change will do to the workers that are there now. */
public final class Planner {
    /** Share of the remaining slots in use, in percent, from which a plan warns. */
    private static final int CROWDED_PERCENT = 80;

    private static final int PERCENT = 100;

    /**
     * What the plan must know of a worker.
     *
     * @param worker the worker
     * @param zone its availability zone
     * @param service service of its target, empty while none is there
     * @param slots how many tasks may run there at once
     * @param running number of tasks running
     */
    public record WorkerSnapshot(
            WorkerName worker, AvailabilityZone zone, Optional<ServiceName> service, int slots, int running) {}

    private Planner() {}

    /**
     * Makes a plan.
     *
     * @param id name of the plan
     * @param intent the operator's words
     * @param operator who asks
     * @param state configuration to change
     * @param workers workers that are there now
     * @param nowMillis wall clock, in milliseconds since the epoch
     * @param life how long the plan can be confirmed
     * @return the plan
     */
    public static Plan createPlan(
            PlanId id,
            String intent,
            Operator operator,
            OperationsState state,
            List<WorkerSnapshot> workers,
            long nowMillis,
            Duration life) {
        ConfigurationChange change = IntentParser.parse(intent);
        Configuration after = change.applyTo(state.configuration());
        ConfigurationVersion base = state.configurationVersion();
        List<String> steps = new ArrayList<>();
        List<String> risks = new ArrayList<>();
        describe(change, state.configuration(), after, workers, steps, risks);
        boolean lastCapacity = describeCapacity(state.configuration(), after, workers, steps, risks);
        return new Plan(
                id, intent, change, operator, base, nowMillis, nowMillis + life.toMillis(), steps, risks, lastCapacity);
    }

    private static void describe(
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
        List<WorkerSnapshot> closing = changed(workers, before, after);
        if (!closing.isEmpty()) {
            int running = closing.stream().mapToInt(WorkerSnapshot::running).sum();
            steps.add(closing.size() + " workers start nothing new: " + names(closing));
            steps.add(running + " running tasks there go on to their end");
        }
        List<WorkerSnapshot> opening = changed(workers, after, before);
        if (!opening.isEmpty()) {
            steps.add(opening.size() + " workers start tasks again: " + names(opening));
        }
    }

    private static List<WorkerSnapshot> changed(List<WorkerSnapshot> workers, Configuration from, Configuration to) {
        return workers.stream().filter(allowed(from).and(allowed(to).negate())).toList();
    }

    private static Predicate<WorkerSnapshot> allowed(Configuration configuration) {
        return worker -> worker.service().isPresent()
                && configuration.allows(
                        worker.worker(), worker.zone(), worker.service().get());
    }

    private static String names(List<WorkerSnapshot> workers) {
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
        boolean lastCapacity = false;
        for (ServiceName service : services) {
            List<WorkerSnapshot> all = workers.stream()
                    .filter(worker -> worker.service().filter(service::equals).isPresent())
                    .toList();
            int slotsBefore = slots(all, before);
            int slotsAfter = slots(all, after);
            int running = all.stream().mapToInt(WorkerSnapshot::running).sum();
            steps.add("service \"" + service + "\" keeps " + slotsAfter + " of " + slotsBefore + " open slots, "
                    + running + " in use now");
            if (slotsAfter == 0 && slotsBefore > 0) {
                lastCapacity = true;
                risks.add("service \"" + service + "\" has no open slot left; its jobs will be refused");
            } else if (slotsAfter < slotsBefore && running * PERCENT >= slotsAfter * CROWDED_PERCENT) {
                risks.add("service \"" + service + "\" has too few slots left for the present load");
            }
        }
        return lastCapacity;
    }

    private static int slots(List<WorkerSnapshot> workers, Configuration configuration) {
        return workers.stream()
                .filter(allowed(configuration))
                .mapToInt(WorkerSnapshot::slots)
                .sum();
    }
}
