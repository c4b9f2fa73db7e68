package org.gypsumflow.model;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a submission in messages and log records by 128 bits of a cryptographic hash of its key.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record SubmissionDigest(long high, long low) {
    /**
     * Creates a digest from its two halves.
     *
     * @param high upper 64 bits
     * @param low lower 64 bits
     * @return the digest
     */
    public static SubmissionDigest of(long high, long low) {
        return new SubmissionDigest(high, low);
    }

    /**
     * Hashes a text with SHA-256 and truncates the hash to 128 bits.
     *
     * @param text text to hash
     * @return the digest
     */
    public static SubmissionDigest ofText(String text) {
        byte[] hash = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes();
        return new SubmissionDigest(
                Longs.fromByteArray(hash),
                Longs.fromBytes(hash[8], hash[9], hash[10], hash[11], hash[12], hash[13], hash[14], hash[15]));
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
