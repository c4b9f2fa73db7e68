package org.gypsumflow.daemon;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.ValidationException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Starts the daemon from the command line. */
public final class Main {
    /** Exit code after a clean stop. */
    static final int EXIT_SUCCESS = 0;
    /** Exit code after a failure to start, such as a port that is taken. */
    static final int EXIT_START_FAILED = 1;
    /** Environment variable that names the settings file when no option does. */
    static final String SETTINGS_VARIABLE = "GYPSUMFLOW_CONFIG";
    /** Exit code after a wrong option or setting. */
    static final int EXIT_INVALID_SETTING = 2;

    @Option(
            name = "--settings",
            metaVar = "FILE",
            usage = "TOML file with the settings; if missing, the file that " + SETTINGS_VARIABLE + " names")
    private Path settings;

    @Option(name = "--set", metaVar = "NAME=VALUE", usage = "setting that goes above the file; may be repeated")
    private List<String> overrides = new ArrayList<>();

    @Option(name = "--check", usage = "check the settings and exit")
    private boolean checkOnly;

    private Main() {}

    /**
     * Runs the daemon until it is told to stop.
     *
     * @param arguments options of the command line
     */
    public static void main(String[] arguments) {
        System.exit(new Main().run(arguments));
    }

    /**
     * Checks a settings file, as the option {@code --check} does.
     *
     * @param settings the file
     * @return 0 if it can be used, 2 if a setting is missing, wrong or unknown
     */
    public static int check(Path settings) {
        return new Main().run(new String[] {"--settings", settings.toString(), "--check"});
    }

    private int run(String[] arguments) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
            SettingsReader reader = read();
            return BestEffortSettings.isPresentIn(reader)
                    ? serve(BestEffortSettings.read(reader), BestEffortDaemon::start)
                    : serve(AtMostOnceSettings.read(reader), Daemon::start);
        } catch (CmdLineException wrongOption) {
            System.err.println(wrongOption.getMessage());
            parser.printUsage(System.err);
            return EXIT_INVALID_SETTING;
        } catch (ValidationException wrongSetting) {
            new TinylogEventLog().write(Event.BAD_SETTING, wrongSetting.getMessage());
            return EXIT_INVALID_SETTING;
        }
    }

    private Path file() {
        String variable = System.getenv(SETTINGS_VARIABLE);
        Check.isTrue(settings != null || variable != null, "--settings", "is missing, and so is " + SETTINGS_VARIABLE);
        return settings != null ? settings : Path.of(variable);
    }

    private SettingsReader read() {
        SettingsReader reader = SettingsReader.of(file());
        overrides.forEach(reader::override);
        return reader;
    }

    /** A file that cannot be used changes nothing and is told at once. */
    private void reload(Daemon daemon) {
        try {
            daemon.events().write(Event.SETTINGS_RELOADED, daemon.reload(read()));
        } catch (ValidationException wrong) {
            daemon.events().write(Event.SETTINGS_RELOADED, "refused, the running settings stay: " + wrong.getMessage());
        }
    }

    private void watch(Daemon daemon) {
        SettingsFileWatcher watch = SettingsFileWatcher.of(file());
        SingleThreadExecutor.create("settings", daemon.events())
                .scheduleWithFixedDelay(SettingsFileWatcher.POLL_INTERVAL, () -> {
                    if (watch.hasChanged()) {
                        reload(daemon);
                    }
                    return true;
                });
    }

    // A hook is the only way to hear SIGTERM, and a plain process has no server that manages it.
    @SuppressWarnings("ShutdownHook")
    private <T> int serve(T checked, Function<T, Daemon> starter) {
        if (checkOnly) {
            return EXIT_SUCCESS;
        }
        Daemon daemon;
        try {
            daemon = starter.apply(checked);
        } catch (RuntimeException failure) {
            new TinylogEventLog().write(Event.BAD_SETTING, failure);
            return EXIT_START_FAILED;
        }
        SighupHandler.install(() -> reload(daemon));
        watch(daemon);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.shutdown();
                            stopped.countDown();
                        },
                        "leave"));
        try {
            stopped.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return EXIT_SUCCESS;
    }
}
