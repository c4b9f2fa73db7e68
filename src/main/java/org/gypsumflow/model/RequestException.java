package org.gypsumflow.model;

import java.util.concurrent.CompletionException;

/** Fails a {@link java.util.concurrent.CompletableFuture} with a refusal. */
public final class RequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient RequestError refusal;

    private RequestException(RequestError refusal) {
        super(refusal.code() + ": " + refusal.message());
        this.refusal = refusal;
    }

    /**
     * Wraps a refusal.
     *
     * @param refusal the refusal
     * @return the exception
     */
    public static RequestException of(RequestError refusal) {
        return new RequestException(refusal);
    }

    /**
     * Finds the refusal behind the failure of a future.
     *
     * @param failure what the future failed with
     * @return the refusal; a failure of another kind counts as internal and as possibly run
     */
    public static RequestError errorOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof RequestException known) {
            return known.refusal;
        }
        if (cause instanceof ValidationException invalid) {
            return RequestError.notRun(ErrorCode.INVALID_REQUEST, invalid.getMessage());
        }
        return RequestError.mayHaveRun(ErrorCode.INTERNAL, "internal error: " + cause);
    }

    /**
     * Returns the refusal.
     *
     * @return the refusal
     */
    public RequestError error() {
        return refusal;
    }
}
