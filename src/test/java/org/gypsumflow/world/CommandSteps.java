package org.gypsumflow.world;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import org.gypsumflow.control.ControlSettings;
import org.gypsumflow.model.Operator;
import org.gypsumflow.model.RequestException;
import org.gypsumflow.world.Simulation.AgentProcess;
import org.gypsumflow.world.Simulation.EntryProcess;

/** Steps that change the simulated system. */
public final class CommandSteps {
    private static final int TASK_MILLIS = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final ScenarioContext context;

    public CommandSteps(ScenarioContext context) {
        this.context = context;
    }

    @Given("{int} entries and {int} workers in each of {string}")
    public void startSystem(int entries, int workers, String zones) {
        String[] names = zones.split(", ", -1);
        for (int index = 1; index <= entries; index++) {
            context.simulation.startEntry("entry-" + index, names[index % names.length]);
        }
        for (String zone : names) {
            for (int index = 1; index <= workers; index++) {
                context.simulation.startAgent(zone + "-" + index, zone);
            }
        }
        context.simulation.advance(Duration.ofSeconds(3));
    }

    @Given("the log keeps records for {int} seconds and a snapshot is written every {int} seconds")
    public void setRetention(int seconds, int repeatSeconds) {
        context.simulation.log.setRetention(Duration.ofSeconds(seconds));
        ControlSettings standard = ControlSettings.defaults();
        context.simulation.controlSettings = new ControlSettings(
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
    public void advanceSeconds(int seconds) {
        context.simulation.advance(Duration.ofSeconds(seconds));
    }

    @When("{int} milliseconds pass")
    public void advanceMillis(int millis) {
        context.simulation.advance(Duration.ofMillis(millis));
    }

    @When("a caller submits {string} of {int} tasks at entry {int}")
    public void submit(String key, int tasks, int entry) {
        context.simulation.submit(context.entry(entry), context.keyOf(key), tasks, TASK_MILLIS, TIMEOUT);
    }

    @When("a caller submits {string} of {int} tasks of {int} ms at entry {int}")
    public void submitWithDuration(String key, int tasks, int millis, int entry) {
        context.simulation.submit(context.entry(entry), context.keyOf(key), tasks, millis, TIMEOUT);
    }

    @When("a caller submits {string} of {int} tasks at entry {int} with a timeout of {int} seconds")
    public void submitWithTimeout(String key, int tasks, int entry, int seconds) {
        context.simulation.submit(
                context.entry(entry), context.keyOf(key), tasks, TASK_MILLIS, Duration.ofSeconds(seconds));
    }

    @When("a caller submits {string} of {int} tasks at its owner")
    public void submitAtOwner(String key, int tasks) {
        context.simulation.submit(context.ownerOf(key), context.keyOf(key), tasks, TASK_MILLIS, TIMEOUT);
    }

    @When("a caller submits {string} of {int} tasks at an entry that does not own it")
    public void submitAtNonOwner(String key, int tasks) {
        EntryProcess other = context.otherRunningEntry(context.ownerOf(key));
        context.simulation.submit(other, context.keyOf(key), tasks, TASK_MILLIS, Duration.ofSeconds(6));
    }

    @When("the caller resubmits {string} at entry {int}")
    public void resubmit(String key, int entry) {
        Request first = context.requests(key).get(0);
        context.simulation.submit(context.entry(entry), context.keyOf(key), first.job.payloads(), first.job.timeout());
    }

    @When("the caller resubmits {string} at another live entry")
    public void resubmitElsewhere(String key) {
        Request first = context.requests(key).get(0);
        EntryProcess origin = context.simulation.entries.values().stream()
                .filter(entry -> entry.instance == first.entry)
                .findFirst()
                .orElseThrow();
        context.simulation.submit(
                context.otherRunningEntry(origin), context.keyOf(key), first.job.payloads(), first.job.timeout());
    }

    @When("a caller submits {string} of {int} tasks again with another body at entry {int}")
    public void submitOtherBody(String key, int tasks, int entry) {
        context.simulation.submit(context.entry(entry), context.keyOf(key), tasks, TASK_MILLIS + 1, TIMEOUT);
    }

    @When("a caller fetches a ticket {string} from entry {int}")
    public void fetchTicket(String name, int entry) {
        context.tickets.put(
                name,
                context.entry(entry).instance.issueTickets(Simulation.RUSEVA, 1).get(0));
    }

    @When("the claim of {string} is in the log")
    public void awaitLoggedClaim(String key) {
        context.runUntil(() -> context.isClaimLogged(key));
    }

    @When("the first task of {string} has started")
    public void awaitFirstStart(String key) {
        context.runUntil(() -> context.hasStarted(key));
    }

    @When("the owner of {string} is killed")
    public void killOwner(String key) {
        context.simulation.kill(context.ownerOf(key), true);
    }

    @When("the owner of {string} is paused")
    public void pauseOwner(String key) {
        EntryProcess owner = context.ownerOf(key);
        owner.process.pause();
        context.confirmedPlanStates.clear();
        context.tickets.put("paused entry", owner.name);
    }

    @When("the paused entry resumes")
    public void resumePausedEntry() {
        context.simulation
                .entries
                .get(context.tickets.get("paused entry"))
                .process
                .resume();
    }

    @When("entry {int} is paused")
    public void pauseEntry(int entry) {
        context.entry(entry).process.pause();
    }

    @When("entry {int} resumes")
    public void resumeEntry(int entry) {
        context.entry(entry).process.resume();
    }

    @When("entry {int} is killed")
    public void killEntry(int entry) {
        context.simulation.kill(context.entry(entry), true);
    }

    @When("entry {int} starts again")
    public void restartEntry(int entry) {
        EntryProcess process = context.entry(entry);
        context.simulation.startEntry(process.name, process.zone.value());
    }

    @When("every entry is killed at once")
    public void killAllEntries() {
        List.copyOf(context.simulation.entries.values()).forEach(entry -> context.simulation.kill(entry, true));
    }

    @When("entry {int} is shut down gracefully")
    public void shutDownEntry(int entry) {
        context.simulation.shutDown(context.entry(entry));
    }

    @When("worker {string} is shut down gracefully")
    public void shutDownWorker(String worker) {
        context.simulation.shutDown(context.worker(worker));
    }

    @When("the target of worker {string} deregisters")
    public void deregisterTarget(String worker) {
        AgentProcess agent = context.worker(worker);
        agent.draining = true;
        agent.instance.control().deregisterTarget();
    }

    @When("the target of worker {string} registers again")
    public void registerTarget(String worker) {
        AgentProcess agent = context.worker(worker);
        agent.instance.control().registerTarget(agent.service);
    }

    @When("worker {string} restarts")
    public void restartWorker(String worker) {
        AgentProcess agent = context.worker(worker);
        context.simulation.kill(agent, true);
        context.simulation.startAgent(worker, agent.zone.value());
    }

    @When("worker {string} is paused")
    public void pauseWorker(String worker) {
        context.worker(worker).process.pause();
    }

    @When("worker {string} resumes")
    public void resumeWorker(String worker) {
        context.worker(worker).process.resume();
    }

    @When("the connections between entry {int} and worker {string} drop all messages in one direction")
    public void dropMessagesOneWay(int entry, String worker) {
        context.simulation.network.dropMessages(context.entry(entry).process, context.worker(worker).process, false);
    }

    @When("the connections between entry {int} and worker {string} drop all messages in both directions")
    public void dropMessagesBothWays(int entry, String worker) {
        context.simulation.network.dropMessages(context.entry(entry).process, context.worker(worker).process, true);
    }

    @When("entry {int} is cut off from the log and from the other entries")
    public void isolateEntry(int entry) {
        EntryProcess isolated = context.entry(entry);
        isolated.logUnreachable = true;
        for (EntryProcess other : context.simulation.entries.values()) {
            if (other != isolated) {
                context.simulation.network.partition(isolated.process, other.process);
            }
        }
    }

    @When("entry {int} cannot reach worker {string}")
    public void partitionEntryFromWorker(int entry, String worker) {
        context.simulation.network.partition(context.entry(entry).process, context.worker(worker).process);
    }

    @When("the log is unavailable")
    public void makeLogUnavailable() {
        context.simulation.log.setUnavailable(true);
    }

    @When("the log is available again")
    public void makeLogAvailable() {
        context.simulation.log.setUnavailable(false);
    }

    @When("every response of the log is lost after the write")
    public void loseLogResponses() {
        context.simulation.log.setLostResponseProbability(1);
    }

    @When("responses of the log arrive again")
    public void deliverLogResponses() {
        context.simulation.log.setLostResponseProbability(0);
    }

    @When("log writes take {int} seconds")
    public void delayLogWrites(int seconds) {
        context.simulation.log.setWriteDelay(Duration.ofSeconds(seconds));
    }

    @When("the target of worker {string} fails every task")
    public void failTarget(String worker) {
        context.worker(worker).target.setMode(FakeTarget.Mode.FAIL);
    }

    @When("the target of worker {string} refuses connections")
    public void makeTargetUnreachable(String worker) {
        context.worker(worker).target.setMode(FakeTarget.Mode.UNREACHABLE);
    }

    @When("operator {string} plans {string} at entry {int} as {string}")
    public void plan(String operator, String intent, int entry, String name) {
        context.entry(entry)
                .instance
                .operations()
                .createPlan(intent, Operator.of(operator))
                .whenComplete((plan, failure) -> {
                    context.plans.put(name, plan);
                    if (failure != null) {
                        context.planErrors.put(name, RequestException.errorOf(failure));
                    }
                });
        context.simulation.advance(Duration.ofMillis(100));
    }

    @When("operator {string} confirms {string} at entry {int}")
    public void confirm(String operator, String name, int entry) {
        context.entry(entry)
                .instance
                .operations()
                .confirmPlan(context.plans.get(name).id(), Operator.of(operator), false)
                .whenComplete((state, failure) -> {
                    if (failure == null) {
                        context.confirmedPlanStates.put(name, state);
                    } else {
                        context.planErrors.put(name, RequestException.errorOf(failure));
                    }
                });
    }

    @When("starts are counted from here on")
    public void startCounting() {
        context.countingFromNanos = context.simulation.clock.nanos();
    }
}
