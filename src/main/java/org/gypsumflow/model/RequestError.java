package org.gypsumflow.model;

/**
 * Why a request failed, and whether it may have run.
 *
 * @param verdict whether the request may have run
 * @param code kind of the error
 * @param message description for the caller or operator, with the value that caused the error
 */
public record RequestError(Verdict verdict, ErrorCode code, String message) {
    /**
     * Creates the error of a request that has not run and will not run.
     *
     * @param code kind of the error
     * @param message description for the caller or operator
     * @return the error
     */
    public static RequestError notRun(ErrorCode code, String message) {
        return new RequestError(Verdict.NOT_RUN, code, message);
    }

    /**
     * Creates the error of a request that may have run.
     *
     * @param code kind of the error
     * @param message description for the caller or operator
     * @return the error
     */
    public static RequestError mayHaveRun(ErrorCode code, String message) {
        return new RequestError(Verdict.MAY_HAVE_RUN, code, message);
    }

    /**
     * Wraps this error in an exception, with which a future can be completed.
     *
     * @return the exception
     */
    public RequestException toException() {
        return RequestException.of(this);
    }
}
