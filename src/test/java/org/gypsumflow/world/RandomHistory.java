package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.gypsumflow.model.Operator;
import org.gypsumflow.world.World.AgentProcess;
import org.gypsumflow.world.World.EntryProcess;

/** A history drawn by seed: callers, operators and faults, singly and together. */
final class RandomHistory {
    private static final Operator NIGHT = Operator.of("night");
    private static final String[] ZONES = {"plovdiv", "sofia", "burgas"};
    private static final Duration FAULTY_TIME = Duration.ofSeconds(40);
    private static final Duration QUIET_TIME = Duration.ofSeconds(75);
    private static final int ENTRIES = 3;
    private static final int AGENTS = 5;

    /** Faults that a history can draw. */
    enum Fault {
        KILL_ENTRY,
        KILL_AGENT,
        PAUSE_ENTRY,
        PAUSE_AGENT,
        LEAVE_ENTRY,
        LEAVE_AGENT,
        CUT_ENTRIES,
        CUT_AGENT,
        SILENCE_CONNECTION,
        SLOW_CONNECTION,
        LOG_OUT,
        LOG_SLOW,
        LOG_LOSES_ANSWERS,
        LOG_WRITES_LATE,
        CUT_ENTRY_FROM_LOG,
        TARGET_FAILS,
        TARGET_SILENT,
        TARGET_UNREACHABLE,
        KILL_ALL_ENTRIES
    }

    private final World world;
    private final Random random;
    private final Map<Fault, Integer> injected = new TreeMap<>();
    private final List<String> keys = new ArrayList<>();
    private final List<String> tickets = new ArrayList<>();

    private RandomHistory(long seed) {
        this.world = World.create(seed);
        this.random = new Random(seed * 31 + 7);
    }

    /** Runs one history to its end. */
    static RandomHistory run(long seed) {
        RandomHistory history = new RandomHistory(seed);
        history.play();
        return history;
    }

    World world() {
        return world;
    }

    Map<Fault, Integer> injected() {
        return injected;
    }

    private void play() {
        for (int index = 1; index <= ENTRIES; index++) {
            world.startEntry("entry-" + index, ZONES[index % ZONES.length]);
        }
        for (int index = 1; index <= AGENTS; index++) {
            world.startAgent("worker-" + index, ZONES[index % ZONES.length]);
        }
        world.run(Duration.ofSeconds(3));
        int faults = 1 + random.nextInt(6);
        for (int index = 0; index < faults; index++) {
            Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
            world.clock.after(millis(FAULTY_TIME), () -> inject(fault));
        }
        int jobs = 10 + random.nextInt(25);
        for (int index = 0; index < jobs; index++) {
            world.clock.after(millis(FAULTY_TIME), this::submit);
        }
        int intents = random.nextInt(4);
        for (int index = 0; index < intents; index++) {
            world.clock.after(millis(FAULTY_TIME), this::operate);
        }
        world.run(FAULTY_TIME.plus(QUIET_TIME));
    }

    private Duration millis(Duration most) {
        return Duration.ofMillis(random.nextInt((int) most.toMillis()));
    }

    private void submit() {
        EntryProcess entry = liveEntry();
        if (entry == null) {
            return;
        }
        boolean again = !keys.isEmpty() && random.nextInt(3) == 0;
        String key = again ? keys.get(random.nextInt(keys.size())) : newKey(entry);
        int tasks = 1 + Math.floorMod(key.hashCode(), 12);
        int taskMillis = 20 + Math.floorMod(key.hashCode(), 900);
        Duration timeout = Duration.ofSeconds(2 + random.nextInt(10));
        Request request = world.submit(entry, key, tasks, taskMillis, timeout);
        if (random.nextInt(3) > 0) {
            world.clock.after(millis(timeout), () -> resubmit(request));
        }
    }

    private String newKey(EntryProcess entry) {
        if (random.nextInt(4) == 0 && !entry.process.isPaused()) {
            tickets.addAll(entry.node.issueTickets(World.RUSEVA, 1));
            keys.add(tickets.get(tickets.size() - 1));
        } else {
            keys.add("key-" + keys.size());
        }
        return keys.get(keys.size() - 1);
    }

    private void resubmit(Request request) {
        EntryProcess entry = liveEntry();
        if (entry != null) {
            world.submit(entry, request.job.key().key(), request.job.payloads(), request.job.timeout());
        }
    }

    private void operate() {
        EntryProcess entry = liveEntry();
        if (entry == null || entry.process.isPaused()) {
            return;
        }
        String intent = (random.nextBoolean() ? "drain " : "open ") + ZONES[random.nextInt(ZONES.length)];
        entry.node.operations().createPlan(intent, NIGHT).thenAccept(plan -> {
            EntryProcess confirming = liveEntry();
            if (confirming != null) {
                confirming.process.run(() -> confirming.node.operations().confirmPlan(plan.id(), NIGHT, true));
            }
        });
    }

    private EntryProcess liveEntry() {
        List<EntryProcess> live = world.entries.values().stream()
                .filter(entry -> !entry.process.isDead() && !entry.leaving)
                .toList();
        return live.isEmpty() ? null : live.get(random.nextInt(live.size()));
    }

    private AgentProcess agent() {
        return world.agents.get("worker-" + (1 + random.nextInt(AGENTS)));
    }

    private EntryProcess entry() {
        return world.entries.get("entry-" + (1 + random.nextInt(ENTRIES)));
    }

    private Duration span() {
        return Duration.ofMillis(200 + random.nextInt(15_000));
    }

    private void inject(Fault fault) {
        injected.merge(fault, 1, Integer::sum);
        switch (fault) {
            case KILL_ENTRY -> killAndRestart(entry());
            case KILL_AGENT -> killAndRestart(agent());
            case PAUSE_ENTRY -> pause(entry().process);
            case PAUSE_AGENT -> pause(agent().process);
            case LEAVE_ENTRY -> leave(entry());
            case LEAVE_AGENT -> leave(agent());
            case CUT_ENTRIES -> cut(entry().process, entry().process);
            case CUT_AGENT -> cut(entry().process, agent().process);
            case SILENCE_CONNECTION -> world.network.silence(entry().process, agent().process, random.nextBoolean());
            case SLOW_CONNECTION ->
                world.network.slow(entry().process, agent().process, Duration.ofMillis(1000 + random.nextInt(9000)));
            case LOG_OUT -> during(() -> world.log.setOut(true), () -> world.log.setOut(false));
            case LOG_SLOW ->
                during(
                        () -> world.log.setWriteTime(Duration.ofMillis(100 + random.nextInt(3000))),
                        () -> world.log.setWriteTime(Duration.ofMillis(4)));
            case LOG_LOSES_ANSWERS -> during(() -> world.log.setLoseAnswer(0.5), () -> world.log.setLoseAnswer(0));
            case LOG_WRITES_LATE -> during(() -> world.log.setWriteLate(0.5), () -> world.log.setWriteLate(0));
            case CUT_ENTRY_FROM_LOG -> cutFromLog(entry());
            case TARGET_FAILS -> behave(agent(), FakeTarget.Mode.FAIL);
            case TARGET_SILENT -> behave(agent(), FakeTarget.Mode.SILENT);
            case TARGET_UNREACHABLE -> behave(agent(), FakeTarget.Mode.UNREACHABLE);
            case KILL_ALL_ENTRIES -> List.copyOf(world.entries.values()).forEach(this::killAndRestart);
        }
    }

    private void during(Runnable begin, Runnable end) {
        begin.run();
        world.clock.after(span(), end);
    }

    private void killAndRestart(EntryProcess entry) {
        if (entry.process.isDead() || entry.leaving) {
            return;
        }
        world.kill(entry, random.nextBoolean());
        world.clock.after(span(), () -> world.startEntry(entry.name, entry.zone.value()));
    }

    private void killAndRestart(AgentProcess agent) {
        if (agent.process.isDead() || agent.leaving) {
            return;
        }
        world.kill(agent, random.nextBoolean());
        world.clock.after(span(), () -> world.startAgent(agent.worker.value(), agent.zone.value()));
    }

    private void leave(EntryProcess entry) {
        if (entry.process.isDead() || entry.leaving || entry.process.isPaused()) {
            return;
        }
        world.leave(entry)
                .thenRun(() -> world.clock.after(span(), () -> world.startEntry(entry.name, entry.zone.value())));
    }

    private void leave(AgentProcess agent) {
        if (agent.process.isDead() || agent.leaving || agent.process.isPaused()) {
            return;
        }
        world.leave(agent)
                .thenRun(() -> world.clock.after(
                        span().plusSeconds(1), () -> world.startAgent(agent.worker.value(), agent.zone.value())));
    }

    private void pause(FakeProcess process) {
        process.pause();
        world.clock.after(Duration.ofMillis(200 + random.nextInt(60_000)), process::resume);
    }

    private void cut(FakeProcess left, FakeProcess right) {
        during(() -> world.network.cut(left, right), () -> world.network.heal(left, right));
    }

    private void cutFromLog(EntryProcess entry) {
        during(() -> entry.cutFromLog = true, () -> entry.cutFromLog = false);
    }

    private void behave(AgentProcess agent, FakeTarget.Mode mode) {
        during(() -> agent.target.behave(mode), () -> agent.target.behave(FakeTarget.Mode.NORMAL));
    }
}
