package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.gypsumflow.bench.load.JobKind.GeneratedJob;
import org.gypsumflow.bench.load.LoadReport.OutcomeCategory;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Verdict;

/** One play of a pattern under one rule; the same seed gives the same jobs whatever the rule. */
final class LoadSimulation {
    /** Workers of the model: the number and sizes of the users' deployments of today. */
    private static final int WORKERS = 11;

    private static final int ZONES = 4;
    /** Every so many workers one is larger. */
    private static final int LARGE_EVERY = 3;

    private static final Resources USUAL = Resources.of(32_000, 131_072, 0);
    private static final Resources LARGE = Resources.of(48_000, 196_608, 0);
    /** Time for agents to make themselves known before jobs arrive. */
    private static final Duration LEAD = Duration.ofSeconds(1);
    /** Time for the last jobs to end. */
    private static final Duration TAIL = Duration.ofSeconds(15);
    /** How long callers wait, as a multiple of the objective; as seen on the platform. */
    private static final double PATIENCE = 4;
    /** Time after which callers of a wave cancel. */
    private static final Duration CANCEL_AFTER = Duration.ofMillis(80);

    private final LoadPattern pattern;
    private final SimulationScheduler time = SimulationScheduler.create();
    private final SimulatedNetwork network = new SimulatedNetwork(time);
    private final LoadReport report = LoadReport.create();
    private final Map<JobId, GeneratedJob> drawn = new HashMap<>();
    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private final List<JobKind> kinds;
    private final double[] multiples;
    private final Random random;
    private double cancelShare;
    private double poisonShare;
    private long number;

    private LoadSimulation(LoadPattern pattern, JobPlacementPolicy rule, long seed) {
        this.pattern = pattern;
        this.random = new Random(seed);
        double coreSpeed = addWorkers(seed);
        for (int index = 0; index < pattern.entryCount(); index++) {
            network.addEntry(MemberName.of("entry-" + index), rule);
        }
        this.kinds = kinds(coreSpeed * pattern.offeredLoad());
        this.multiples = new double[] {1, 1, 1};
    }

    /** Plays a pattern to its end. */
    static LoadReport simulate(LoadPattern pattern, JobPlacementPolicy rule, long seed) {
        return new LoadSimulation(pattern, rule, seed).run();
    }

    /** Multiplies the arrivals of every kind. */
    void scaleArrivals(double factor) {
        for (int kind = 0; kind < multiples.length; kind++) {
            multiples[kind] = factor;
        }
    }

    /** Multiplies the arrivals of all kinds, and those of the kind with the longest tasks by another factor. */
    void scaleArrivals(double factor, double longFactor) {
        scaleArrivals(factor);
        multiples[1] = longFactor;
    }

    /** Changes the first workers, up to a share of all. */
    void applyToWorkers(double share, Consumer<SimulatedWorker> change) {
        workers.stream().limit(Math.max(1, Math.round(share * WORKERS))).forEach(change);
    }

    /** Loses all workers of the first zone without a word. */
    void failZone() {
        AvailabilityZone zone = workers.get(0).zone();
        agents.stream().filter(agent -> agent.worker().zone().equals(zone)).forEach(SimulatedAgent::fail);
    }

    /** Lets a share of the callers cancel soon after they came. */
    void setCancelShare(double share) {
        cancelShare = share;
    }

    /** Lets a share of the jobs run twenty times as long as estimated. */
    void setPoisonedShare(double share) {
        poisonShare = share;
    }

    private double addWorkers(long seed) {
        double coreSpeed = 0;
        for (int index = 0; index < WORKERS; index++) {
            double slowness = pattern.fleet().slowness(index);
            Resources capacity = index % LARGE_EVERY == LARGE_EVERY - 1 ? LARGE : USUAL;
            SimulatedWorker worker = new SimulatedWorker(
                    String.format("worker-%02d", index),
                    AvailabilityZone.of("zone-" + index * ZONES / WORKERS),
                    capacity,
                    slowness,
                    time,
                    new Random(seed + index));
            workers.add(worker);
            SimulatedAgent agent = new SimulatedAgent(time, worker, network, this::workMillis);
            agents.add(agent);
            network.addAgent(agent);
            coreSpeed += capacity.cpuMillicores() / 1000.0 / slowness;
        }
        return coreSpeed;
    }

    /** Mixes the three kinds of the users' sheets so that they ask for a number of cores at speed 1. */
    private static List<JobKind> kinds(double cores) {
        List<JobKind> mix = List.of(
                new JobKind("short", 24.1, 8, Duration.ofMillis(86), 3100, 0, 0.0291),
                new JobKind("long", 4.37, 4, Duration.ofMillis(1286), 3100, 2, 0.16),
                new JobKind("middle", 70, 2, Duration.ofMillis(286), 3100, 1, 0.01));
        double asked = mix.stream()
                .mapToDouble(kind -> kind.jobsPerSecond()
                        * kind.meanTaskCount()
                        * kind.meanWork().toMillis()
                        * kind.cpuMillicores()
                        / 1e6)
                .sum();
        return mix.stream()
                .map(kind -> new JobKind(
                        kind.name(),
                        kind.jobsPerSecond() * cores / asked,
                        kind.meanTaskCount(),
                        kind.meanWork(),
                        kind.cpuMillicores(),
                        kind.priority(),
                        kind.value()))
                .toList();
    }

    private LoadReport run() {
        for (int kind = 0; kind < kinds.size(); kind++) {
            arriveLater(kind);
        }
        pattern.events()
                .forEach(event -> time.schedule(
                        LEAD.plus(event.offset()), () -> event.action().accept(this)));
        time.runUntil(LEAD.plus(LoadPattern.ARRIVAL_DURATION).plus(TAIL));
        report.recordTotals(
                workers.stream().mapToDouble(SimulatedWorker::busyCoreSeconds).sum(), network.messageCount());
        return report;
    }

    private void arriveLater(int kind) {
        double pause = -Math.log(1 - random.nextDouble()) / (kinds.get(kind).jobsPerSecond() * multiples[kind]);
        Duration next = Duration.ofNanos((long) (pause * 1e9));
        boolean first = time.nowNanos() == 0;
        time.schedule(first ? LEAD.plus(next) : next, () -> {
            if (time.nowNanos() < LEAD.plus(LoadPattern.ARRIVAL_DURATION).toNanos()) {
                arrive(kinds.get(kind));
                arriveLater(kind);
            }
        });
    }

    private void arrive(JobKind kind) {
        GeneratedJob job = kind.generate(number++, pattern.estimateError(), random);
        boolean poisoned = random.nextDouble() < poisonShare;
        boolean cancels = random.nextDouble() < cancelShare;
        MemberName entry = chooseEntry();
        if (poisoned) {
            for (int index = 0; index < job.taskWorkMillis().length; index++) {
                job.taskWorkMillis()[index] *= 20;
            }
        }
        drawn.put(job.job().id(), job);
        long arrivedNanos = time.nowNanos();
        double objective = JobKind.LATENCY_FACTOR * job.longestTaskMillis() + JobKind.LATENCY_ALLOWANCE.toMillis();
        double arrivedSeconds = (arrivedNanos - LEAD.toNanos()) / 1e9;
        network.submit(entry, job.job(), Duration.ofMillis((long) (PATIENCE * objective)), answer -> {
            double tookMillis = (time.nowNanos() - arrivedNanos) / 1e6;
            if (!poisoned) {
                report.recordJob(job, arrivedSeconds, fate(answer, tookMillis, objective));
            }
        });
        if (cancels) {
            time.schedule(CANCEL_AFTER, () -> network.cancel(entry, job.job().id()));
        }
    }

    private static OutcomeCategory fate(BestEffortOutcome answer, double tookMillis, double objective) {
        if (answer.cancelled()) {
            return OutcomeCategory.CANCELLED;
        }
        if (answer.verdict() == Verdict.NOT_RUN) {
            return OutcomeCategory.REJECTED;
        }
        if (answer.verdict() != Verdict.COMPLETED) {
            return OutcomeCategory.FAILED;
        }
        if (tookMillis <= objective) {
            return OutcomeCategory.IN_TIME;
        }
        return tookMillis <= LoadReport.HARD_DEADLINE_FACTOR * objective
                ? OutcomeCategory.LATE
                : OutcomeCategory.EXPIRED;
    }

    private MemberName chooseEntry() {
        boolean first = random.nextDouble() < pattern.firstEntryShare();
        int others = pattern.entryCount() - 1;
        return MemberName.of("entry-" + (first || others == 0 ? 0 : 1 + random.nextInt(others)));
    }

    private double workMillis(BestEffortTaskId task) {
        return drawn.get(task.job()).taskWorkMillis()[task.index()];
    }
}
