package org.gypsumflow.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.daemon.SettingsReader;
import org.gypsumflow.model.ValidationException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Options of the command line; they take precedence over the settings file. */
final class Options {
    private static final int MAX_TIMEOUT_MILLIS = 300_000;

    @Option(
            name = "--entry",
            metaVar = "URL",
            usage = "entry to connect to; may be repeated, the first that responds is used")
    private List<String> entries = new ArrayList<>();

    @Option(
            name = "--token",
            metaVar = "TOKEN",
            usage = "token that authenticates the caller; preferably set in the settings file")
    private String token;

    @Option(name = "--settings", metaVar = "FILE", usage = "TOML file with entries and token")
    private Path settings;

    @Option(name = "--json", usage = "print JSON")
    private boolean json;

    @Option(name = "--watch", usage = "wait until the plan is applied and print its progress")
    private boolean watch;

    @Option(name = "--override", usage = "confirm even if the plan closes the last capacity of a service")
    private boolean override;

    @Option(name = "--caller", metaVar = "CALLER", usage = "caller whose job an operator queries")
    private String caller;

    @Option(name = "--key", metaVar = "KEY", usage = "idempotency key of the job to submit")
    private String key;

    @Option(name = "--timeout-millis", metaVar = "MILLIS", usage = "timeout of the job to submit")
    private int timeoutMillis = 30_000;

    @Option(name = "--help", aliases = "-h", usage = "print this help")
    private boolean help;

    @Argument(metaVar = "VERB WORD...", multiValued = true)
    private List<String> verbAndArguments = new ArrayList<>();

    boolean isHelp() {
        return help || verbAndArguments.isEmpty();
    }

    boolean isJson() {
        return json;
    }

    boolean isWatch() {
        return watch;
    }

    boolean isOverride() {
        return override;
    }

    String caller() {
        return caller;
    }

    String key() {
        if (key == null) {
            throw ValidationException.of("--key", "is missing; the key makes it safe to submit again");
        }
        return key;
    }

    int timeoutMillis() {
        if (timeoutMillis < 1 || timeoutMillis > MAX_TIMEOUT_MILLIS) {
            throw ValidationException.of(
                    "--timeout-millis", "is " + timeoutMillis + ", but must be from 1 to " + MAX_TIMEOUT_MILLIS);
        }
        return timeoutMillis;
    }

    String verb() {
        return verbAndArguments.get(0);
    }

    List<String> arguments() {
        return verbAndArguments.subList(1, verbAndArguments.size());
    }

    List<String> entries() {
        List<String> urls = entries.isEmpty() ? readSettingsFile().stringList("entries") : entries;
        if (urls.isEmpty()) {
            throw ValidationException.of("--entry", "is missing; name an entry such as http://127.0.0.1:8101");
        }
        return urls;
    }

    String token() {
        if (token != null) {
            return token;
        }
        return readSettingsFile()
                .optionalString("token")
                .orElseThrow(() -> ValidationException.of(
                        "--token", "is missing from the command line and from the settings file"));
    }

    private SettingsReader readSettingsFile() {
        if (settings == null || !Files.exists(settings)) {
            return SettingsReader.parse("");
        }
        SettingsReader reader = SettingsReader.of(settings);
        reader.stringList("entries");
        reader.optionalString("token");
        reader.rejectUnknown();
        return reader;
    }
}
