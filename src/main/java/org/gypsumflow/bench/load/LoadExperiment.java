package org.gypsumflow.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ValidationException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Simulates load patterns under a placement policy, reports the outcomes, and compares them with an earlier run. */
public final class LoadExperiment {
    private static final int EXIT_USAGE_ERROR = 2;
    private static final int DEFAULT_SEEDS = 3;

    @Argument(metaVar = "PATTERN", usage = "load patterns to run; default: all")
    private List<String> patterns = new ArrayList<>();

    @Option(name = "--seeds", metaVar = "NUMBER", usage = "number of seeds to run each pattern with")
    private int seeds = DEFAULT_SEEDS;

    @Option(name = "--first-seed", metaVar = "SEED", usage = "the first seed")
    private long firstSeed = 1;

    @Option(name = "--rule", metaVar = "NAME", usage = "policy that selects workers")
    private String policyName = BaselinePolicies.PRODUCTION_POLICY;

    @Option(name = "--capacity-sharing", usage = "switch on the sharing of capacity that is short")
    private boolean capacitySharing;

    @Option(name = "--save", metaVar = "FILE", usage = "write the value ratio of each pattern and seed as CSV")
    private Path outputFile;

    @Option(name = "--against", metaVar = "FILE", usage = "compare with a file written by --save, run by run")
    private Path referenceFile;

    @Option(name = "--plot", metaVar = "FILE", usage = "write the worth of each second as a PNG")
    private Path plotFile;

    @Option(name = "--quiet", usage = "print one line for each pattern")
    private boolean quiet;

    private record RunKey(String pattern, long seed) {
        @Override
        public String toString() {
            return pattern + "," + seed;
        }
    }

    private LoadExperiment() {}

    /**
     * Runs the experiment.
     *
     * @param arguments options of the command line
     */
    public static void main(String[] arguments) {
        LoadExperiment experiment = new LoadExperiment();
        CmdLineParser parser = new CmdLineParser(experiment);
        try {
            parser.parseArgument(arguments);
            experiment.run();
        } catch (CmdLineException | ValidationException invalid) {
            System.err.println(invalid.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE_ERROR);
        }
    }

    private void run() {
        Map<String, LoadPattern> knownPatterns = LoadPattern.all();
        List<String> names = patterns.isEmpty() ? List.copyOf(knownPatterns.keySet()) : patterns;
        LongFunction<JobPlacementPolicy> policyFactory = BaselinePolicies.all().get(policyName);
        Check.isTrue(
                policyFactory != null,
                "--rule",
                "\"" + policyName + "\" is not one of " + BaselinePolicies.all().keySet());
        DispatchFeatures features = new DispatchFeatures(false, false, capacitySharing, false, false);
        Map<RunKey, Double> valueRatios = new LinkedHashMap<>();
        Map<String, List<LoadReport>> reports = new LinkedHashMap<>();
        for (String name : names) {
            Check.isTrue(
                    knownPatterns.containsKey(name),
                    "PATTERN",
                    "\"" + name + "\" is not one of " + knownPatterns.keySet());
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                LoadReport report =
                        LoadSimulation.simulate(knownPatterns.get(name), policyFactory.apply(seed), features, seed);
                valueRatios.put(new RunKey(name, seed), report.valueRatio());
                reports.computeIfAbsent(name, first -> new ArrayList<>()).add(report);
            }
            print(name, reports.get(name));
        }
        if (referenceFile != null) {
            compare(valueRatios);
        }
        if (outputFile != null) {
            write(valueRatios);
        }
        if (plotFile != null) {
            LoadPlot.write(plotFile, reports);
        }
    }

    private void print(String name, List<LoadReport> seedReports) {
        System.out.printf(
                "%-22s value ratio %.3f, worst two seconds %.3f, worst kind %.3f, worst zone %.3f, in time %.3f,"
                        + " largest tenth of the worst kind served %.2f of its kind (means of %d seeds)%n",
                name,
                mean(seedReports, LoadReport::valueRatio),
                mean(seedReports, LoadReport::worstWindowValueRatio),
                mean(seedReports, LoadReport::worstKindValueRatio),
                mean(seedReports, LoadReport::worstZoneValueRatio),
                mean(seedReports, LoadReport::inTimeRatio),
                mean(seedReports, LoadReport::worstLargestTenthRatio),
                seeds);
        if (!quiet) {
            System.out.print(seedReports.get(0).text());
        }
    }

    private static double mean(List<LoadReport> reports, ToDoubleFunction<LoadReport> figure) {
        return reports.stream().mapToDouble(figure).average().orElse(0);
    }

    private void compare(Map<RunKey, Double> valueRatios) {
        Map<String, Double> earlierRatios = read();
        Map<String, List<Double>> differences = new LinkedHashMap<>();
        valueRatios.forEach((key, now) -> {
            Double earlier = earlierRatios.get(key.toString());
            if (earlier != null) {
                differences
                        .computeIfAbsent(key.pattern(), first -> new ArrayList<>())
                        .add(now - earlier);
            }
        });
        differences.forEach((pattern, each) -> System.out.printf(
                "%-22s mean difference %+.4f, lowest %+.4f, %d seeds compared%n",
                pattern,
                each.stream().mapToDouble(Double::doubleValue).average().orElse(0),
                each.stream().mapToDouble(Double::doubleValue).min().orElse(0),
                each.size()));
    }

    private Map<String, Double> read() {
        try {
            Map<String, Double> ratios = new HashMap<>();
            for (String line : Files.readAllLines(referenceFile)) {
                int comma = line.lastIndexOf(',');
                ratios.put(line.substring(0, comma), Double.parseDouble(line.substring(comma + 1)));
            }
            return ratios;
        } catch (IOException | RuntimeException unreadable) {
            throw ValidationException.of(
                    "--against", referenceFile + " is not a file written by --save: " + unreadable);
        }
    }

    private void write(Map<RunKey, Double> valueRatios) {
        StringBuilder text = new StringBuilder();
        valueRatios.forEach(
                (key, each) -> text.append(key).append(',').append(each).append(System.lineSeparator()));
        try {
            Files.writeString(outputFile, text);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }
}
