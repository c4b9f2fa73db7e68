package org.gypsumflow.model;

/**
 * Identifies a claim: log records with the same nonce belong to one claim, and only one entry ever uses a nonce.
 *
 * @param high upper 64 random bits
 * @param low lower 64 random bits
 */
public record ClaimNonce(long high, long low) {
    /**
     * Creates a nonce from random bits.
     *
     * @param high upper 64 random bits
     * @param low lower 64 random bits
     * @return the nonce
     */
    public static ClaimNonce of(long high, long low) {
        return new ClaimNonce(high, low);
    }
}
