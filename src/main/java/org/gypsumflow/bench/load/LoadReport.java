package org.gypsumflow.bench.load;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What became of the jobs of one run. */
final class LoadReport {
    /** Worth of an answer after the objective, as a share of one in time; as on the users' sheets. */
    static final double LATE_VALUE_SHARE = 0.2;
    /** Multiple of the objective after which an answer is worth nothing. */
    static final double HARD_DEADLINE_FACTOR = 3;

    /** How a job ended. */
    enum OutcomeCategory {
        IN_TIME,
        LATE,
        EXPIRED,
        REJECTED,
        FAILED,
        CANCELLED
    }

    /** Counts of one kind of job. */
    static final class KindTotals {
        private final Map<OutcomeCategory, Integer> fates = new EnumMap<>(OutcomeCategory.class);
        private double owed;
        private double earned;

        int count(OutcomeCategory fate) {
            return fates.getOrDefault(fate, 0);
        }

        int jobCount() {
            return fates.values().stream().mapToInt(Integer::intValue).sum();
        }

        double valueRatio() {
            return owed == 0 ? 1 : earned / owed;
        }
    }

    private final Map<String, KindTotals> rows = new LinkedHashMap<>();
    private final double[] owedBySecond = new double[(int) LoadPattern.ARRIVAL_DURATION.toSeconds() + 1];
    private final double[] earnedBySecond = new double[owedBySecond.length];
    private double owed;
    private double earned;
    private double usefulCoreSeconds;
    private double spentCoreSeconds;
    private long tasks;
    private long messages;

    private LoadReport() {}

    static LoadReport create() {
        return new LoadReport();
    }

    void recordJob(JobKind.GeneratedJob drawn, double arrivedSeconds, OutcomeCategory fate) {
        KindTotals row = rows.computeIfAbsent(drawn.job().route().name().value(), name -> new KindTotals());
        row.fates.merge(fate, 1, Integer::sum);
        tasks += drawn.job().taskCount();
        if (fate == OutcomeCategory.IN_TIME || fate == OutcomeCategory.LATE) {
            usefulCoreSeconds += Arrays.stream(drawn.taskWorkMillis()).sum()
                    * drawn.job().resourcesPerTask().cpuMillicores()
                    / 1e6;
        }
        if (fate == OutcomeCategory.CANCELLED) {
            return;
        }
        double value = fate == OutcomeCategory.IN_TIME
                ? drawn.value()
                : fate == OutcomeCategory.LATE ? drawn.value() * LATE_VALUE_SHARE : 0;
        int second = (int) Math.min(owedBySecond.length - 1, arrivedSeconds);
        row.owed += drawn.value();
        row.earned += value;
        owed += drawn.value();
        earned += value;
        owedBySecond[second] += drawn.value();
        earnedBySecond[second] += value;
    }

    void recordTotals(double coreSeconds, long sent) {
        spentCoreSeconds = coreSeconds;
        messages = sent;
    }

    /** Returns the earned share of what whole answers in time would have earned. */
    double valueRatio() {
        return owed == 0 ? 1 : earned / owed;
    }

    /** Returns the earned share of the worst two seconds in a row. */
    double worstWindowValueRatio() {
        double worst = 1;
        for (int second = 0; second + 1 < owedBySecond.length; second++) {
            double both = owedBySecond[second] + owedBySecond[second + 1];
            if (both > 0) {
                worst = Math.min(worst, (earnedBySecond[second] + earnedBySecond[second + 1]) / both);
            }
        }
        return worst;
    }

    /** Returns the earned share of one second. */
    double valueRatioOfSecond(int second) {
        return owedBySecond[second] == 0 ? 1 : earnedBySecond[second] / owedBySecond[second];
    }

    double valueRatioOf(String kind) {
        return rows.get(kind).valueRatio();
    }

    int count(OutcomeCategory fate) {
        return rows.values().stream().mapToInt(row -> row.count(fate)).sum();
    }

    double messagesPerTask() {
        return tasks == 0 ? 0 : (double) messages / tasks;
    }

    /** Writes the report as text, a line a kind. */
    String text() {
        StringBuilder text = new StringBuilder(String.format(
                "worth %.3f, worst two seconds %.3f, spent %.0f core seconds for %.0f useful ones, %.2f messages a task%n",
                valueRatio(), worstWindowValueRatio(), spentCoreSeconds, usefulCoreSeconds, messagesPerTask()));
        rows.forEach((name, row) -> text.append(String.format(
                "  %-8s worth %.3f: %5d jobs, %5d in time, %4d late, %4d useless, %4d refused, %4d failed, %4d cancelled%n",
                name,
                row.valueRatio(),
                row.jobCount(),
                row.count(OutcomeCategory.IN_TIME),
                row.count(OutcomeCategory.LATE),
                row.count(OutcomeCategory.EXPIRED),
                row.count(OutcomeCategory.REJECTED),
                row.count(OutcomeCategory.FAILED),
                row.count(OutcomeCategory.CANCELLED))));
        return text.toString();
    }
}
