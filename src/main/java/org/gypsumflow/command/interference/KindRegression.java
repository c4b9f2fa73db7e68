package org.gypsumflow.command.interference;

import java.util.Arrays;
import java.util.List;
import org.gypsumflow.model.BestEffortMessage.Neighbour;
import org.gypsumflow.model.RouteName;

/**
 * Ridge regression of the run durations of one kind of task on the kinds that ran beside it.
 *
 * <p>The tasks of a job take about equally long, so only differences between them count: durations and neighbours are
 * taken relative to their means within the job. All neighbours are estimated together, so that one that is often there
 * together with the disturbing one is not mistaken for it, and so is the share of the worker that was occupied. Standard
 * errors treat the runs of one job as one observation, since they share their workers.
 */
final class KindRegression {
    /** Neighbours of one kind that are kept. */
    static final int MAX_NEIGHBOURS = 8;

    /** Position of the occupied share among the variables; neighbours follow. */
    private static final int OCCUPIED = 0;

    private static final int VARIABLES = 1 + MAX_NEIGHBOURS;
    /** Half-life of the evidence: behaviour of a few minutes ago counts, that of the last hour hardly. */
    static final double HALF_LIFE_NANOS = 120e9;
    /** Prior precision of an effect, in runs: without evidence the estimate is no effect. */
    private static final double RIDGE = 0.5;
    /** Prior standard deviation of run durations within a job, as the users state it, as a natural logarithm. */
    private static final double PRIOR_DEVIATION = 0.15;
    /** Maximum deviation of a run from its job, as a natural logarithm, so that a single hang counts no more than that. */
    private static final double MAX_DEVIATION = 1;
    /** Overlap from which a run counts as one beside the neighbour. */
    private static final double MIN_SHARE_BESIDE = 0.5;

    private final RouteName[] neighbours = new RouteName[MAX_NEIGHBOURS];
    private final double[] uses = new double[MAX_NEIGHBOURS];
    private final double[] runsBeside = new double[MAX_NEIGHBOURS];
    private double runs;
    private final double[][] crossProducts = new double[VARIABLES][VARIABLES];
    private final double[][] errorProducts = new double[VARIABLES][VARIABLES];
    private final double[] responses = new double[VARIABLES];
    private double[] effects = new double[VARIABLES];
    private double[] standardErrors = new double[VARIABLES];
    private long updatedNanos;

    KindRegression(long nowNanos) {
        updatedNanos = nowNanos;
        Arrays.fill(standardErrors, Double.POSITIVE_INFINITY);
    }

    /** Adds the runs of one job, two at least; returns by position the neighbours that had to make room for others. */
    RouteName[] add(List<RunObservation> job, long nowNanos) {
        age(nowNanos);
        RouteName[] replaced = admitNeighbours(job);
        double[][] variables = new double[job.size()][VARIABLES];
        double[] deviations = new double[job.size()];
        for (int run = 0; run < job.size(); run++) {
            fillVariables(variables[run], job.get(run));
            deviations[run] = job.get(run).logWork();
        }
        subtractMeans(variables, deviations);
        double[] jobError = new double[VARIABLES];
        for (int run = 0; run < job.size(); run++) {
            double deviation = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviations[run]));
            double error = deviation - product(variables[run], effects);
            for (int row = 0; row < VARIABLES; row++) {
                responses[row] += variables[run][row] * deviation;
                jobError[row] += variables[run][row] * error;
                for (int column = 0; column < VARIABLES; column++) {
                    crossProducts[row][column] += variables[run][row] * variables[run][column];
                }
            }
        }
        for (int row = 0; row < VARIABLES; row++) {
            for (int column = 0; column < VARIABLES; column++) {
                errorProducts[row][column] += jobError[row] * jobError[column];
            }
        }
        solve();
        return replaced;
    }

    /** Lets the evidence fade for the time that has passed. */
    void age(long nowNanos) {
        double remaining = Math.pow(0.5, Math.max(0, (double) (nowNanos - updatedNanos)) / HALF_LIFE_NANOS);
        updatedNanos = nowNanos;
        runs *= remaining;
        for (int row = 0; row < VARIABLES; row++) {
            responses[row] *= remaining;
            for (int column = 0; column < VARIABLES; column++) {
                crossProducts[row][column] *= remaining;
                errorProducts[row][column] *= remaining;
            }
        }
        for (int slot = 0; slot < MAX_NEIGHBOURS; slot++) {
            uses[slot] *= remaining;
            runsBeside[slot] *= remaining;
        }
    }

    /** Returns the neighbour at a position, or null if the position is free. */
    RouteName neighbour(int slot) {
        return neighbours[slot];
    }

    /** Returns the natural logarithm of the factor by which the neighbour lengthens a run. */
    double effect(int slot) {
        return effects[1 + slot];
    }

    double standardError(int slot) {
        return standardErrors[1 + slot];
    }

    /** Returns the runs beside the neighbour, older ones counted in part. */
    double runsBeside(int slot) {
        return runsBeside[slot];
    }

    /** Returns the runs apart from the neighbour, older ones counted in part. */
    double runsApart(int slot) {
        return runs - runsBeside[slot];
    }

    private void fillVariables(double[] variables, RunObservation observation) {
        runs++;
        variables[OCCUPIED] = observation.surroundings().occupiedShare();
        for (Neighbour neighbour : observation.surroundings().neighbours()) {
            int slot = find(neighbour.route());
            if (slot >= 0) {
                variables[1 + slot] = neighbour.overlapShare();
                runsBeside[slot] += neighbour.overlapShare() >= MIN_SHARE_BESIDE ? 1 : 0;
            }
        }
    }

    /** A newcomer takes the place of the least used neighbour once it has been seen as often. */
    private RouteName[] admitNeighbours(List<RunObservation> job) {
        RouteName[] replaced = new RouteName[MAX_NEIGHBOURS];
        for (RunObservation observation : job) {
            for (Neighbour neighbour : observation.surroundings().neighbours()) {
                int slot = find(neighbour.route());
                if (slot < 0) {
                    slot = leastUsed();
                    uses[slot] -= neighbour.overlapShare();
                    if (uses[slot] > 0) {
                        continue;
                    }
                    clear(slot);
                    replaced[slot] = neighbours[slot];
                    neighbours[slot] = neighbour.route();
                }
                uses[slot] += neighbour.overlapShare();
            }
        }
        return replaced;
    }

    private int find(RouteName route) {
        for (int slot = 0; slot < MAX_NEIGHBOURS; slot++) {
            if (route.equals(neighbours[slot])) {
                return slot;
            }
        }
        return -1;
    }

    private int leastUsed() {
        int least = 0;
        for (int slot = 0; slot < MAX_NEIGHBOURS; slot++) {
            if (neighbours[slot] == null) {
                return slot;
            }
            least = uses[slot] < uses[least] ? slot : least;
        }
        return least;
    }

    private void clear(int slot) {
        uses[slot] = 0;
        runsBeside[slot] = 0;
        int cleared = 1 + slot;
        responses[cleared] = 0;
        effects[cleared] = 0;
        standardErrors[cleared] = Double.POSITIVE_INFINITY;
        for (int other = 0; other < VARIABLES; other++) {
            crossProducts[cleared][other] = 0;
            crossProducts[other][cleared] = 0;
            errorProducts[cleared][other] = 0;
            errorProducts[other][cleared] = 0;
        }
    }

    private static void subtractMeans(double[][] variables, double[] deviations) {
        double meanDeviation = Arrays.stream(deviations).average().orElse(0);
        double[] means = new double[VARIABLES];
        for (double[] run : variables) {
            for (int column = 0; column < VARIABLES; column++) {
                means[column] += run[column] / variables.length;
            }
        }
        for (int run = 0; run < variables.length; run++) {
            deviations[run] -= meanDeviation;
            for (int column = 0; column < VARIABLES; column++) {
                variables[run][column] -= means[column];
            }
        }
    }

    private void solve() {
        double[][] regularized = new double[VARIABLES][];
        for (int row = 0; row < VARIABLES; row++) {
            regularized[row] = crossProducts[row].clone();
            regularized[row][row] += RIDGE;
        }
        double[][] inverse = inverse(regularized);
        double[] newEffects = new double[VARIABLES];
        double[] newErrors = new double[VARIABLES];
        for (int row = 0; row < VARIABLES; row++) {
            newEffects[row] = product(inverse[row], responses);
            double variance = RIDGE * PRIOR_DEVIATION * PRIOR_DEVIATION * product(inverse[row], inverse[row]);
            for (int column = 0; column < VARIABLES; column++) {
                variance += inverse[row][column] * product(errorProducts[column], inverse[row]);
            }
            newErrors[row] = Math.sqrt(Math.max(0, variance));
        }
        effects = newEffects;
        standardErrors = newErrors;
    }

    private static double product(double[] first, double[] second) {
        double sum = 0;
        for (int index = 0; index < first.length; index++) {
            sum += first[index] * second[index];
        }
        return sum;
    }

    /** Inverts a symmetric positive definite matrix by Gauss-Jordan elimination, which needs no pivoting for these. */
    private static double[][] inverse(double[][] matrix) {
        int size = matrix.length;
        double[][] result = new double[size][size];
        for (int index = 0; index < size; index++) {
            result[index][index] = 1;
        }
        for (int pivot = 0; pivot < size; pivot++) {
            double scale = 1 / matrix[pivot][pivot];
            for (int column = 0; column < size; column++) {
                matrix[pivot][column] *= scale;
                result[pivot][column] *= scale;
            }
            for (int row = 0; row < size; row++) {
                double factor = matrix[row][pivot];
                if (row == pivot || factor == 0) {
                    continue;
                }
                for (int column = 0; column < size; column++) {
                    matrix[row][column] -= factor * matrix[pivot][column];
                    result[row][column] -= factor * result[pivot][column];
                }
            }
        }
        return result;
    }
}
