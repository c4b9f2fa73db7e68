package org.gypsumflow.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.gypsumflow.bench.load.JobKind.GeneratedJob;
import org.gypsumflow.bench.load.LoadReport.OutcomeCategory;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.command.interference.InterferenceModel;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.BestEffortTaskId;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Verdict;

/** Simulation of a load pattern under a placement policy; the same seed gives the same jobs under every policy. */
final class LoadSimulation {
    /** Number of workers; it and their sizes are those of the users' present deployments. */
    private static final int WORKER_COUNT = 11;

    private static final int ZONE_COUNT = 4;
    /** Number of zones from which callers come; the entries are in them by turns. */
    private static final int CALLER_ZONE_COUNT = 2;
    /** Kind of the jobs that a hot key gets. */
    private static final String HOT_KIND = "middle";
    /** One in this many workers is larger. */
    private static final int LARGE_WORKER_INTERVAL = 3;

    private static final Resources STANDARD_CAPACITY = Resources.of(32_000, 131_072, 0);
    private static final Resources LARGE_CAPACITY = Resources.of(48_000, 196_608, 0);
    /** Time for agents to report before jobs arrive. */
    private static final Duration WARM_UP = Duration.ofSeconds(1);
    /** Time for the last jobs to finish. */
    private static final Duration COOL_DOWN = Duration.ofSeconds(15);
    /** Time that callers wait, as a multiple of the objective, as observed on the platform. */
    private static final double CALLER_TIMEOUT_FACTOR = 4;
    /** Kinds of jobs whose tasks slow each other down in patterns with interference. */
    private static final Set<String> INTERFERING_KINDS = Set.of("long", "middle");
    /** Time from submission to cancellation in a wave of cancellations. */
    private static final Duration CANCEL_DELAY = Duration.ofMillis(80);

    private final LoadPattern pattern;
    private final SimulationScheduler scheduler = SimulationScheduler.create();
    private final SimulatedNetwork network = new SimulatedNetwork(scheduler);
    private final LoadReport report = LoadReport.create();
    private final Map<JobId, GeneratedJob> jobs = new HashMap<>();
    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private final List<InterferenceModel> interferenceModels = new ArrayList<>();
    private final List<JobKind> kinds;
    private final double[] arrivalFactors;
    private final Random random;
    private double cancelShare;
    private double poisonedShare;
    private double hotKeyShare;
    private long nextJobNumber;

    private LoadSimulation(LoadPattern pattern, JobPlacementPolicy policy, DispatchFeatures features, long seed) {
        this.pattern = pattern;
        this.random = new Random(seed);
        double totalCoreSpeed = addWorkers(seed);
        for (int index = 0; index < pattern.entryCount(); index++) {
            InterferenceModel interferenceModel = pattern.interference().avoided()
                    ? InterferenceModel.create(EventLog.none(), DecisionCounter.none())
                    : InterferenceModel.disabled();
            interferenceModels.add(interferenceModel);
            network.addEntry(entryName(index), callerZone(index), policy, features, interferenceModel);
        }
        this.kinds = kinds(totalCoreSpeed * pattern.offeredLoad());
        this.arrivalFactors = new double[] {1, 1, 1};
    }

    /** Simulates a pattern with its warm-up and cool-down, and returns the report on all its jobs. */
    static LoadReport simulate(LoadPattern pattern, JobPlacementPolicy policy, DispatchFeatures features, long seed) {
        return new LoadSimulation(pattern, policy, features, seed).run();
    }

    /** Multiplies the normal arrival rate of every kind of job. */
    void scaleArrivals(double factor) {
        for (int kind = 0; kind < arrivalFactors.length; kind++) {
            arrivalFactors[kind] = factor;
        }
    }

    /** Multiplies the normal arrival rate of one kind of job. */
    void scaleArrivals(String kindName, double factor) {
        for (int kind = 0; kind < arrivalFactors.length; kind++) {
            if (kinds.get(kind).name().equals(kindName)) {
                arrivalFactors[kind] = factor;
            }
        }
    }

    /** Sets the share of the jobs of one kind that go to the first entry, whatever the pattern says of the others. */
    void setHotKeyShare(double share) {
        hotKeyShare = share;
    }

    /** Applies a change to the given share of the workers, counted from the first; to one at least. */
    void applyToWorkers(double share, Consumer<SimulatedWorker> change) {
        workers.stream().limit(Math.max(1, Math.round(share * WORKER_COUNT))).forEach(change);
    }

    /** Crashes all workers and agents of the first zone without notice. */
    void failZone() {
        AvailabilityZone zone = workers.get(0).zone();
        agents.stream().filter(agent -> agent.worker().zone().equals(zone)).forEach(SimulatedAgent::fail);
    }

    /** Sets the share of callers that cancel soon after submitting. */
    void setCancelShare(double share) {
        cancelShare = share;
    }

    /** Sets the share of jobs that run 20 times as long as generated; they don't count in the report. */
    void setPoisonedShare(double share) {
        poisonedShare = share;
    }

    private double addWorkers(long seed) {
        double totalCoreSpeed = 0;
        for (int index = 0; index < WORKER_COUNT; index++) {
            double slowdown = pattern.fleet().slowdown(index);
            Resources capacity =
                    index % LARGE_WORKER_INTERVAL == LARGE_WORKER_INTERVAL - 1 ? LARGE_CAPACITY : STANDARD_CAPACITY;
            SimulatedWorker worker = new SimulatedWorker(
                    String.format("worker-%02d", index),
                    AvailabilityZone.of("zone-" + index * ZONE_COUNT / WORKER_COUNT),
                    capacity,
                    slowdown,
                    scheduler,
                    new Random(seed + index));
            worker.setInterference(pattern.interference().factor(), this::isInterfering);
            workers.add(worker);
            SimulatedAgent agent = new SimulatedAgent(scheduler, worker, network, this::workMillis);
            agents.add(agent);
            network.addAgent(agent);
            totalCoreSpeed += capacity.cpuMillicores() / 1000.0 / slowdown;
        }
        return totalCoreSpeed;
    }

    /** Scales the three kinds of jobs in the users' requirements to use a number of cores of slowdown 1 in the mean. */
    private static List<JobKind> kinds(double cores) {
        List<JobKind> mix = List.of(
                new JobKind("short", 24.1, 8, Duration.ofMillis(86), 3100, 0, 0.0291),
                new JobKind("long", 4.37, 4, Duration.ofMillis(1286), 3100, 2, 0.16),
                new JobKind("middle", 70, 2, Duration.ofMillis(286), 3100, 1, 0.01));
        double requestedCores = mix.stream()
                .mapToDouble(kind -> kind.jobsPerSecond()
                        * kind.meanTaskCount()
                        * kind.meanWork().toMillis()
                        * kind.cpuMillicores()
                        / 1e6)
                .sum();
        return mix.stream()
                .map(kind -> new JobKind(
                        kind.name(),
                        kind.jobsPerSecond() * cores / requestedCores,
                        kind.meanTaskCount(),
                        kind.meanWork(),
                        kind.cpuMillicores(),
                        kind.priority(),
                        kind.value()))
                .toList();
    }

    private LoadReport run() {
        for (int kind = 0; kind < kinds.size(); kind++) {
            scheduleArrival(kind);
        }
        pattern.events()
                .forEach(event -> scheduler.schedule(
                        WARM_UP.plus(event.offset()), () -> event.action().accept(this)));
        scheduler.runUntil(WARM_UP.plus(LoadPattern.ARRIVAL_DURATION).plus(COOL_DOWN));
        report.recordBelievedPairs(interferenceModels.stream()
                .mapToInt(InterferenceModel::believedCount)
                .sum());
        report.recordTotals(
                workers.stream().mapToDouble(SimulatedWorker::busyCoreSeconds).sum(), network.messageCount());
        return report;
    }

    private void scheduleArrival(int kind) {
        double delaySeconds =
                -Math.log(1 - random.nextDouble()) / (kinds.get(kind).jobsPerSecond() * arrivalFactors[kind]);
        Duration delay = Duration.ofNanos((long) (delaySeconds * 1e9));
        boolean first = scheduler.nowNanos() == 0;
        scheduler.schedule(first ? WARM_UP.plus(delay) : delay, () -> {
            if (scheduler.nowNanos()
                    < WARM_UP.plus(LoadPattern.ARRIVAL_DURATION).toNanos()) {
                arrive(kinds.get(kind));
                scheduleArrival(kind);
            }
        });
    }

    private void arrive(JobKind kind) {
        GeneratedJob job = kind.generate(nextJobNumber++, pattern.estimateError(), random);
        boolean poisoned = random.nextDouble() < poisonedShare;
        boolean cancels = random.nextDouble() < cancelShare;
        int entryIndex = chooseEntry(kind);
        MemberName entry = entryName(entryIndex);
        if (poisoned) {
            for (int index = 0; index < job.taskWorkMillis().length; index++) {
                job.taskWorkMillis()[index] *= 20;
            }
        }
        jobs.put(job.job().id(), job);
        long arrivedNanos = scheduler.nowNanos();
        double objectiveMillis =
                JobKind.LATENCY_FACTOR * job.longestTaskMillis() + JobKind.LATENCY_ALLOWANCE.toMillis();
        double arrivedSeconds = (arrivedNanos - WARM_UP.toNanos()) / 1e9;
        network.submit(
                entry, job.job(), Duration.ofMillis((long) (CALLER_TIMEOUT_FACTOR * objectiveMillis)), outcome -> {
                    double latencyMillis = (scheduler.nowNanos() - arrivedNanos) / 1e6;
                    if (!poisoned) {
                        report.recordJob(
                                job,
                                callerZone(entryIndex),
                                arrivedSeconds,
                                categorize(outcome, latencyMillis, objectiveMillis));
                    }
                });
        if (cancels) {
            scheduler.schedule(
                    CANCEL_DELAY, () -> network.cancel(entry, job.job().id()));
        }
    }

    private static OutcomeCategory categorize(BestEffortOutcome outcome, double latencyMillis, double objectiveMillis) {
        if (outcome.cancelled()) {
            return OutcomeCategory.CANCELLED;
        }
        if (outcome.verdict() == Verdict.NOT_RUN) {
            return OutcomeCategory.REJECTED;
        }
        if (outcome.verdict() != Verdict.COMPLETED) {
            return OutcomeCategory.FAILED;
        }
        if (latencyMillis <= objectiveMillis) {
            return OutcomeCategory.IN_TIME;
        }
        return latencyMillis <= LoadReport.HARD_DEADLINE_FACTOR * objectiveMillis
                ? OutcomeCategory.LATE
                : OutcomeCategory.EXPIRED;
    }

    private int chooseEntry(JobKind kind) {
        double firstEntryShare =
                kind.name().equals(HOT_KIND) && hotKeyShare > 0 ? hotKeyShare : pattern.firstEntryShare();
        boolean first = random.nextDouble() < firstEntryShare;
        int otherEntries = pattern.entryCount() - 1;
        return first || otherEntries == 0 ? 0 : 1 + random.nextInt(otherEntries);
    }

    private static MemberName entryName(int index) {
        return MemberName.of("entry-" + index);
    }

    private static AvailabilityZone callerZone(int entryIndex) {
        return AvailabilityZone.of("zone-" + entryIndex % CALLER_ZONE_COUNT);
    }

    private boolean isInterfering(BestEffortTaskId first, BestEffortTaskId second) {
        String firstKind = kindOf(first);
        return !firstKind.equals(kindOf(second))
                && INTERFERING_KINDS.contains(firstKind)
                && INTERFERING_KINDS.contains(kindOf(second));
    }

    private String kindOf(BestEffortTaskId task) {
        return jobs.get(task.job()).job().route().name().value();
    }

    private double workMillis(BestEffortTaskId task) {
        return jobs.get(task.job()).taskWorkMillis()[task.index()];
    }
}
