package org.gypsumflow.model;

/**
 * Says why a request was not answered, and whether it may have run.
 *
 * @param verdict whether the request may have run
 * @param code kind of the refusal
 * @param message text for a person, naming the thing that is wrong
 */
public record RequestError(Verdict verdict, ErrorCode code, String message) {
    /**
     * Creates a refusal of something that has not run and will not run.
     *
     * @param code kind of the refusal
     * @param message text for a person
     * @return the refusal
     */
    public static RequestError notRun(ErrorCode code, String message) {
        return new RequestError(Verdict.NOT_RUN, code, message);
    }

    /**
     * Creates a refusal of something that may have run.
     *
     * @param code kind of the refusal
     * @param message text for a person
     * @return the refusal
     */
    public static RequestError mayHaveRun(ErrorCode code, String message) {
        return new RequestError(Verdict.MAY_HAVE_RUN, code, message);
    }

    /**
     * Wraps this refusal for a failed future.
     *
     * @return the exception
     */
    public RequestException toException() {
        return RequestException.of(this);
    }
}
