package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.balancing.DelegationTarget;
import org.gypsumflow.command.balancing.DelegationTarget.Cause;
import org.gypsumflow.command.balancing.PeerChooser;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.world.BestEffortSimulation.AgentHost;
import org.gypsumflow.world.BestEffortSimulation.Attempt;
import org.gypsumflow.world.BestEffortSimulation.EntryHost;
import org.gypsumflow.world.FakeWorker.TaskBehaviour;
import org.gypsumflow.world.FakeWorkerHost.Fate;
import org.gypsumflow.world.MemberNetwork.Direction;

/** Simulates best-effort jobs and faults that are drawn from a seed. */
final class BestEffortHistory {
    /** Time after the last fault from which each entry must complete a new job. */
    static final Duration RECOVERY_BOUND = Duration.ofSeconds(15);

    private static final String[] ZONES = {"plovdiv", "sofia", "burgas"};
    private static final Duration WARM_UP = Duration.ofSeconds(3);
    private static final Duration FAULT_PERIOD = Duration.ofSeconds(20);
    /** The time in which long jobs are sent, run and sent again. */
    private static final Duration LONG_JOB_PERIOD = Duration.ofSeconds(90);

    private static final int MAX_LONG_JOBS = 8;
    private static final Duration LONG_JOB_PATIENCE = Duration.ofSeconds(60);
    /** Longest time after which the connection of a caller with a long job breaks. */
    private static final int MAX_LONG_CONNECTION_MILLIS = 40_000;

    private static final Duration PROBE_TIME = Duration.ofSeconds(6);
    private static final Duration RESEND_DELAY = Duration.ofMillis(1300);
    private static final int ENTRIES = 3;
    private static final int AGENTS = 5;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_FAULT_MILLIS = 5000;
    private static final Route ROUTE = new Route(
            RouteName.of("route"),
            "",
            "/",
            FakeWorkerHost.SERVICE,
            0,
            3,
            2.0,
            Duration.ofMillis(400),
            Duration.ofSeconds(10));

    private static final Route LONG_JOB_ROUTE = new Route(
            RouteName.of("long"),
            "",
            "/",
            FakeWorkerHost.SERVICE,
            0,
            3,
            2.0,
            Duration.ofSeconds(40),
            LONG_JOB_PATIENCE);

    /** Faults that a history can inject. */
    enum Fault {
        KILL_ENTRY,
        KILL_AGENT,
        KILL_ENTRY_AND_AGENT,
        PAUSE_ENTRY,
        PAUSE_AGENT,
        SUSPEND_ENTRY,
        SUSPEND_AGENT,
        STEP_CLOCK_OF_ENTRY,
        STEP_CLOCK_OF_AGENT,
        INTERRUPT_ENTRY_AND_AGENT,
        INTERRUPT_ENTRIES,
        RESET_CONNECTIONS,
        DELAY_MESSAGES,
        STALL_MESSAGES,
        WORKER_CLOSES_IDLE_CONNECTIONS,
        WORKER_CLOSES_CONNECTIONS,
        WORKER_LEAVES_CALLS_UNANSWERED,
        WORKER_FREEZES,
        WORKER_CRASHES,
        WORKER_CRASHES_AND_REPORTS_LATE,
        WORKER_LEAVES,
        CALLER_DISCONNECTS_UNNOTICED
    }

    private final long seed;
    private final Random random;
    private final DispatchFeatures features;
    private final BestEffortSimulation simulation;
    private final Set<Fault> excluded;
    private final Map<Fault, Integer> faultCounts = new EnumMap<>(Fault.class);
    private final List<Attempt> probes = new ArrayList<>();
    private final List<Duration> burstTimes = new ArrayList<>();
    private final List<MemberName> entriesWithWaitingCallers = new ArrayList<>();
    private long lastFaultNanos;
    private int jobCount;

    private BestEffortHistory(long seed, Set<Fault> excluded, boolean traced, DispatchFeatures features) {
        this.seed = seed;
        this.random = new Random(seed * 31 + 7);
        this.features = features;
        this.simulation = new BestEffortSimulation(seed, traced, features);
        this.excluded = excluded;
    }

    /** Runs one history to its end. */
    static BestEffortHistory run(long seed) {
        return run(seed, EnumSet.noneOf(Fault.class), false);
    }

    /** Runs one history without some kinds of faults, which are drawn but not injected. */
    static BestEffortHistory run(long seed, Set<Fault> excluded, boolean traced) {
        return run(seed, excluded, traced, DispatchFeatures.none());
    }

    /** Runs one history with some parts of the dispatcher switched on. */
    static BestEffortHistory run(long seed, Set<Fault> excluded, boolean traced, DispatchFeatures features) {
        BestEffortHistory history = new BestEffortHistory(seed, excluded, traced, features);
        history.execute();
        return history;
    }

    /** Runs one history in which a few percent of the calls to all workers are carried out late or without a response. */
    static BestEffortHistory runWithUnansweredCalls(long seed, boolean traced, DispatchFeatures features) {
        BestEffortHistory history = new BestEffortHistory(seed, EnumSet.noneOf(Fault.class), traced, features);
        history.simulation.clock.schedule(WARM_UP, history::leaveSomeCallsUnanswered);
        history.execute();
        return history;
    }

    private void leaveSomeCallsUnanswered() {
        double share = 0.02 + 0.1 * random.nextDouble();
        // Faults of the history may end the period earlier for the worker that they are about.
        simulation
                .agents
                .values()
                .forEach(agent -> agent.worker.setFates(() -> {
                    boolean late = random.nextInt(3) > 0;
                    return random.nextDouble() >= share ? Fate.ANSWERED : late ? Fate.EXECUTED_LATE : Fate.ANSWER_LOST;
                }));
        simulation.clock.schedule(
                FAULT_PERIOD,
                () -> simulation.agents.values().forEach(agent -> agent.worker.setFates(() -> Fate.ANSWERED)));
        faultLastsFor(FAULT_PERIOD.plusSeconds(12));
    }

    long seed() {
        return seed;
    }

    BestEffortSimulation simulation() {
        return simulation;
    }

    Map<Fault, Integer> faultCounts() {
        return faultCounts;
    }

    /** Returns the jobs that were sent, one to each entry, when the recovery bound had passed. */
    List<Attempt> probes() {
        return probes;
    }

    long lastFaultNanos() {
        return lastFaultNanos;
    }

    /**
     * Runs one history whose callers also send jobs of up to a minute, whose connections break while they run. The
     * workers leave the stops of such a job unanswered now and then.
     */
    static BestEffortHistory runWithLongJobs(long seed, boolean traced, DispatchFeatures features) {
        BestEffortHistory history = new BestEffortHistory(seed, EnumSet.noneOf(Fault.class), traced, features);
        for (int index = 0; index < MAX_LONG_JOBS; index++) {
            history.simulation.clock.schedule(
                    WARM_UP.plus(history.randomDelay((int) FAULT_PERIOD.toMillis())),
                    () -> history.sendLongJob(history.newLongJob(), 1));
        }
        history.execute();
        history.simulation.clock.advance(LONG_JOB_PERIOD);
        return history;
    }

    /**
     * Runs one history in which most entries hand over most of their jobs, to peers drawn at random, whatever their load.
     * Each entry must have answered all its callers in the end.
     */
    static BestEffortHistory runWithDelegations(
            long seed, Set<Fault> excluded, boolean traced, DispatchFeatures features) {
        BestEffortHistory history = new BestEffortHistory(seed, excluded, traced, features);
        Random choices = new Random(seed * 37 + 11);
        PeerChooser chooser = (balancer, nowNanos) -> {
            List<MemberName> peers = balancer.freshPeers(nowNanos);
            return peers.isEmpty() || choices.nextInt(4) == 0
                    ? Optional.empty()
                    : Optional.of(new DelegationTarget(peers.get(choices.nextInt(peers.size())), Cause.BUSY));
        };
        history.simulation.balanceJobs(
                List.of(ROUTE), () -> choices.nextInt(6) == 0 ? Optional.empty() : Optional.of(chooser));
        history.execute();
        history.simulation.entries.values().forEach(entry -> {
            CompletableFuture<Void> drained = history.simulation.drain(entry);
            history.simulation.clock.advance(Duration.ofSeconds(1));
            if (!drained.isDone()) {
                history.entriesWithWaitingCallers.add(entry.member.name());
            }
        });
        return history;
    }

    /** Returns the entries that had not answered all their callers in the end. */
    List<MemberName> entriesWithWaitingCallers() {
        return entriesWithWaitingCallers;
    }

    private BestEffortJob newLongJob() {
        int millis = 2000 + random.nextInt(50_000);
        TaskBehaviour behaviour = new TaskBehaviour(500, millis, false);
        return job(LONG_JOB_ROUTE, behaviour, 1 + random.nextInt(2), Duration.ofMillis(millis));
    }

    private void sendLongJob(BestEffortJob job, int attemptNumber) {
        EntryHost entry = randomLiveEntry();
        if (entry == null) {
            return;
        }
        Attempt attempt = simulation.submit(entry, job, LONG_JOB_PATIENCE);
        simulation.clock.schedule(randomDelay(MAX_LONG_CONNECTION_MILLIS), () -> {
            if (random.nextBoolean()) {
                leaveStopsUnanswered();
            }
            disconnect(attempt);
        });
        attempt.response.whenComplete((outcome, broken) -> {
            if (attemptNumber < MAX_ATTEMPTS && (broken != null || isRepeatable(outcome))) {
                simulation.clock.schedule(RESEND_DELAY, () -> sendLongJob(job, attemptNumber + 1));
            }
        });
    }

    private void leaveStopsUnanswered() {
        Duration duration = randomFaultDuration();
        simulation.trace("stops are left unanswered for " + duration.toMillis() + " ms");
        simulation.agents.values().forEach(agent -> agent.worker.setStopFates(() -> Fate.NEVER_EXECUTED));
        simulation.clock.schedule(
                duration,
                () -> simulation.agents.values().forEach(agent -> agent.worker.setStopFates(() -> Fate.ANSWERED)));
    }

    private void execute() {
        for (int index = 1; index <= ENTRIES; index++) {
            simulation.addEntry("entry-" + index, ZONES[index % ZONES.length]);
        }
        for (int index = 1; index <= AGENTS; index++) {
            int cpuMillicores = 4000 * (1 + random.nextInt(3));
            AgentHost agent = simulation.addAgent(
                    "agent-" + index, ZONES[index % ZONES.length], Resources.of(cpuMillicores, 1000, 0));
            if (random.nextInt(3) > 0 && isInjected(Fault.WORKER_CLOSES_IDLE_CONNECTIONS)) {
                agent.worker.setClosesIdleConnections(true);
            }
        }
        scheduleJobs();
        scheduleFaults();
        if (features.overloadControl()) {
            scheduleBusyTimes();
        }
        simulation.clock.advance(WARM_UP.plus(FAULT_PERIOD));
        // Faults extend the time of the last fault when they are injected, so that it is known from here on.
        lastFaultNanos = Math.max(lastFaultNanos, simulation.clock.nanos());
        simulation.clock.advance(
                Duration.ofNanos(lastFaultNanos - simulation.clock.nanos()).plus(RECOVERY_BOUND));
        simulation.entries.values().forEach(entry -> probes.add(simulation.submit(entry, probe(), PROBE_TIME)));
        simulation.clock.advance(PROBE_TIME);
    }

    /** Draws bursts of jobs with idle times of seconds between them. */
    private void scheduleJobs() {
        Duration burst = WARM_UP;
        while (burst.compareTo(WARM_UP.plus(FAULT_PERIOD)) < 0) {
            burstTimes.add(burst);
            int jobs = 1 + random.nextInt(6);
            for (int index = 0; index < jobs; index++) {
                simulation.clock.schedule(burst.plus(randomDelay(300)), this::submitNewJob);
            }
            burst = burst.plus(
                    random.nextBoolean() ? randomDelay(600) : randomDelay(4000).plusMillis(1000));
        }
    }

    private void scheduleFaults() {
        int faults = 2 + random.nextInt(8);
        for (int index = 0; index < faults; index++) {
            Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
            Duration nearBurst = burstTimes
                    .get(random.nextInt(burstTimes.size()))
                    .plus(randomDelay(1200))
                    .minusMillis(400);
            Duration anyTime = WARM_UP.plus(randomDelay((int) FAULT_PERIOD.toMillis()));
            simulation.clock.schedule(random.nextInt(3) == 0 ? anyTime : nearBurst, () -> inject(fault));
        }
    }

    /** Entries that are too busy to read their messages; drawn apart, so that the other faults of a seed stay. */
    private void scheduleBusyTimes() {
        Random busyTimes = new Random(seed * 37 + 5);
        for (int index = busyTimes.nextInt(6); index > 0; index--) {
            Duration start = WARM_UP.plusMillis(busyTimes.nextInt((int) FAULT_PERIOD.toMillis()));
            Duration duration = Duration.ofMillis(50 + busyTimes.nextInt(2000));
            String entry = "entry-" + (1 + busyTimes.nextInt(ENTRIES));
            simulation.clock.schedule(start, () -> {
                simulation.trace(entry + " reads no messages for " + duration.toMillis() + " ms");
                faultLastsFor(duration);
                simulation.entries.get(entry).process.holdUpMessages(duration);
            });
        }
    }

    private boolean isInjected(Fault fault) {
        if (excluded.contains(fault)) {
            return false;
        }
        faultCounts.merge(fault, 1, Integer::sum);
        return true;
    }

    private Duration randomDelay(int maxMillis) {
        return Duration.ofNanos(random.nextInt(maxMillis * 1000) * 1000L);
    }

    private void submitNewJob() {
        int millis = 20 + random.nextInt(random.nextInt(3) == 0 ? 1280 : 200);
        TaskBehaviour behaviour = new TaskBehaviour(500 * (1 + random.nextInt(4)), millis, random.nextInt(30) == 0);
        Duration estimate = Duration.ofMillis((long) (millis * (0.6 + 0.8 * random.nextDouble())));
        BestEffortJob job = job(behaviour, 1 + random.nextInt(16), estimate);
        send(job, 1);
    }

    private BestEffortJob probe() {
        return job(new TaskBehaviour(500, 50, false), 2, Duration.ofMillis(50));
    }

    private BestEffortJob job(TaskBehaviour behaviour, int tasks, Duration estimate) {
        return job(ROUTE, behaviour, tasks, estimate);
    }

    private BestEffortJob job(Route route, TaskBehaviour behaviour, int tasks, Duration estimate) {
        JobId id = JobId.of(String.format("%016x", ++jobCount));
        return new BestEffortJob(id, route, 1, behaviour.specification(), tasks, behaviour.resources(), estimate);
    }

    private void send(BestEffortJob job, int attemptNumber) {
        EntryHost entry = randomLiveEntry();
        if (entry == null) {
            return;
        }
        Duration timeLeft = Duration.ofMillis(2000 + random.nextInt(6000));
        Attempt attempt = simulation.submit(entry, job, timeLeft);
        Runnable resend = attemptNumber == MAX_ATTEMPTS
                ? () -> {}
                : () -> simulation.clock.schedule(RESEND_DELAY, () -> send(job, attemptNumber + 1));
        int behaviour = random.nextInt(12);
        if (behaviour == 0) {
            simulation.clock.schedule(randomDelay(1500), () -> giveUp(attempt));
        } else if (behaviour == 1) {
            simulation.clock.schedule(randomDelay(1500), () -> cancel(attempt));
        } else if (behaviour <= 3) {
            simulation.clock.schedule(randomDelay(1000), () -> disconnect(attempt));
        }
        simulation.clock.schedule(timeLeft, () -> disconnect(attempt));
        attempt.response.whenComplete((outcome, broken) -> {
            if (broken != null || isRepeatable(outcome)) {
                resend.run();
            }
        });
    }

    private static boolean isRepeatable(BestEffortOutcome outcome) {
        return outcome != null && outcome.verdict() == Verdict.MAY_HAVE_RUN && !outcome.cancelled();
    }

    /** The caller closes its connection and does not want the job any more. */
    private void giveUp(Attempt attempt) {
        if (attempt.response.complete(null)) {
            simulation.disconnect(attempt, Duration.ZERO);
        }
    }

    private void cancel(Attempt attempt) {
        EntryHost entry = randomLiveEntry();
        if (entry != null && attempt.response.complete(null)) {
            simulation.cancel(entry, attempt.job.id());
        }
    }

    /** The connection of the caller breaks, or the caller has waited for long enough; it sends the job again. */
    private void disconnect(Attempt attempt) {
        boolean unnoticed = random.nextInt(8) == 0;
        Duration delay = randomDelay(MAX_FAULT_MILLIS);
        if (!attempt.response.isDone()) {
            boolean late = unnoticed && isInjected(Fault.CALLER_DISCONNECTS_UNNOTICED);
            simulation.trace("the connection of the caller breaks: " + attempt + (late ? ", noticed late" : ""));
            simulation.disconnect(attempt, late ? delay : Duration.ZERO);
            simulation.breakConnection(attempt);
        }
    }

    private EntryHost randomLiveEntry() {
        List<EntryHost> live = simulation.entries.values().stream()
                .filter(entry -> !entry.process.isDead())
                .toList();
        return live.isEmpty() ? null : live.get(random.nextInt(live.size()));
    }

    private EntryHost randomEntry() {
        return simulation.entries.get("entry-" + (1 + random.nextInt(ENTRIES)));
    }

    private AgentHost randomAgent() {
        return simulation.agents.get("agent-" + (1 + random.nextInt(AGENTS)));
    }

    /** Draws how long a fault lasts, and records its end. */
    private Duration randomFaultDuration() {
        Duration duration = Duration.ofMillis(100 + random.nextInt(random.nextBoolean() ? 1500 : MAX_FAULT_MILLIS));
        faultLastsFor(duration);
        return duration;
    }

    private void faultLastsFor(Duration duration) {
        lastFaultNanos = Math.max(lastFaultNanos, simulation.clock.nanos() + duration.toNanos());
    }

    private void inject(Fault fault) {
        if (!isInjected(fault)) {
            return;
        }
        simulation.trace("fault " + fault);
        faultLastsFor(Duration.ZERO);
        switch (fault) {
            case KILL_ENTRY -> killAndRestart(randomEntry());
            case KILL_AGENT -> killAndRestart(randomAgent());
            case KILL_ENTRY_AND_AGENT -> {
                killAndRestart(randomEntry());
                killAndRestart(randomAgent());
            }
            case PAUSE_ENTRY -> pauseAndResume(randomEntry().process);
            case PAUSE_AGENT -> pauseAndResume(randomAgent().process);
            case SUSPEND_ENTRY -> suspendAndResume(randomEntry().process);
            case SUSPEND_AGENT -> suspendAndResume(randomAgent().process);
            case STEP_CLOCK_OF_ENTRY -> randomEntry().wallClock.step(randomStepMillis());
            case STEP_CLOCK_OF_AGENT -> randomAgent().wallClock.step(randomStepMillis());
            case INTERRUPT_ENTRY_AND_AGENT ->
                interrupt(randomEntry().process.name(), randomAgent().process.name());
            case INTERRUPT_ENTRIES ->
                interrupt(randomEntry().process.name(), randomEntry().process.name());
            case RESET_CONNECTIONS -> simulation.network.reset(randomDirection());
            case DELAY_MESSAGES -> delayMessages(randomDirection());
            case STALL_MESSAGES -> simulation.network.stall(randomDirection(), randomFaultDuration());
            case WORKER_CLOSES_IDLE_CONNECTIONS -> randomAgent().worker.setClosesIdleConnections(true);
            case WORKER_CLOSES_CONNECTIONS -> setFates(Fate.CLOSED_BEFORE_EXECUTION, Fate.CLOSED_AFTER_EXECUTION);
            case WORKER_LEAVES_CALLS_UNANSWERED -> setFates(Fate.NEVER_EXECUTED, Fate.ANSWER_LOST, Fate.EXECUTED_LATE);
            case WORKER_FREEZES -> randomAgent().worker.freeze(randomFaultDuration());
            case WORKER_CRASHES -> randomAgent().worker.crash(randomFaultDuration(), random.nextBoolean());
            case WORKER_CRASHES_AND_REPORTS_LATE -> crashAndReportLate(randomAgent());
            case WORKER_LEAVES -> randomAgent().worker.drainAndLeave(randomFaultDuration(), randomFaultDuration());
            case CALLER_DISCONNECTS_UNNOTICED -> {}
        }
    }

    private void killAndRestart(EntryHost entry) {
        if (!entry.process.isDead()) {
            simulation.kill(entry, random.nextBoolean());
            simulation.clock.schedule(randomFaultDuration(), () -> simulation.start(entry));
        }
    }

    private void killAndRestart(AgentHost agent) {
        if (!agent.process.isDead()) {
            simulation.kill(agent, random.nextBoolean());
            simulation.clock.schedule(randomFaultDuration(), () -> simulation.start(agent));
        }
    }

    private void pauseAndResume(MemberProcess process) {
        if (!process.isPaused()) {
            simulation.trace("pause of " + process.name());
            process.pause();
            resumeLater(process);
        }
    }

    private void suspendAndResume(MemberProcess process) {
        if (!process.isPaused()) {
            simulation.trace("suspension of " + process.name());
            process.suspend();
            resumeLater(process);
        }
    }

    private void resumeLater(MemberProcess process) {
        simulation.clock.schedule(randomFaultDuration(), () -> {
            simulation.trace("resumption of " + process.name());
            process.resume();
        });
    }

    private long randomStepMillis() {
        long millis = 50L + random.nextInt(random.nextInt(4) == 0 ? 100_000 : 3000);
        return random.nextBoolean() ? millis : -millis;
    }

    private Direction randomDirection() {
        Direction direction = new Direction(
                randomEntry().process.name(), randomAgent().process.name());
        return random.nextBoolean() ? direction : direction.reversed();
    }

    private void interrupt(String left, String right) {
        Direction direction = new Direction(left, right);
        boolean bothDirections = random.nextBoolean();
        List<Direction> interrupted = bothDirections
                ? List.of(direction, direction.reversed())
                : List.of(random.nextBoolean() ? direction : direction.reversed());
        simulation.trace("interruption of " + interrupted);
        interrupted.forEach(simulation.network::interrupt);
        simulation.clock.schedule(randomFaultDuration(), () -> {
            simulation.trace("end of the interruption of " + interrupted);
            interrupted.forEach(simulation.network::restore);
        });
    }

    private void delayMessages(Direction direction) {
        Duration delay = Duration.ofMillis(10 + random.nextInt(500));
        simulation.trace("delay of " + delay.toMillis() + " ms from " + direction);
        simulation.network.delay(direction, delay);
        simulation.clock.schedule(randomFaultDuration(), () -> simulation.network.delay(direction, Duration.ZERO));
    }

    private void setFates(Fate... fates) {
        AgentHost agent = randomAgent();
        double share = 0.1 + 0.9 * random.nextDouble();
        Duration duration = randomFaultDuration();
        simulation.trace("calls of " + agent.member.name() + " may be " + List.of(fates));
        agent.worker.setFates(() -> random.nextDouble() < share ? fates[random.nextInt(fates.length)] : Fate.ANSWERED);
        simulation.clock.schedule(duration, () -> agent.worker.setFates(() -> Fate.ANSWERED));
        // A call may be executed up to 12 s late.
        faultLastsFor(duration.plusSeconds(12));
    }

    private void crashAndReportLate(AgentHost agent) {
        Duration downTime = randomFaultDuration();
        agent.worker.crash(downTime, random.nextBoolean());
        Duration reportDelay = downTime.plus(randomDelay(3000));
        faultLastsFor(reportDelay);
        simulation.clock.schedule(reportDelay, agent.worker::deliverReportOfPreviousIncarnation);
    }
}
