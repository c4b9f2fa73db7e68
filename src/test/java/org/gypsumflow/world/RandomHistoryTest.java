package org.gypsumflow.world;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.gypsumflow.model.Verdict;
import org.testng.annotations.Test;

public final class RandomHistoryTest {
    private static final int HISTORIES_IN_CI = 200;

    @Test
    public void everyInvariantHoldsInEveryHistoryDrawnBySeed() {
        int first = Integer.getInteger("gypsumflow.firstSeed", 1);
        int count = Integer.getInteger("gypsumflow.histories", HISTORIES_IN_CI);
        Map<RandomHistory.Fault, Integer> faults = Collections.synchronizedMap(new TreeMap<>());
        Map<String, Integer> verdicts = Collections.synchronizedMap(new TreeMap<>());
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        IntStream.range(first, first + count).parallel().forEach(seed -> {
            RandomHistory history = RandomHistory.run(seed);
            InvariantChecker.violations(history.simulation())
                    .forEach(each -> violations.add("seed " + seed + ": " + each));
            history.faultCounts().forEach((fault, times) -> faults.merge(fault, times, Integer::sum));
            history.simulation().requests.forEach(request -> verdicts.merge(verdictName(request), 1, Integer::sum));
        });
        System.out.println("histories: " + count + ", faults: " + faults + ", outcomes: " + verdicts);
        violations.stream().sorted().limit(40).forEach(System.out::println);
        assertEquals(violations, List.of());
    }

    @Test
    public void everyInvariantHoldsInTheHistoriesThatFailedOnce() {
        LongStream.of(106, 189, 1293)
                .forEach(seed -> assertEquals(
                        InvariantChecker.violations(RandomHistory.run(seed).simulation()), List.of(), "seed " + seed));
    }

    @Test
    public void aHistoryIsTheSameWheneverItsSeedIsTheSame() {
        LongStream.of(3, 17).forEach(seed -> {
            RandomHistory first = RandomHistory.run(seed);
            RandomHistory second = RandomHistory.run(seed);
            assertEquals(second.simulation().taskStarts, first.simulation().taskStarts);
        });
    }

    private static String verdictName(Request request) {
        Verdict verdict = request.verdict();
        return verdict == null ? "connection lost" : verdict.name();
    }
}
