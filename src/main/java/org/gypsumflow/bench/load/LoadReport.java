package org.gypsumflow.bench.load;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Outcomes, value and cost of the jobs of one simulation. */
final class LoadReport {
    /** Value of a result after the objective, as a share of one in time, as in the users' requirements. */
    static final double LATE_VALUE_SHARE = 0.2;
    /** Multiple of the objective after which a result has no value. */
    static final double HARD_DEADLINE_FACTOR = 3;

    /** Outcome of a job, by whether its result came in time. */
    enum OutcomeCategory {
        IN_TIME,
        LATE,
        EXPIRED,
        REJECTED,
        FAILED,
        CANCELLED
    }

    /** Totals of one kind of job. */
    static final class KindTotals {
        private final Map<OutcomeCategory, Integer> counts = new EnumMap<>(OutcomeCategory.class);
        private double maxValue;
        private double earnedValue;

        int count(OutcomeCategory category) {
            return counts.getOrDefault(category, 0);
        }

        int jobCount() {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }

        double valueRatio() {
            return maxValue == 0 ? 1 : earnedValue / maxValue;
        }
    }

    private final Map<String, KindTotals> totalsByKind = new LinkedHashMap<>();
    private final double[] maxValueBySecond = new double[(int) LoadPattern.ARRIVAL_DURATION.toSeconds() + 1];
    private final double[] earnedValueBySecond = new double[maxValueBySecond.length];
    private double maxValue;
    private double earnedValue;
    private double usefulCoreSeconds;
    private double spentCoreSeconds;
    private long taskCount;
    private long messageCount;
    private int believedPairs;

    private LoadReport() {}

    static LoadReport create() {
        return new LoadReport();
    }

    void recordJob(JobKind.GeneratedJob job, double arrivedSeconds, OutcomeCategory category) {
        KindTotals totals =
                totalsByKind.computeIfAbsent(job.job().route().name().value(), name -> new KindTotals());
        totals.counts.merge(category, 1, Integer::sum);
        taskCount += job.job().taskCount();
        if (category == OutcomeCategory.IN_TIME || category == OutcomeCategory.LATE) {
            usefulCoreSeconds += Arrays.stream(job.taskWorkMillis()).sum()
                    * job.job().resourcesPerTask().cpuMillicores()
                    / 1e6;
        }
        if (category == OutcomeCategory.CANCELLED) {
            return;
        }
        double earned = category == OutcomeCategory.IN_TIME
                ? job.value()
                : category == OutcomeCategory.LATE ? job.value() * LATE_VALUE_SHARE : 0;
        int second = (int) Math.min(maxValueBySecond.length - 1, arrivedSeconds);
        totals.maxValue += job.value();
        totals.earnedValue += earned;
        maxValue += job.value();
        earnedValue += earned;
        maxValueBySecond[second] += job.value();
        earnedValueBySecond[second] += earned;
    }

    void recordTotals(double coreSeconds, long sent) {
        spentCoreSeconds = coreSeconds;
        messageCount = sent;
    }

    /** Records the pairs of kinds that all entries together keep apart at the end. */
    void recordBelievedPairs(int count) {
        believedPairs = count;
    }

    int believedPairs() {
        return believedPairs;
    }

    /** Returns the earned share of the value of all jobs but the cancelled ones; 1 if there are none. */
    double valueRatio() {
        return maxValue == 0 ? 1 : earnedValue / maxValue;
    }

    /** Returns the value ratio of the worst two consecutive seconds. */
    double worstWindowValueRatio() {
        double lowest = 1;
        for (int second = 0; second + 1 < maxValueBySecond.length; second++) {
            double windowValue = maxValueBySecond[second] + maxValueBySecond[second + 1];
            if (windowValue > 0) {
                lowest =
                        Math.min(lowest, (earnedValueBySecond[second] + earnedValueBySecond[second + 1]) / windowValue);
            }
        }
        return lowest;
    }

    /** Returns the value ratio of the jobs that arrived in one second; 1 if there were none. */
    double valueRatioOfSecond(int second) {
        return maxValueBySecond[second] == 0 ? 1 : earnedValueBySecond[second] / maxValueBySecond[second];
    }

    double valueRatioOf(String kind) {
        return totalsByKind.get(kind).valueRatio();
    }

    int count(OutcomeCategory category) {
        return totalsByKind.values().stream()
                .mapToInt(totals -> totals.count(category))
                .sum();
    }

    double messagesPerTask() {
        return taskCount == 0 ? 0 : (double) messageCount / taskCount;
    }

    /** Formats the report as text, one line per kind of job. */
    String text() {
        StringBuilder text = new StringBuilder(String.format(
                "value ratio %.3f, worst two seconds %.3f, used %.0f core seconds for %.0f useful ones, %.2f messages per task,"
                        + " %d pairs of kinds kept apart%n",
                valueRatio(),
                worstWindowValueRatio(),
                spentCoreSeconds,
                usefulCoreSeconds,
                messagesPerTask(),
                believedPairs));
        totalsByKind.forEach((name, totals) -> text.append(String.format(
                "  %-8s value ratio %.3f: %5d jobs, %5d in time, %4d late, %4d expired, %4d rejected, %4d failed, %4d cancelled%n",
                name,
                totals.valueRatio(),
                totals.jobCount(),
                totals.count(OutcomeCategory.IN_TIME),
                totals.count(OutcomeCategory.LATE),
                totals.count(OutcomeCategory.EXPIRED),
                totals.count(OutcomeCategory.REJECTED),
                totals.count(OutcomeCategory.FAILED),
                totals.count(OutcomeCategory.CANCELLED))));
        return text.toString();
    }
}
