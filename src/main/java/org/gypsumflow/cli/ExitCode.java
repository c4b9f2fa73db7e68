package org.gypsumflow.cli;

import org.gypsumflow.cli.EntryClient.Response;

/** Exit codes of the tool; docs/OPERATING.md lists them. */
final class ExitCode {
    /** Done, or the job completed. */
    static final int SUCCESS = 0;
    /** The entry refused it and nothing ran. */
    static final int REJECTED = 1;
    /** Wrong option, verb or setting. */
    static final int USAGE_ERROR = 2;
    /** No entry answered. */
    static final int UNREACHABLE = 3;
    /** It may have run, or was carried out only in part. */
    static final int MAY_HAVE_RUN = 4;
    /** It ran and failed. */
    static final int FAILED = 5;

    private static final int FIRST_ERROR_STATUS = 400;

    private ExitCode() {}

    static int of(Response answer) {
        if (answer.status() < FIRST_ERROR_STATUS) {
            return SUCCESS;
        }
        return switch (answer.json().path("verdict").asText("NOT_RUN")) {
            case "MAY_HAVE_RUN" -> MAY_HAVE_RUN;
            case "FAILED" -> FAILED;
            default -> REJECTED;
        };
    }
}
