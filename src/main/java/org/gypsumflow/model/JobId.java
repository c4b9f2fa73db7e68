package org.gypsumflow.model;

import java.util.regex.Pattern;

/**
 * Identifies a best-effort job; the caller chooses the id and repeats it when it resubmits the job.
 *
 * @param value the id, 16 lower-case hexadecimal digits
 */
public record JobId(String value) implements Comparable<JobId> {
    private static final Pattern FORMAT = Pattern.compile("[0-9a-f]{16}");

    /** Validates the text. */
    public JobId {
        Check.isTrue(
                value != null && FORMAT.matcher(value).matches(),
                "job",
                "\"" + value + "\" must be 16 lower-case hexadecimal digits");
    }

    /**
     * Creates an id from its text.
     *
     * @param value text of the id
     * @return the id
     * @throws ValidationException if the text does not consist of 16 lower-case hexadecimal digits
     */
    public static JobId of(String value) {
        return new JobId(value);
    }

    // Cheaper than the generated methods, which are linked at run time.
    @Override
    public boolean equals(Object other) {
        return other instanceof JobId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
