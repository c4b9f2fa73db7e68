package org.gypsumflow.model;

import java.util.concurrent.CompletionException;

/** Fails the {@link java.util.concurrent.CompletableFuture} of a request with a {@link RequestError}. */
public final class RequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient RequestError error;

    private RequestException(RequestError error) {
        super(error.code() + ": " + error.message());
        this.error = error;
    }

    /**
     * Wraps an error.
     *
     * @param error why the request failed
     * @return the exception
     */
    public static RequestException of(RequestError error) {
        return new RequestException(error);
    }

    /**
     * Returns the error with which a future failed.
     *
     * @param failure exception with which the future was completed
     * @return the error; a {@link ValidationException} becomes an error with code {@link ErrorCode#INVALID_REQUEST},
     *     and any other exception an {@link ErrorCode#INTERNAL} error of a request that may have run
     */
    public static RequestError errorOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof RequestException known) {
            return known.error;
        }
        if (cause instanceof ValidationException invalid) {
            return RequestError.notRun(ErrorCode.INVALID_REQUEST, invalid.getMessage());
        }
        return RequestError.mayHaveRun(ErrorCode.INTERNAL, "internal error: " + cause);
    }

    /**
     * Returns why the request failed.
     *
     * @return the error
     */
    public RequestError error() {
        return error;
    }
}
