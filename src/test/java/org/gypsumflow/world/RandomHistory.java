package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.gypsumflow.model.Operator;
import org.gypsumflow.world.Simulation.AgentProcess;
import org.gypsumflow.world.Simulation.EntryProcess;

/** Simulates jobs, operator commands and faults that are drawn from a seed. */
final class RandomHistory {
    private static final Operator OPERATOR = Operator.of("night");
    private static final String[] ZONES = {"plovdiv", "sofia", "burgas"};
    private static final Duration FAULT_PERIOD = Duration.ofSeconds(40);
    private static final Duration RECOVERY_PERIOD = Duration.ofSeconds(75);
    private static final int ENTRIES = 3;
    private static final int AGENTS = 5;

    /** Faults that a history can inject. */
    enum Fault {
        KILL_ENTRY,
        KILL_AGENT,
        PAUSE_ENTRY,
        PAUSE_AGENT,
        SHUT_DOWN_ENTRY,
        SHUT_DOWN_AGENT,
        PARTITION_ENTRIES,
        PARTITION_ENTRY_FROM_AGENT,
        DROP_MESSAGES,
        DELAY_MESSAGES,
        LOG_UNAVAILABLE,
        LOG_SLOW,
        LOG_LOSES_RESPONSES,
        LOG_WRITES_LATE,
        DISCONNECT_ENTRY_FROM_LOG,
        TARGET_FAILS,
        TARGET_UNRESPONSIVE,
        TARGET_UNREACHABLE,
        KILL_ALL_ENTRIES
    }

    private final Simulation simulation;
    private final Random random;
    private final Map<Fault, Integer> faultCounts = new TreeMap<>();
    private final List<String> keys = new ArrayList<>();
    private final List<String> tickets = new ArrayList<>();

    private RandomHistory(long seed) {
        this.simulation = Simulation.create(seed);
        this.random = new Random(seed * 31 + 7);
    }

    /** Runs one history to its end. */
    static RandomHistory run(long seed) {
        RandomHistory history = new RandomHistory(seed);
        history.execute();
        return history;
    }

    Simulation simulation() {
        return simulation;
    }

    Map<Fault, Integer> faultCounts() {
        return faultCounts;
    }

    private void execute() {
        for (int index = 1; index <= ENTRIES; index++) {
            simulation.startEntry("entry-" + index, ZONES[index % ZONES.length]);
        }
        for (int index = 1; index <= AGENTS; index++) {
            simulation.startAgent("worker-" + index, ZONES[index % ZONES.length]);
        }
        simulation.advance(Duration.ofSeconds(3));
        int faults = 1 + random.nextInt(6);
        for (int index = 0; index < faults; index++) {
            Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
            simulation.clock.schedule(randomDelay(FAULT_PERIOD), () -> inject(fault));
        }
        int jobs = 10 + random.nextInt(25);
        for (int index = 0; index < jobs; index++) {
            simulation.clock.schedule(randomDelay(FAULT_PERIOD), this::submit);
        }
        int operatorCommands = random.nextInt(4);
        for (int index = 0; index < operatorCommands; index++) {
            simulation.clock.schedule(randomDelay(FAULT_PERIOD), this::drainOrOpenZone);
        }
        simulation.advance(FAULT_PERIOD.plus(RECOVERY_PERIOD));
    }

    private Duration randomDelay(Duration max) {
        return Duration.ofMillis(random.nextInt((int) max.toMillis()));
    }

    private void submit() {
        EntryProcess entry = randomLiveEntry();
        if (entry == null) {
            return;
        }
        boolean reuseKey = !keys.isEmpty() && random.nextInt(3) == 0;
        String key = reuseKey ? keys.get(random.nextInt(keys.size())) : newKey(entry);
        int tasks = 1 + Math.floorMod(key.hashCode(), 12);
        int taskMillis = 20 + Math.floorMod(key.hashCode(), 900);
        Duration timeout = Duration.ofSeconds(2 + random.nextInt(10));
        Request request = simulation.submit(entry, key, tasks, taskMillis, timeout);
        if (random.nextInt(3) > 0) {
            simulation.clock.schedule(randomDelay(timeout), () -> resubmit(request));
        }
    }

    private String newKey(EntryProcess entry) {
        if (random.nextInt(4) == 0 && !entry.process.isPaused()) {
            tickets.addAll(entry.instance.issueTickets(Simulation.RUSEVA, 1));
            keys.add(tickets.get(tickets.size() - 1));
        } else {
            keys.add("key-" + keys.size());
        }
        return keys.get(keys.size() - 1);
    }

    private void resubmit(Request request) {
        EntryProcess entry = randomLiveEntry();
        if (entry != null) {
            simulation.submit(entry, request.job.key().key(), request.job.payloads(), request.job.timeout());
        }
    }

    private void drainOrOpenZone() {
        EntryProcess entry = randomLiveEntry();
        if (entry == null || entry.process.isPaused()) {
            return;
        }
        String intent = (random.nextBoolean() ? "drain " : "open ") + ZONES[random.nextInt(ZONES.length)];
        entry.instance.operations().createPlan(intent, OPERATOR).thenAccept(plan -> {
            EntryProcess confirming = randomLiveEntry();
            if (confirming != null) {
                confirming.process.run(() -> confirming.instance.operations().confirmPlan(plan.id(), OPERATOR, true));
            }
        });
    }

    private EntryProcess randomLiveEntry() {
        List<EntryProcess> live = simulation.entries.values().stream()
                .filter(entry -> !entry.process.isDead() && !entry.draining)
                .toList();
        return live.isEmpty() ? null : live.get(random.nextInt(live.size()));
    }

    private AgentProcess randomAgent() {
        return simulation.agents.get("worker-" + (1 + random.nextInt(AGENTS)));
    }

    private EntryProcess randomEntry() {
        return simulation.entries.get("entry-" + (1 + random.nextInt(ENTRIES)));
    }

    private Duration randomFaultDuration() {
        return Duration.ofMillis(200 + random.nextInt(15_000));
    }

    private void inject(Fault fault) {
        faultCounts.merge(fault, 1, Integer::sum);
        switch (fault) {
            case KILL_ENTRY -> killAndRestart(randomEntry());
            case KILL_AGENT -> killAndRestart(randomAgent());
            case PAUSE_ENTRY -> pauseAndResume(randomEntry().process);
            case PAUSE_AGENT -> pauseAndResume(randomAgent().process);
            case SHUT_DOWN_ENTRY -> shutDownAndRestart(randomEntry());
            case SHUT_DOWN_AGENT -> shutDownAndRestart(randomAgent());
            case PARTITION_ENTRIES -> partition(randomEntry().process, randomEntry().process);
            case PARTITION_ENTRY_FROM_AGENT -> partition(randomEntry().process, randomAgent().process);
            case DROP_MESSAGES ->
                simulation.network.dropMessages(randomEntry().process, randomAgent().process, random.nextBoolean());
            case DELAY_MESSAGES ->
                simulation.network.delayMessages(
                        randomEntry().process, randomAgent().process, Duration.ofMillis(1000 + random.nextInt(9000)));
            case LOG_UNAVAILABLE ->
                applyTemporarily(() -> simulation.log.setUnavailable(true), () -> simulation.log.setUnavailable(false));
            case LOG_SLOW ->
                applyTemporarily(
                        () -> simulation.log.setWriteDelay(Duration.ofMillis(100 + random.nextInt(3000))),
                        () -> simulation.log.setWriteDelay(Duration.ofMillis(4)));
            case LOG_LOSES_RESPONSES ->
                applyTemporarily(
                        () -> simulation.log.setLostResponseProbability(0.5),
                        () -> simulation.log.setLostResponseProbability(0));
            case LOG_WRITES_LATE ->
                applyTemporarily(
                        () -> simulation.log.setLateWriteProbability(0.5),
                        () -> simulation.log.setLateWriteProbability(0));
            case DISCONNECT_ENTRY_FROM_LOG -> disconnectFromLog(randomEntry());
            case TARGET_FAILS -> setTargetMode(randomAgent(), FakeTarget.Mode.FAIL);
            case TARGET_UNRESPONSIVE -> setTargetMode(randomAgent(), FakeTarget.Mode.UNRESPONSIVE);
            case TARGET_UNREACHABLE -> setTargetMode(randomAgent(), FakeTarget.Mode.UNREACHABLE);
            case KILL_ALL_ENTRIES -> List.copyOf(simulation.entries.values()).forEach(this::killAndRestart);
        }
    }

    private void applyTemporarily(Runnable startFault, Runnable endFault) {
        startFault.run();
        simulation.clock.schedule(randomFaultDuration(), endFault);
    }

    private void killAndRestart(EntryProcess entry) {
        if (entry.process.isDead() || entry.draining) {
            return;
        }
        simulation.kill(entry, random.nextBoolean());
        simulation.clock.schedule(randomFaultDuration(), () -> simulation.startEntry(entry.name, entry.zone.value()));
    }

    private void killAndRestart(AgentProcess agent) {
        if (agent.process.isDead() || agent.draining) {
            return;
        }
        simulation.kill(agent, random.nextBoolean());
        simulation.clock.schedule(
                randomFaultDuration(), () -> simulation.startAgent(agent.worker.value(), agent.zone.value()));
    }

    private void shutDownAndRestart(EntryProcess entry) {
        if (entry.process.isDead() || entry.draining || entry.process.isPaused()) {
            return;
        }
        simulation
                .shutDown(entry)
                .thenRun(() -> simulation.clock.schedule(
                        randomFaultDuration(), () -> simulation.startEntry(entry.name, entry.zone.value())));
    }

    private void shutDownAndRestart(AgentProcess agent) {
        if (agent.process.isDead() || agent.draining || agent.process.isPaused()) {
            return;
        }
        simulation
                .shutDown(agent)
                .thenRun(() -> simulation.clock.schedule(
                        randomFaultDuration().plusSeconds(1),
                        () -> simulation.startAgent(agent.worker.value(), agent.zone.value())));
    }

    private void pauseAndResume(FakeProcess process) {
        process.pause();
        simulation.clock.schedule(Duration.ofMillis(200 + random.nextInt(60_000)), process::resume);
    }

    private void partition(FakeProcess left, FakeProcess right) {
        applyTemporarily(() -> simulation.network.partition(left, right), () -> simulation.network.heal(left, right));
    }

    private void disconnectFromLog(EntryProcess entry) {
        applyTemporarily(() -> entry.logUnreachable = true, () -> entry.logUnreachable = false);
    }

    private void setTargetMode(AgentProcess agent, FakeTarget.Mode mode) {
        applyTemporarily(() -> agent.target.setMode(mode), () -> agent.target.setMode(FakeTarget.Mode.NORMAL));
    }
}
