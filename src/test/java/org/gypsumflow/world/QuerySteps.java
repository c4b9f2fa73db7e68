package org.gypsumflow.world;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.Then;
import java.util.List;
import org.gypsumflow.command.PlanState;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.model.Verdict;

/** Steps that check outcomes and state. */
public final class QuerySteps {
    private final ScenarioContext context;

    public QuerySteps(ScenarioContext context) {
        this.context = context;
    }

    @Then("every invariant holds")
    public void everyInvariantHolds() {
        assertEquals(InvariantChecker.violations(context.simulation), List.of());
    }

    @Then("every outcome of {string} is {word}")
    public void everyOutcomeIs(String key, String verdict) {
        List<Request> requests = context.requests(key);
        assertFalse(requests.isEmpty(), "no request with key " + key);
        requests.forEach(request -> assertEquals(request.verdict(), Verdict.valueOf(verdict), request.toString()));
    }

    @Then("the last outcome of {string} is {word}")
    public void lastOutcomeIs(String key, String verdict) {
        Request last = context.lastRequest(key);
        assertEquals(last.verdict(), Verdict.valueOf(verdict), last.toString());
    }

    @Then("the last outcome of {string} is {word} with {word}")
    public void lastErrorIs(String key, String verdict, String code) {
        Request last = context.lastRequest(key);
        assertTrue(last.error != null, last.toString());
        assertEquals(last.error.verdict() + " " + last.error.code(), verdict + " " + code, last.toString());
    }

    @Then("{string} has an outcome")
    public void hasOutcome(String key) {
        assertFalse(
                context.lastRequest(key).isPending(), context.lastRequest(key).toString());
    }

    @Then("{string} has no outcome yet")
    public void hasNoOutcome(String key) {
        assertTrue(
                context.lastRequest(key).isPending(), context.lastRequest(key).toString());
    }

    @Then("{int} tasks of {string} started")
    public void tasksStarted(int count, String key) {
        assertEquals(context.simulation.startsOf(context.lastRequest(key)).size(), count);
    }

    @Then("{int} tasks started in {string} since counting began")
    public void startedInZone(int count, String zone) {
        long starts = context.simulation.taskStarts.stream()
                .filter(start -> start.zone().value().equals(zone) && start.atNanos() >= context.countingFromNanos)
                .count();
        assertEquals(starts, count);
    }

    @Then("some tasks started in {string} since counting began")
    public void someStartedInZone(String zone) {
        assertTrue(context.simulation.taskStarts.stream()
                .anyMatch(start -> start.zone().value().equals(zone) && start.atNanos() >= context.countingFromNanos));
    }

    @Then("{int} tasks started on worker {string} since counting began")
    public void startedOnWorker(int count, String worker) {
        long starts = context.simulation.taskStarts.stream()
                .filter(start -> start.worker().value().equals(worker) && start.atNanos() >= context.countingFromNanos)
                .count();
        assertEquals(starts, count);
    }

    @Then("the confirmation of {string} is accepted")
    public void confirmationIsAccepted(String name) {
        assertTrue(context.confirmedPlanStates.containsKey(name), String.valueOf(context.planErrors.get(name)));
    }

    @Then("the confirmation of {string} is rejected with {word}")
    public void confirmationIsRejected(String name, String code) {
        assertFalse(context.confirmedPlanStates.containsKey(name), "the confirmation was accepted");
        assertTrue(context.planErrors.containsKey(name), "the confirmation has no outcome yet");
        assertEquals(context.planErrors.get(name).code().name(), code);
    }

    @Then("entry {int} reports that {string} is {word}")
    public void planHasStatus(int entry, String name, String status) {
        PlanState state = planState(entry, name);
        assertEquals(state.status().name(), status);
    }

    @Then("entry {int} reports that {string} is in force")
    public void planIsInForce(int entry, String name) {
        assertFalse(planState(entry, name).steps().isEmpty());
    }

    @Then("the zone {string} is closed at entry {int}")
    public void zoneIsClosed(String zone, int entry) {
        assertTrue(context.entry(entry).instance.snapshot().configuration().closedZones().stream()
                .anyMatch(each -> each.value().equals(zone)));
    }

    private PlanState planState(int entry, String name) {
        PlanId id = context.plans.get(name).id();
        return context.entry(entry).instance.snapshot().operations().plan(id).orElseThrow();
    }
}
