package org.gypsumflow.model;

/**
 * Tells one claim from another; two log records with one nonce are one claim, and only one entry ever uses it.
 *
 * @param high upper 64 random bits
 * @param low lower 64 random bits
 */
public record ClaimNonce(long high, long low) {
    /**
     * Wraps random bits.
     *
     * @param high upper 64 bits
     * @param low lower 64 bits
     * @return the nonce
     */
    public static ClaimNonce of(long high, long low) {
        return new ClaimNonce(high, low);
    }
}
