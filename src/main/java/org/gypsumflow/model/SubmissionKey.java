package org.gypsumflow.model;

/**
 * The key of a submission, which is one job that a caller submits under an idempotency key.
 *
 * <p>All requests of the caller with the same idempotency key, such as retries, belong to the same submission and must
 * contain the same job.
 *
 * @param caller caller that submits the job
 * @param key idempotency key that the caller chose
 */
public record SubmissionKey(Caller caller, String key) {
    /** Maximum length of an idempotency key, in characters. */
    public static final int MAX_KEY_LENGTH = 128;

    /** Validates the key. */
    public SubmissionKey {
        Check.text("Idempotency-Key", key, MAX_KEY_LENGTH);
        Check.isTrue(
                key.chars().allMatch(character -> character > ' ' && character < 127),
                "Idempotency-Key",
                "must hold printable ASCII characters without spaces");
    }

    /**
     * Creates the key of a submission.
     *
     * @param caller caller that submits the job
     * @param key idempotency key that the caller chose
     * @return the submission key
     * @throws ValidationException if the idempotency key is blank, too long or holds a space or a character other than
     *     printable ASCII
     */
    public static SubmissionKey of(Caller caller, String key) {
        return new SubmissionKey(caller, key);
    }

    /**
     * Returns the digest that identifies the submission in messages and log records.
     *
     * @return hash of the caller and the idempotency key
     */
    public SubmissionDigest digest() {
        return SubmissionDigest.ofText(caller.value() + '\n' + key);
    }
}
