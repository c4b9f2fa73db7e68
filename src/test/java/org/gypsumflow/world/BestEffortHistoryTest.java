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
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.gypsumflow.world.BestEffortHistory.Fault;
import org.testng.annotations.Test;

public final class BestEffortHistoryTest {
    private static final int HISTORIES_IN_CI = 200;

    private static Set<Fault> excludedFaults() {
        Set<Fault> excluded = EnumSet.noneOf(Fault.class);
        String names = System.getProperty("gypsumflow.excludedFaults", "");
        Arrays.stream(names.split(",", -1))
                .filter(name -> !name.isEmpty())
                .forEach(name -> excluded.add(Fault.valueOf(name)));
        return excluded;
    }

    private static BestEffortHistory run(long seed) {
        boolean traced = Long.getLong("gypsumflow.tracedSeed", -1) == seed;
        BestEffortHistory history = BestEffortHistory.run(seed, excludedFaults(), traced);
        history.simulation().traceLines.forEach(System.out::println);
        return history;
    }

    @Test
    public void everyPromiseAboutBestEffortJobsHoldsInEveryHistoryDrawnBySeed() {
        int first = Integer.getInteger("gypsumflow.firstSeed", 1);
        int count = Integer.getInteger("gypsumflow.histories", HISTORIES_IN_CI);
        Map<Fault, Integer> faults = Collections.synchronizedMap(new TreeMap<>());
        Map<String, Integer> outcomes = Collections.synchronizedMap(new TreeMap<>());
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        IntStream.range(first, first + count).parallel().forEach(seed -> {
            BestEffortHistory history = run(seed);
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

    @Test
    public void aHistoryOfBestEffortJobsIsTheSameWheneverItsSeedIsTheSame() {
        LongStream.of(3, 17).forEach(seed -> {
            BestEffortHistory first = BestEffortHistory.run(seed, Set.of(), true);
            BestEffortHistory second = BestEffortHistory.run(seed, Set.of(), true);
            assertEquals(second.simulation().traceLines, first.simulation().traceLines);
        });
    }
}
