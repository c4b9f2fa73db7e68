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
import org.tinylog.jul.JulTinylogBridge;

/** Starts the daemon from the command line. */
public final class Main {
    /** Exit code after an orderly shutdown, and after a successful check of the settings. */
    static final int EXIT_SUCCESS = 0;
    /** Exit code after a failed start, for example because a port is in use. */
    static final int EXIT_START_FAILED = 1;
    /** Environment variable with the path of the settings file; used if the option {@code --settings} is missing. */
    static final String SETTINGS_VARIABLE = "GYPSUMFLOW_CONFIG";
    /** Exit code after an invalid option or setting. */
    static final int EXIT_INVALID_SETTING = 2;

    @Option(
            name = "--settings",
            metaVar = "FILE",
            usage = "TOML file with the settings; default: the file named by " + SETTINGS_VARIABLE
                    + " in the environment")
    private Path settings;

    @Option(name = "--set", metaVar = "NAME=VALUE", usage = "setting that overrides the file; may be repeated")
    private List<String> overrides = new ArrayList<>();

    @Option(name = "--check", usage = "check the settings and exit")
    private boolean checkOnly;

    private Main() {}

    /**
     * Runs the daemon until it receives a signal to stop, then exits the process.
     *
     * @param arguments command-line options
     */
    public static void main(String[] arguments) {
        int exitCode = new Main().run(arguments);
        BufferedConsoleWriter.flushLog();
        System.exit(exitCode);
    }

    /**
     * Validates a settings file, as the option {@code --check} does.
     *
     * @param settings path of the settings file
     * @return exit code: 0 if the settings are valid, 2 if one is missing, invalid or unknown
     */
    public static int check(Path settings) {
        return new Main().run(new String[] {"--settings", settings.toString(), "--check"});
    }

    private int run(String[] arguments) {
        // The default handler of java.util.logging waits for the reader of the standard error.
        JulTinylogBridge.activate();
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
            SettingsReader reader = readSettings();
            return BestEffortSettings.isPresentIn(reader)
                    ? serve(BestEffortSettings.read(reader), BestEffortDaemon::start)
                    : serve(AtMostOnceSettings.read(reader), Daemon::start);
        } catch (CmdLineException invalidOption) {
            System.err.println(invalidOption.getMessage());
            parser.printUsage(System.err);
            return EXIT_INVALID_SETTING;
        } catch (ValidationException invalidSetting) {
            new TinylogEventLog().write(Event.BAD_SETTING, invalidSetting.getMessage());
            return EXIT_INVALID_SETTING;
        }
    }

    private Path settingsFile() {
        String variable = System.getenv(SETTINGS_VARIABLE);
        Check.isTrue(
                settings != null || variable != null,
                "--settings",
                "is missing and the environment does not set " + SETTINGS_VARIABLE);
        return settings != null ? settings : Path.of(variable);
    }

    private SettingsReader readSettings() {
        SettingsReader reader = SettingsReader.of(settingsFile());
        overrides.forEach(reader::override);
        return reader;
    }

    /** Reloads the settings. An invalid file changes nothing and is logged immediately. */
    private void reload(Daemon daemon) {
        try {
            daemon.events().write(Event.SETTINGS_RELOADED, daemon.reload(readSettings()));
        } catch (ValidationException invalid) {
            daemon.events()
                    .write(Event.SETTINGS_RELOADED, "rejected, keeping the running settings: " + invalid.getMessage());
        }
    }

    private void watchSettingsFile(Daemon daemon) {
        SettingsFileWatcher watchSettingsFile = SettingsFileWatcher.of(settingsFile());
        SingleThreadExecutor.create("settings", daemon.events())
                .scheduleWithFixedDelay(SettingsFileWatcher.POLL_INTERVAL, () -> {
                    if (watchSettingsFile.hasChanged()) {
                        reload(daemon);
                    }
                    return true;
                });
    }

    // A shutdown hook is the only supported way to handle SIGTERM; no application server manages this process.
    @SuppressWarnings("ShutdownHook")
    private <T> int serve(T settingsToUse, Function<T, Daemon> startDaemon) {
        if (checkOnly) {
            return EXIT_SUCCESS;
        }
        Daemon daemon;
        try {
            daemon = startDaemon.apply(settingsToUse);
        } catch (RuntimeException failure) {
            new TinylogEventLog().write(Event.BAD_SETTING, failure);
            return EXIT_START_FAILED;
        }
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) ->
                daemon.events().write(Event.INTERNAL_ERROR, "thread " + thread.getName(), failure));
        SighupHandler.install(() -> reload(daemon));
        watchSettingsFile(daemon);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.shutdown();
                            BufferedConsoleWriter.flushLog();
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
