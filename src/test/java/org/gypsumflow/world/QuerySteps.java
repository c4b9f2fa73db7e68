package org.gypsumflow.world;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.Then;
import java.util.List;
import org.gypsumflow.command.PlanState;
import org.gypsumflow.model.PlanId;
import org.gypsumflow.model.Verdict;

/** Steps that look at what happened. */
public final class QuerySteps {
    private final Stage stage;

    public QuerySteps(Stage stage) {
        this.stage = stage;
    }

    @Then("every promise holds")
    public void everyPromiseHolds() {
        assertEquals(Promises.broken(stage.world), List.of());
    }

    @Then("every answer to {string} is {word}")
    public void everyAnswerIs(String key, String verdict) {
        List<Request> requests = stage.requests(key);
        assertFalse(requests.isEmpty(), "nobody asked for " + key);
        requests.forEach(request -> assertEquals(request.verdict(), Verdict.valueOf(verdict), request.toString()));
    }

    @Then("the last answer to {string} is {word}")
    public void lastAnswerIs(String key, String verdict) {
        Request last = stage.last(key);
        assertEquals(last.verdict(), Verdict.valueOf(verdict), last.toString());
    }

    @Then("the last answer to {string} is {word} with {word}")
    public void lastRefusalIs(String key, String verdict, String code) {
        Request last = stage.last(key);
        assertTrue(last.refusal != null, last.toString());
        assertEquals(last.refusal.verdict() + " " + last.refusal.code(), verdict + " " + code, last.toString());
    }

    @Then("{string} was answered")
    public void wasAnswered(String key) {
        assertFalse(stage.last(key).isOpen(), stage.last(key).toString());
    }

    @Then("{string} has no answer yet")
    public void hasNoAnswer(String key) {
        assertTrue(stage.last(key).isOpen(), stage.last(key).toString());
    }

    @Then("{int} tasks of {string} started")
    public void tasksStarted(int count, String key) {
        assertEquals(stage.world.startsOf(stage.last(key)).size(), count);
    }

    @Then("{int} tasks started in {string} since it counts")
    public void startedInZone(int count, String zone) {
        long starts = stage.world.journal.stream()
                .filter(start -> start.zone().value().equals(zone) && start.atNanos() >= stage.markNanos)
                .count();
        assertEquals(starts, count);
    }

    @Then("some tasks started in {string} since it counts")
    public void someStartedInZone(String zone) {
        assertTrue(stage.world.journal.stream()
                .anyMatch(start -> start.zone().value().equals(zone) && start.atNanos() >= stage.markNanos));
    }

    @Then("{int} tasks started on worker {string} since it counts")
    public void startedOnWorker(int count, String worker) {
        long starts = stage.world.journal.stream()
                .filter(start -> start.worker().value().equals(worker) && start.atNanos() >= stage.markNanos)
                .count();
        assertEquals(starts, count);
    }

    @Then("the confirmation of {string} is accepted")
    public void accepted(String name) {
        assertTrue(stage.confirmed.containsKey(name), String.valueOf(stage.refused.get(name)));
    }

    @Then("the confirmation of {string} is refused as {word}")
    public void refused(String name, String code) {
        assertFalse(stage.confirmed.containsKey(name), "it was accepted");
        assertTrue(stage.refused.containsKey(name), "no answer yet");
        assertEquals(stage.refused.get(name).code().name(), code);
    }

    @Then("entry {int} says that {string} is {word}")
    public void planStanding(int entry, String name, String standing) {
        PlanState state = state(entry, name);
        assertEquals(state.status().name(), standing);
    }

    @Then("entry {int} says that {string} is in force")
    public void planInForce(int entry, String name) {
        assertFalse(state(entry, name).steps().isEmpty());
    }

    @Then("the zone {string} is closed at entry {int}")
    public void zoneIsClosed(String zone, int entry) {
        assertTrue(stage.entry(entry).node.snapshot().configuration().closedZones().stream()
                .anyMatch(each -> each.value().equals(zone)));
    }

    private PlanState state(int entry, String name) {
        PlanId id = stage.plans.get(name).id();
        return stage.entry(entry).node.snapshot().operations().plan(id).orElseThrow();
    }
}
