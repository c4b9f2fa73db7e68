package org.gypsumflow.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.CmdLineParser;

/** Prints the help of the command-line tool, with commands and queries apart. */
final class Help {
    private static final String VERBS = """
            Commands (change state):
              submit SERVICE PAYLOAD...   run a job            gypsumflow submit bookings 120 80 --key order-17
              cancel KEY                  cancel a job         gypsumflow cancel order-17
              tickets COUNT               fetch tickets        gypsumflow tickets 20
              plan INTENT                 propose a change     gypsumflow plan "drain sofia"
              confirm PLAN                apply a plan         gypsumflow confirm 1f0c22ab --watch

            Queries (only read):
              status                      state of the entry   gypsumflow status
              workers                     all workers          gypsumflow workers --json
              history                     all plans            gypsumflow history
              outcome PLAN                outcome of a plan    gypsumflow outcome 1f0c22ab
              job KEY                     outcome of a job     gypsumflow job order-17 --caller ruseva

            Intents: drain ZONE, open ZONE, stop SERVICE, start SERVICE, quarantine WORKER, release WORKER,
            quota CALLER TASKS, rule NAME VALUE; "for" and a reason may follow.

            Exit codes: 0 success, 1 rejected and not run, 2 invalid usage, 3 no entry responded, 4 may have run,
            5 ran and failed.

            Options:
            """;

    private Help() {}

    static void print(PrintStream out, CmdLineParser parser) {
        out.println("usage: gypsumflow [OPTION...] VERB [WORD...]");
        out.println();
        out.print(VERBS);
        parser.printUsage(out);
    }
}
