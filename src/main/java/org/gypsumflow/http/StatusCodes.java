package org.gypsumflow.http;

import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Verdict;

/** Maps verdicts and error codes to HTTP status codes. */
final class StatusCodes {
    private StatusCodes() {}

    static int of(Verdict verdict) {
        return switch (verdict) {
            case COMPLETED -> 200;
            case FAILED -> 502;
            case NOT_RUN -> 503;
            case MAY_HAVE_RUN -> 504;
        };
    }

    static int of(ErrorCode code) {
        return switch (code) {
            case INVALID_REQUEST -> 400;
            case UNKNOWN_CALLER -> 401;
            case NOT_AN_OPERATOR -> 403;
            case NOT_FOUND -> 404;
            case CONFLICT, OVERRIDE_NEEDED -> 409;
            case BAD_TICKET -> 410;
            case BODY_TOO_LARGE -> 413;
            case KEY_REUSED -> 422;
            case OVERLOADED, OVER_QUOTA -> 429;
            case INTERNAL -> 500;
            case NO_TARGET, SERVICE_STOPPED, LOG_UNAVAILABLE, LEAVING, CUT_OFF -> 503;
            case TIMEOUT, HOLDER_LOST -> 504;
        };
    }
}
