package org.gypsumflow.cli;

import java.util.List;
import org.gypsumflow.model.ValidationException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Main class of the command-line tool. */
public final class Main {
    private Main() {}

    /**
     * Runs one command or query and exits with one of the codes of {@link ExitCode}.
     *
     * @param arguments options, the verb of the command or query, and the verb's arguments
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
            if (options.isHelp()) {
                Help.print(System.out, parser);
                return ExitCode.SUCCESS;
            }
            return dispatch(options);
        } catch (CmdLineException | ValidationException invalid) {
            System.err.println("gypsumflow: " + invalid.getMessage());
            System.err.println("Try \"gypsumflow --help\".");
            return ExitCode.USAGE_ERROR;
        }
    }

    private static int dispatch(Options options) {
        String verb = options.verb();
        List<String> verbArguments = options.arguments();
        try (EntryClient client = EntryClient.create(options.entries(), options.token())) {
            Printer printer = Printer.create(System.out, options.isJson());
            if (CommandVerbs.NAMES.contains(verb)) {
                return CommandVerbs.create(client, printer, options).run(verb, verbArguments);
            }
            if (QueryVerbs.NAMES.contains(verb)) {
                return QueryVerbs.create(client, printer, options).run(verb, verbArguments);
            }
        }
        throw ValidationException.of(
                "verb",
                "\"" + verb + "\" is unknown; commands are " + CommandVerbs.NAMES + ", queries are "
                        + QueryVerbs.NAMES);
    }
}
