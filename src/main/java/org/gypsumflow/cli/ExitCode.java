package org.gypsumflow.cli;

import org.gypsumflow.cli.EntryClient.Response;

/** Exit codes of the command-line tool; docs/OPERATING.md lists them. */
final class ExitCode {
    /** The command or query succeeded, or the job completed. */
    static final int SUCCESS = 0;
    /** The entry rejected the request and nothing ran. */
    static final int REJECTED = 1;
    /** An option, verb or setting is invalid. */
    static final int USAGE_ERROR = 2;
    /** No entry responded. */
    static final int UNREACHABLE = 3;
    /** The request may have run, or was carried out only in part. */
    static final int MAY_HAVE_RUN = 4;
    /** The job ran and failed. */
    static final int FAILED = 5;

    private static final int FIRST_ERROR_STATUS = 400;

    private ExitCode() {}

    static int of(Response response) {
        if (response.status() < FIRST_ERROR_STATUS) {
            return SUCCESS;
        }
        return switch (response.json().path("verdict").asText("NOT_RUN")) {
            case "MAY_HAVE_RUN" -> MAY_HAVE_RUN;
            case "FAILED" -> FAILED;
            default -> REJECTED;
        };
    }
}
