package org.gypsumflow.model;

/**
 * Matches the reply of another process to the request that it replies to.
 *
 * @param value number that the requesting process uses for one request only
 */
public record RequestId(long value) {
    /**
     * Creates an id.
     *
     * @param value number that the requesting process uses for one request only
     * @return the id
     */
    public static RequestId of(long value) {
        return new RequestId(value);
    }
}
