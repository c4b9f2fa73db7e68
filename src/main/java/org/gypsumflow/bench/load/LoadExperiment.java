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
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ValidationException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Plays patterns of load under a rule, prints what became of the jobs, and compares it with an earlier run. */
public final class LoadExperiment {
    private static final int EXIT_BAD_OPTION = 2;
    private static final int DEFAULT_SEEDS = 3;

    @Argument(metaVar = "PATTERN", usage = "patterns to play; all if none is named")
    private List<String> patterns = new ArrayList<>();

    @Option(name = "--seeds", metaVar = "NUMBER", usage = "number of seeds to play each pattern with")
    private int seeds = DEFAULT_SEEDS;

    @Option(name = "--first-seed", metaVar = "SEED", usage = "the first seed")
    private long firstSeed = 1;

    @Option(name = "--rule", metaVar = "NAME", usage = "rule that chooses workers")
    private String rule = BaselinePolicies.PRODUCTION_POLICY;

    @Option(name = "--save", metaVar = "FILE", usage = "write the worth of each pattern and seed as CSV")
    private Path save;

    @Option(name = "--against", metaVar = "FILE", usage = "compare with such a file, play by play")
    private Path against;

    @Option(name = "--plot", metaVar = "FILE", usage = "write the worth of each second as a PNG")
    private Path plot;

    @Option(name = "--quiet", usage = "print one line a pattern")
    private boolean quiet;

    private record Play(String pattern, long seed) {
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
        } catch (CmdLineException | ValidationException wrong) {
            System.err.println(wrong.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_BAD_OPTION);
        }
    }

    private void run() {
        Map<String, LoadPattern> known = LoadPattern.all();
        List<String> names = patterns.isEmpty() ? List.copyOf(known.keySet()) : patterns;
        LongFunction<JobPlacementPolicy> chosen = BaselinePolicies.all().get(rule);
        Check.isTrue(
                chosen != null,
                "--rule",
                "\"" + rule + "\" is none of " + BaselinePolicies.all().keySet());
        Map<Play, Double> worth = new LinkedHashMap<>();
        Map<String, List<LoadReport>> reports = new LinkedHashMap<>();
        for (String name : names) {
            Check.isTrue(known.containsKey(name), "PATTERN", "\"" + name + "\" is none of " + known.keySet());
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                LoadReport report = LoadSimulation.simulate(known.get(name), chosen.apply(seed), seed);
                worth.put(new Play(name, seed), report.valueRatio());
                reports.computeIfAbsent(name, first -> new ArrayList<>()).add(report);
            }
            print(name, reports.get(name));
        }
        if (against != null) {
            compare(worth);
        }
        if (save != null) {
            write(worth);
        }
        if (plot != null) {
            LoadPlot.write(plot, reports);
        }
    }

    private void print(String name, List<LoadReport> played) {
        double mean =
                played.stream().mapToDouble(LoadReport::valueRatio).average().orElse(0);
        double worst = played.stream()
                .mapToDouble(LoadReport::worstWindowValueRatio)
                .average()
                .orElse(0);
        System.out.printf("%-22s worth %.3f, worst two seconds %.3f (means of %d seeds)%n", name, mean, worst, seeds);
        if (!quiet) {
            System.out.print(played.get(0).text());
        }
    }

    private void compare(Map<Play, Double> worth) {
        Map<String, Double> before = read();
        Map<String, List<Double>> gains = new LinkedHashMap<>();
        worth.forEach((play, now) -> {
            Double then = before.get(play.toString());
            if (then != null) {
                gains.computeIfAbsent(play.pattern(), first -> new ArrayList<>())
                        .add(now - then);
            }
        });
        gains.forEach((pattern, each) -> System.out.printf(
                "%-22s %+.4f in the mean, %+.4f at worst, over %d pairs%n",
                pattern,
                each.stream().mapToDouble(Double::doubleValue).average().orElse(0),
                each.stream().mapToDouble(Double::doubleValue).min().orElse(0),
                each.size()));
    }

    private Map<String, Double> read() {
        try {
            Map<String, Double> found = new HashMap<>();
            for (String line : Files.readAllLines(against)) {
                int comma = line.lastIndexOf(',');
                found.put(line.substring(0, comma), Double.parseDouble(line.substring(comma + 1)));
            }
            return found;
        } catch (IOException | RuntimeException unreadable) {
            throw ValidationException.of("--against", against + " is not a file that --save wrote: " + unreadable);
        }
    }

    private void write(Map<Play, Double> worth) {
        StringBuilder text = new StringBuilder();
        worth.forEach((play, each) -> text.append(play).append(',').append(each).append(System.lineSeparator()));
        try {
            Files.writeString(save, text);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }
}
