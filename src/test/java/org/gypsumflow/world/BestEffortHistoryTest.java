package org.gypsumflow.world;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.world.BestEffortHistory.Fault;
import org.testng.annotations.Test;

public final class BestEffortHistoryTest {
    private static final int HISTORIES_IN_CI = 200;
    private static final int LONG_HISTORIES_IN_CI = 40;
    private static final DispatchFeatures CALL_RECOVERY = new DispatchFeatures(false, false, false, false, true);
    private static final DispatchFeatures OVERLOAD_CONTROL = new DispatchFeatures(true, false, false, false, false);
    private static final DispatchFeatures ALL = new DispatchFeatures(true, true, true, true, true);
    private static final int DELEGATING_HISTORIES_IN_CI = 100;
    private static final Set<Fault> CALLS_THAT_FAIL = Set.of(
            Fault.WORKER_CLOSES_IDLE_CONNECTIONS,
            Fault.WORKER_CLOSES_CONNECTIONS,
            Fault.WORKER_LEAVES_CALLS_UNANSWERED,
            Fault.WORKER_FREEZES);
    private static final Set<Fault> ENTRIES_THAT_STOP =
            Set.of(Fault.KILL_ENTRY, Fault.KILL_ENTRY_AND_AGENT, Fault.PAUSE_ENTRY, Fault.SUSPEND_ENTRY);
    private static final Set<Fault> WORKERS_THAT_CRASH =
            Set.of(Fault.WORKER_CRASHES, Fault.WORKER_CRASHES_AND_REPORTS_LATE);

    private static Set<Fault> excludedFaults() {
        Set<Fault> excluded = EnumSet.noneOf(Fault.class);
        String names = System.getProperty("gypsumflow.excludedFaults", "");
        Arrays.stream(names.split(",", -1))
                .filter(name -> !name.isEmpty())
                .forEach(name -> excluded.add(Fault.valueOf(name)));
        return excluded;
    }

    private static BestEffortHistory run(long seed, DispatchFeatures features) {
        boolean traced = Long.getLong("gypsumflow.tracedSeed", -1) == seed;
        BestEffortHistory history = BestEffortHistory.run(seed, excludedFaults(), traced, features);
        history.simulation().traceLines.forEach(System.out::println);
        return history;
    }

    @Test
    public void everyPromiseAboutBestEffortJobsHoldsInEveryHistoryDrawnBySeed() {
        drawHistories(seed -> run(seed, DispatchFeatures.none()));
    }

    @Test
    public void everyPromiseHoldsInEveryHistoryWhenUnansweredCallsAreSentAgain() {
        drawHistories(seed -> run(seed, CALL_RECOVERY));
    }

    @Test
    public void everyPromiseHoldsInEveryHistoryWhenEntriesAreOverloaded() {
        drawHistories(seed -> run(seed, OVERLOAD_CONTROL));
    }

    @Test
    public void everyPromiseHoldsInEveryHistoryWithAllPartsSwitchedOn() {
        drawHistories(seed -> run(seed, ALL));
    }

    // Guards against two runs of one task and lost jobs: a few percent of the calls to workers are carried out late.
    @Test
    public void everyPromiseHoldsInEveryHistoryWhenSomeCallsAreCarriedOutLate() {
        drawHistories(seed -> BestEffortHistory.runWithUnansweredCalls(seed, false, CALL_RECOVERY));
        drawHistories(seed -> BestEffortHistory.runWithUnansweredCalls(seed, false, DispatchFeatures.none()));
    }

    private static void drawHistories(LongFunction<BestEffortHistory> draw) {
        int first = Integer.getInteger("gypsumflow.firstSeed", 1);
        int count = Integer.getInteger("gypsumflow.histories", HISTORIES_IN_CI);
        Map<Fault, Integer> faults = Collections.synchronizedMap(new TreeMap<>());
        Map<String, Integer> outcomes = Collections.synchronizedMap(new TreeMap<>());
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        IntStream.range(first, first + count).parallel().forEach(seed -> {
            BestEffortHistory history = draw.apply(seed);
            violations.addAll(BestEffortInvariants.violations(history));
            history.faultCounts().forEach((fault, times) -> faults.merge(fault, times, Integer::sum));
            history.simulation()
                    .attempts
                    .forEach(attempt -> outcomes.merge(
                            attempt.decided == null
                                    ? "none"
                                    : attempt.decided.verdict().name(),
                            1,
                            Integer::sum));
        });
        System.out.println("histories: " + count + ", faults: " + faults + ", outcomes: " + outcomes);
        violations.stream()
                .sorted()
                .limit(Integer.getInteger("gypsumflow.shownViolations", 40))
                .forEach(System.out::println);
        assertEquals(violations, List.of());
    }

    // Guards against two runs of one task: what a second start waits for was forgotten while a long job ran.
    @Test
    public void noTaskOfALongJobRunsTwiceAtTheSameTimeInAnyHistoryDrawnBySeed() {
        drawLongHistories(DispatchFeatures.none());
    }

    @Test
    public void noTaskOfALongJobRunsTwiceAtTheSameTimeWhenUnansweredCallsAreSentAgain() {
        drawLongHistories(CALL_RECOVERY);
    }

    private static void drawLongHistories(DispatchFeatures features) {
        int first = Integer.getInteger("gypsumflow.firstSeed", 1);
        int count = Integer.getInteger("gypsumflow.longHistories", LONG_HISTORIES_IN_CI);
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        IntStream.range(first, first + count).parallel().forEach(seed -> {
            boolean traced = Long.getLong("gypsumflow.tracedSeed", -1) == seed;
            BestEffortHistory history = BestEffortHistory.runWithLongJobs(seed, traced, features);
            history.simulation().traceLines.forEach(System.out::println);
            violations.addAll(BestEffortInvariants.violationsOfSafety(history));
        });
        violations.stream().sorted().limit(40).forEach(System.out::println);
        assertEquals(violations, List.of());
    }

    // Guards against two runs of one task: a job that is handed over to a peer has no owner for a moment, or two.
    @Test
    public void everyPromiseHoldsInEveryHistoryDrawnBySeedWhoseEntriesHandJobsOver() {
        int first = Integer.getInteger("gypsumflow.firstSeed", 1);
        int count = Integer.getInteger("gypsumflow.delegatingHistories", DELEGATING_HISTORIES_IN_CI);
        Map<String, Integer> decisions = Collections.synchronizedMap(new TreeMap<>());
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        IntStream.range(first, first + count).parallel().forEach(seed -> {
            boolean traced = Long.getLong("gypsumflow.tracedSeed", -1) == seed;
            BestEffortHistory history = BestEffortHistory.runWithDelegations(
                    seed, excludedFaults(), traced, seed % 2 == 0 ? ALL : DispatchFeatures.none());
            history.simulation().traceLines.forEach(System.out::println);
            violations.addAll(BestEffortInvariants.violations(history));
            history.simulation().decisions.forEach((decision, times) -> decisions.merge(decision, times, Integer::sum));
        });
        System.out.println("histories with delegations: " + count + ", decisions: " + decisions);
        violations.stream().sorted().limit(40).forEach(System.out::println);
        assertEquals(violations, List.of());
    }

    @Test
    public void aHistoryOfBestEffortJobsIsTheSameWheneverItsSeedIsTheSame() {
        LongStream.of(3, 17).forEach(seed -> {
            BestEffortHistory first = BestEffortHistory.run(seed, Set.of(), true);
            BestEffortHistory second = BestEffortHistory.run(seed, Set.of(), true);
            assertEquals(second.simulation().traceLines, first.simulation().traceLines);
        });
    }

    /** Asserts that the promises hold in histories that failed once, without the faults that led to other failures. */
    @SafeVarargs
    private static void assertPromisesHold(List<Long> seeds, Set<Fault>... excludedFaults) {
        Set<Fault> excluded = EnumSet.noneOf(Fault.class);
        Arrays.stream(excludedFaults).forEach(excluded::addAll);
        List<String> violations = new ArrayList<>();
        seeds.forEach(seed ->
                violations.addAll(BestEffortInvariants.violations(BestEffortHistory.run(seed, excluded, false))));
        assertEquals(violations, List.of());
    }

    // Guards against two runs of one task: an agent that had been idle took the lease of a run that it had just started
    // for expired when its worker closed a connection.
    @Test
    public void aRunIsNotStartedElsewhereWhenTheWorkerOfAnIdleAgentClosesAConnection() {
        assertPromisesHold(List.of(1L, 12L, 13L, 24L));
    }

    // Guards against two runs of one task: an agent that resumed after a pause started an assignment that had arrived
    // during the pause, after its entry had assigned the task elsewhere.
    @Test
    public void anAssignmentThatArrivedDuringAPauseOfTheAgentDoesNotStart() {
        assertPromisesHold(List.of(800L, 1769L, 2334L), CALLS_THAT_FAIL);
    }

    // Guards against two runs of one task: an entry that had restarted did not know the jobs that its peers had
    // accepted before, and started one of them when its caller sent it again.
    @Test
    public void anEntryThatRestartedDoesNotStartAJobThatAnotherEntryStillRuns() {
        assertPromisesHold(List.of(1049L, 1405L, 3161L), CALLS_THAT_FAIL);
        assertPromisesHold(List.of(1801L, 3620L));
    }

    // Guards against two runs of one task: an entry that was not connected to the owner of a job when the owner
    // accepted it, or is not when the job is sent again, started it.
    @Test
    public void anEntryThatIsSeparatedFromAnotherDoesNotStartAJobThatTheOtherStillRuns() {
        assertPromisesHold(List.of(3067L), CALLS_THAT_FAIL, ENTRIES_THAT_STOP, WORKERS_THAT_CRASH);
        assertPromisesHold(List.of(4981L));
    }

    // Guards against two runs of one task: an entry that is separated from the owner of a job from before the owner
    // accepts it until after its caller sends it again cannot learn that it has an owner.
    @Test
    public void anEntryThatIsSeparatedFromTheOwnerAllTheWhileDoesNotStartAJobThatTheOwnerStillRuns() {
        assertPromisesHold(List.of(10322L));
    }

    // Guards against two runs of one task: an entry that has restarted and is not connected to the others yet starts a
    // job that one of them still runs.
    @Test
    public void anEntryThatHasRestartedAndIsNotConnectedYetDoesNotStartAJobThatAnotherEntryStillRuns() {
        assertPromisesHold(List.of(1362L, 13376L));
    }

    // Guards against two runs of one task: an entry took over a job 200 ms after its owner had abandoned it, while the
    // stop was still on its way to an agent over a slow connection.
    @Test
    public void aJobIsNotTakenOverBeforeItsFormerRunsHaveEnded() {
        assertPromisesHold(List.of(4510L), CALLS_THAT_FAIL, ENTRIES_THAT_STOP, WORKERS_THAT_CRASH);
    }

    // Guards against two runs of one task: an entry took over a job at once that its owner had ended just before, when
    // the
    // owner noticed that the caller had disconnected, while the owner's stops were still under way.
    @Test
    public void aJobIsNotTakenOverAtOnceWhenItsOwnerHasJustEndedIt() {
        assertPromisesHold(List.of(4071L), EnumSet.complementOf(EnumSet.of(Fault.CALLER_DISCONNECTS_UNNOTICED)));
    }

    // Guards against two runs of one task: an entry that resumed after a pause started a job that had been sent to it
    // during the pause, although its caller had sent the job to another entry since.
    @Test
    public void aJobThatArrivedDuringAPauseOfTheEntryDoesNotRunTwice() {
        assertPromisesHold(List.of(36780L));
        assertPromisesHold(List.of(3181L), CALLS_THAT_FAIL);
    }

    // Guards against two runs of one task: a new incarnation of the worker accepted a start before its first report
    // reached the agent, which then counted the run as lost with those of the previous incarnation.
    @Test
    public void aRunThatANewIncarnationOfTheWorkerAcceptedBeforeItsReportIsNotLost() {
        assertPromisesHold(List.of(384L, 3783L), CALLS_THAT_FAIL);
        assertPromisesHold(List.of(1863L, 3783L, 4374L));
    }

    // Guards against jobs that never complete: an agent that restarted with a lower fencing token than its predecessor
    // had used was rejected by its worker for good, and returned each assignment to entries that repeated it at once.
    @Test
    public void anAgentThatRestartsAfterItsClockWasSetBackUsesItsWorkerAgain() {
        assertPromisesHold(List.of(182L), CALLS_THAT_FAIL);
    }
}
