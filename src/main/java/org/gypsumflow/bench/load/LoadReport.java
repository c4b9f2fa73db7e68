package org.gypsumflow.bench.load;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What became of the jobs of one run. */
final class LoadReport {
    /** Worth of an answer after the objective, as a share of one in time; as on the users' sheets. */
    static final double LATE_WORTH = 0.2;
    /** Multiple of the objective after which an answer is worth nothing. */
    static final double USELESS_AFTER = 3;

    /** How a job ended. */
    enum Fate {
        IN_TIME,
        LATE,
        USELESS,
        REFUSED,
        FAILED,
        CANCELLED
    }

    /** Counts of one kind of job. */
    static final class Row {
        private final Map<Fate, Integer> fates = new EnumMap<>(Fate.class);
        private double owed;
        private double earned;

        int count(Fate fate) {
            return fates.getOrDefault(fate, 0);
        }

        int jobs() {
            return fates.values().stream().mapToInt(Integer::intValue).sum();
        }

        double worth() {
            return owed == 0 ? 1 : earned / owed;
        }
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final double[] owedBySecond = new double[(int) LoadPattern.LENGTH.toSeconds() + 1];
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

    void job(JobKind.Drawn drawn, double arrivedSeconds, Fate fate) {
        Row row = rows.computeIfAbsent(drawn.job().route().name().value(), name -> new Row());
        row.fates.merge(fate, 1, Integer::sum);
        tasks += drawn.job().taskCount();
        if (fate == Fate.IN_TIME || fate == Fate.LATE) {
            usefulCoreSeconds += Arrays.stream(drawn.workMillis()).sum()
                    * drawn.job().resourcesPerTask().cpuMillicores()
                    / 1e6;
        }
        if (fate == Fate.CANCELLED) {
            return;
        }
        double value = fate == Fate.IN_TIME ? drawn.worth() : fate == Fate.LATE ? drawn.worth() * LATE_WORTH : 0;
        int second = (int) Math.min(owedBySecond.length - 1, arrivedSeconds);
        row.owed += drawn.worth();
        row.earned += value;
        owed += drawn.worth();
        earned += value;
        owedBySecond[second] += drawn.worth();
        earnedBySecond[second] += value;
    }

    void close(double coreSeconds, long sent) {
        spentCoreSeconds = coreSeconds;
        messages = sent;
    }

    /** Returns the earned share of what whole answers in time would have earned. */
    double worth() {
        return owed == 0 ? 1 : earned / owed;
    }

    /** Returns the earned share of the worst two seconds in a row. */
    double worstWindow() {
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
    double worthOfSecond(int second) {
        return owedBySecond[second] == 0 ? 1 : earnedBySecond[second] / owedBySecond[second];
    }

    double worthOf(String kind) {
        return rows.get(kind).worth();
    }

    int count(Fate fate) {
        return rows.values().stream().mapToInt(row -> row.count(fate)).sum();
    }

    double messagesPerTask() {
        return tasks == 0 ? 0 : (double) messages / tasks;
    }

    /** Writes the report as text, a line a kind. */
    String text() {
        StringBuilder text = new StringBuilder(String.format(
                "worth %.3f, worst two seconds %.3f, spent %.0f core seconds for %.0f useful ones, %.2f messages a task%n",
                worth(), worstWindow(), spentCoreSeconds, usefulCoreSeconds, messagesPerTask()));
        rows.forEach((name, row) -> text.append(String.format(
                "  %-8s worth %.3f: %5d jobs, %5d in time, %4d late, %4d useless, %4d refused, %4d failed, %4d cancelled%n",
                name,
                row.worth(),
                row.jobs(),
                row.count(Fate.IN_TIME),
                row.count(Fate.LATE),
                row.count(Fate.USELESS),
                row.count(Fate.REFUSED),
                row.count(Fate.FAILED),
                row.count(Fate.CANCELLED))));
        return text.toString();
    }
}
