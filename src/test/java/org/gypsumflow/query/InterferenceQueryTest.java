package org.gypsumflow.query;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.gypsumflow.command.interference.InterferingPair;
import org.gypsumflow.model.RouteName;
import org.gypsumflow.query.InterferenceQuery.Row;
import org.testng.annotations.Test;

public final class InterferenceQueryTest {
    private static InterferingPair pair(String route, double factor, boolean believed) {
        return new InterferingPair(
                RouteName.of(route),
                RouteName.of("other"),
                factor,
                1.234,
                12.345,
                50,
                Duration.ofSeconds(2),
                believed,
                3);
    }

    @Test
    public void pairsThatAreKeptApartComeFirstThenThoseWithTheHighestFactor() {
        List<Row> rows = InterferenceQuery.rows(
                List.of(pair("low", 1.2, false), pair("high", 1.9, false), pair("apart", 1.5, true)));
        assertEquals(rows.stream().map(Row::route).toList(), List.of("apart", "high", "low"));
        assertEquals(rows.get(0), new Row("apart", "other", true, 1.5, 1.23, 12.35, 50, 2000, 3));
    }
}
