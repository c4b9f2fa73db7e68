package org.gypsumflow.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gypsumflow.bench.load.JobKind.GeneratedJob;
import org.gypsumflow.model.AvailabilityZone;

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

    private record FinishedJob(double coreSeconds, boolean served) {}

    /** Totals of the jobs of one kind, or of the callers of one zone. */
    private static final class Totals {
        private final Map<OutcomeCategory, Integer> counts = new EnumMap<>(OutcomeCategory.class);
        private double maxValue;
        private double earnedValue;
        private final List<FinishedJob> jobs = new ArrayList<>();

        private void record(GeneratedJob job, OutcomeCategory category, double earned) {
            maxValue += job.value();
            earnedValue += earned;
            jobs.add(new FinishedJob(
                    job.coreSeconds(), category == OutcomeCategory.IN_TIME || category == OutcomeCategory.LATE));
        }

        /** Returns how often the largest tenth is served, as a ratio to how often all are. */
        private double largestTenthRatio() {
            List<FinishedJob> largest = jobs.stream()
                    .sorted(Comparator.comparingDouble(FinishedJob::coreSeconds).reversed())
                    .limit((jobs.size() + 9) / 10)
                    .toList();
            return servedShare(jobs) == 0 ? 1 : servedShare(largest) / servedShare(jobs);
        }

        private static double servedShare(List<FinishedJob> jobs) {
            return (double) jobs.stream().filter(FinishedJob::served).count() / Math.max(1, jobs.size());
        }

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

    private final Map<String, Totals> totalsByKind = new LinkedHashMap<>();
    private final Map<AvailabilityZone, Totals> totalsByZone = new TreeMap<>();
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

    void recordJob(GeneratedJob job, AvailabilityZone callerZone, double arrivedSeconds, OutcomeCategory category) {
        Totals totals = totalsByKind.computeIfAbsent(job.job().route().name().value(), name -> new Totals());
        totals.counts.merge(category, 1, Integer::sum);
        taskCount += job.job().taskCount();
        if (category == OutcomeCategory.IN_TIME || category == OutcomeCategory.LATE) {
            usefulCoreSeconds += job.coreSeconds();
        }
        if (category == OutcomeCategory.CANCELLED) {
            return;
        }
        double earned = category == OutcomeCategory.IN_TIME
                ? job.value()
                : category == OutcomeCategory.LATE ? job.value() * LATE_VALUE_SHARE : 0;
        int second = (int) Math.min(maxValueBySecond.length - 1, arrivedSeconds);
        totals.record(job, category, earned);
        totalsByZone.computeIfAbsent(callerZone, zone -> new Totals()).record(job, category, earned);
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

    double worstKindValueRatio() {
        return totalsByKind.values().stream()
                .mapToDouble(Totals::valueRatio)
                .min()
                .orElse(1);
    }

    double worstZoneValueRatio() {
        return totalsByZone.values().stream()
                .mapToDouble(Totals::valueRatio)
                .min()
                .orElse(1);
    }

    /** Returns how often the largest tenth of a kind is served, as a ratio to its whole kind, for the worst kind. */
    double worstLargestTenthRatio() {
        return totalsByKind.values().stream()
                .mapToDouble(Totals::largestTenthRatio)
                .min()
                .orElse(1);
    }

    /** Returns the share of the jobs that were not cancelled whose results came in time. */
    double inTimeRatio() {
        int cancelled = count(OutcomeCategory.CANCELLED);
        int jobCount = totalsByKind.values().stream().mapToInt(Totals::jobCount).sum();
        return (double) count(OutcomeCategory.IN_TIME) / Math.max(1, jobCount - cancelled);
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
