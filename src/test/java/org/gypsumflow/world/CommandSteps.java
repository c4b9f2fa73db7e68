package org.gypsumflow.world;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import org.gypsumflow.control.ControlSettings;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.world.World.AgentProcess;
import org.gypsumflow.world.World.EntryProcess;

/** Steps that make something happen. */
public final class CommandSteps {
    private static final int TASK_MILLIS = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final Stage stage;

    public CommandSteps(Stage stage) {
        this.stage = stage;
    }

    @Given("{int} entries and {int} workers in each of {string}")
    public void system(int entries, int workers, String zones) {
        String[] names = zones.split(", ", -1);
        for (int index = 1; index <= entries; index++) {
            stage.world.startEntry("entry-" + index, names[index % names.length]);
        }
        for (String zone : names) {
            for (int index = 1; index <= workers; index++) {
                stage.world.startAgent(zone + "-" + index, zone);
            }
        }
        stage.world.run(Duration.ofSeconds(3));
    }

    @Given("the log keeps records for {int} seconds and everything is repeated every {int} seconds")
    public void retention(int seconds, int repeatSeconds) {
        stage.world.log.setRetention(Duration.ofSeconds(seconds));
        ControlSettings standard = ControlSettings.defaults();
        stage.world.control = new ControlSettings(
                standard.heartbeatInterval(),
                standard.heartbeatTimeout(),
                standard.logPollInterval(),
                standard.maxConfigurationAge(),
                standard.logTimeout(),
                standard.announceInterval(),
                standard.memberExpiry(),
                Duration.ofSeconds(repeatSeconds),
                standard.planLifetime());
    }

    @When("{int} seconds pass")
    public void pass(int seconds) {
        stage.world.run(Duration.ofSeconds(seconds));
    }

    @When("{int} milliseconds pass")
    public void passMillis(int millis) {
        stage.world.run(Duration.ofMillis(millis));
    }

    @When("a caller submits {string} of {int} tasks at entry {int}")
    public void submit(String key, int tasks, int entry) {
        stage.world.submit(stage.entry(entry), stage.keyOf(key), tasks, TASK_MILLIS, TIMEOUT);
    }

    @When("a caller submits {string} of {int} tasks of {int} ms at entry {int}")
    public void submitLong(String key, int tasks, int millis, int entry) {
        stage.world.submit(stage.entry(entry), stage.keyOf(key), tasks, millis, TIMEOUT);
    }

    @When("a caller submits {string} of {int} tasks at entry {int} and wants the answer within {int} seconds")
    public void submitUrgent(String key, int tasks, int entry, int seconds) {
        stage.world.submit(stage.entry(entry), stage.keyOf(key), tasks, TASK_MILLIS, Duration.ofSeconds(seconds));
    }

    @When("a caller submits {string} of {int} tasks at its owner")
    public void submitAtOwner(String key, int tasks) {
        stage.world.submit(stage.ownerOf(key), stage.keyOf(key), tasks, TASK_MILLIS, TIMEOUT);
    }

    @When("a caller submits {string} of {int} tasks at an entry that does not own it")
    public void submitElsewhere(String key, int tasks) {
        EntryProcess other = stage.otherThan(stage.ownerOf(key));
        stage.world.submit(other, stage.keyOf(key), tasks, TASK_MILLIS, Duration.ofSeconds(6));
    }

    @When("the caller resubmits {string} at entry {int}")
    public void resubmit(String key, int entry) {
        Request first = stage.requests(key).get(0);
        stage.world.submit(stage.entry(entry), stage.keyOf(key), first.job.payloads(), first.job.timeout());
    }

    @When("the caller resubmits {string} at another live entry")
    public void resubmitElsewhere(String key) {
        Request first = stage.requests(key).get(0);
        EntryProcess origin = stage.world.entries.values().stream()
                .filter(entry -> entry.node == first.entry)
                .findFirst()
                .orElseThrow();
        stage.world.submit(stage.otherThan(origin), stage.keyOf(key), first.job.payloads(), first.job.timeout());
    }

    @When("a caller submits {string} of {int} tasks again with another body at entry {int}")
    public void submitOtherBody(String key, int tasks, int entry) {
        stage.world.submit(stage.entry(entry), stage.keyOf(key), tasks, TASK_MILLIS + 1, TIMEOUT);
    }

    @When("a caller fetches a ticket {string} from entry {int}")
    public void fetchTicket(String name, int entry) {
        stage.tickets.put(
                name, stage.entry(entry).node.issueTickets(World.RUSEVA, 1).get(0));
    }

    @When("the claim of {string} stands in the log")
    public void claimStands(String key) {
        stage.runUntil(() -> stage.claimStands(key));
    }

    @When("the first task of {string} has started")
    public void firstTaskStarted(String key) {
        stage.runUntil(() -> stage.hasStarted(key));
    }

    @When("the owner of {string} is killed")
    public void killOwner(String key) {
        stage.world.kill(stage.ownerOf(key), true);
    }

    @When("the owner of {string} is paused")
    public void pauseOwner(String key) {
        EntryProcess owner = stage.ownerOf(key);
        owner.process.pause();
        stage.confirmed.clear();
        stage.tickets.put("paused entry", owner.name);
    }

    @When("the paused entry wakes up")
    public void wakeOwner() {
        stage.world.entries.get(stage.tickets.get("paused entry")).process.resume();
    }

    @When("entry {int} is paused")
    public void pauseEntry(int entry) {
        stage.entry(entry).process.pause();
    }

    @When("entry {int} wakes up")
    public void wakeEntry(int entry) {
        stage.entry(entry).process.resume();
    }

    @When("entry {int} is killed")
    public void killEntry(int entry) {
        stage.world.kill(stage.entry(entry), true);
    }

    @When("entry {int} starts again")
    public void restartEntry(int entry) {
        EntryProcess process = stage.entry(entry);
        stage.world.startEntry(process.name, process.zone.value());
    }

    @When("every entry is killed at once")
    public void killAllEntries() {
        List.copyOf(stage.world.entries.values()).forEach(entry -> stage.world.kill(entry, true));
    }

    @When("entry {int} is asked to leave")
    public void leaveEntry(int entry) {
        stage.world.leave(stage.entry(entry));
    }

    @When("worker {string} is asked to leave")
    public void leaveWorker(String worker) {
        stage.world.leave(stage.worker(worker));
    }

    @When("the target of worker {string} is leaving")
    public void leaveTarget(String worker) {
        AgentProcess agent = stage.worker(worker);
        agent.leaving = true;
        agent.node.control().deregisterTarget();
    }

    @When("the target of worker {string} announces itself")
    public void announceTarget(String worker) {
        AgentProcess agent = stage.worker(worker);
        agent.node.control().registerTarget(agent.service);
    }

    @When("worker {string} restarts")
    public void restartWorker(String worker) {
        AgentProcess agent = stage.worker(worker);
        stage.world.kill(agent, true);
        stage.world.startAgent(worker, agent.zone.value());
    }

    @When("worker {string} is paused")
    public void pauseWorker(String worker) {
        stage.worker(worker).process.pause();
    }

    @When("worker {string} wakes up")
    public void wakeWorker(String worker) {
        stage.worker(worker).process.resume();
    }

    @When("the connections between entry {int} and worker {string} go silent in one direction")
    public void silenceOneWay(int entry, String worker) {
        stage.world.network.silence(stage.entry(entry).process, stage.worker(worker).process, false);
    }

    @When("the connections between entry {int} and worker {string} go silent in both directions")
    public void silenceBothWays(int entry, String worker) {
        stage.world.network.silence(stage.entry(entry).process, stage.worker(worker).process, true);
    }

    @When("entry {int} is cut off from the log and from the other entries")
    public void cutOff(int entry) {
        EntryProcess lonely = stage.entry(entry);
        lonely.cutFromLog = true;
        for (EntryProcess other : stage.world.entries.values()) {
            if (other != lonely) {
                stage.world.network.cut(lonely.process, other.process);
            }
        }
    }

    @When("entry {int} cannot reach worker {string}")
    public void cutWorker(int entry, String worker) {
        stage.world.network.cut(stage.entry(entry).process, stage.worker(worker).process);
    }

    @When("the log is out")
    public void logOut() {
        stage.world.log.setOut(true);
    }

    @When("the log is back")
    public void logBack() {
        stage.world.log.setOut(false);
    }

    @When("every answer of the log is lost after the write")
    public void loseAnswers() {
        stage.world.log.setLoseAnswer(1);
    }

    @When("the log answers again")
    public void answerAgain() {
        stage.world.log.setLoseAnswer(0);
    }

    @When("writes of the log take {int} seconds")
    public void slowLog(int seconds) {
        stage.world.log.setWriteTime(Duration.ofSeconds(seconds));
    }

    @When("the target of worker {string} fails everything")
    public void failTarget(String worker) {
        stage.worker(worker).target.behave(FakeTarget.Mode.FAIL);
    }

    @When("the target of worker {string} takes no connection")
    public void unreachableTarget(String worker) {
        stage.worker(worker).target.behave(FakeTarget.Mode.UNREACHABLE);
    }

    @When("operator {string} plans {string} at entry {int} as {string}")
    public void plan(String operator, String intent, int entry, String name) {
        stage.entry(entry)
                .node
                .operations()
                .createPlan(intent, Operator.of(operator))
                .whenComplete((plan, failure) -> {
                    stage.plans.put(name, plan);
                    if (failure != null) {
                        stage.refused.put(name, RequestException.errorOf(failure));
                    }
                });
        stage.world.run(Duration.ofMillis(100));
    }

    @When("operator {string} confirms {string} at entry {int}")
    public void confirm(String operator, String name, int entry) {
        stage.entry(entry)
                .node
                .operations()
                .confirmPlan(stage.plans.get(name).id(), Operator.of(operator), false)
                .whenComplete((state, failure) -> {
                    if (failure == null) {
                        stage.confirmed.put(name, state);
                    } else {
                        stage.refused.put(name, RequestException.errorOf(failure));
                    }
                });
    }

    @When("from here on it counts")
    public void mark() {
        stage.markNanos = stage.world.clock.nanos();
    }
}
