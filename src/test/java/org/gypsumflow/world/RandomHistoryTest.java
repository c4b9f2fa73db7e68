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
    public void everyPromiseHoldsInEveryHistoryDrawnBySeed() {
        int first = Integer.getInteger("gypsumflow.firstSeed", 1);
        int count = Integer.getInteger("gypsumflow.histories", HISTORIES_IN_CI);
        Map<RandomHistory.Fault, Integer> faults = Collections.synchronizedMap(new TreeMap<>());
        Map<String, Integer> verdicts = Collections.synchronizedMap(new TreeMap<>());
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        IntStream.range(first, first + count).parallel().forEach(seed -> {
            RandomHistory history = RandomHistory.run(seed);
            Promises.broken(history.world()).forEach(each -> broken.add("seed " + seed + ": " + each));
            history.injected().forEach((fault, times) -> faults.merge(fault, times, Integer::sum));
            history.world().requests.forEach(request -> verdicts.merge(name(request), 1, Integer::sum));
        });
        System.out.println("histories: " + count + ", faults: " + faults + ", answers: " + verdicts);
        broken.stream().sorted().limit(40).forEach(System.out::println);
        assertEquals(broken, List.of());
    }

    @Test
    public void everyPromiseHoldsInTheHistoriesThatFailedOnce() {
        LongStream.of(106, 189, 1293)
                .forEach(seed ->
                        assertEquals(Promises.broken(RandomHistory.run(seed).world()), List.of(), "seed " + seed));
    }

    @Test
    public void aHistoryIsTheSameWheneverItsSeedIsTheSame() {
        LongStream.of(3, 17).forEach(seed -> {
            RandomHistory once = RandomHistory.run(seed);
            RandomHistory again = RandomHistory.run(seed);
            assertEquals(again.world().journal, once.world().journal);
        });
    }

    private static String name(Request request) {
        Verdict verdict = request.verdict();
        return verdict == null ? "connection lost" : verdict.name();
    }
}
