package org.gypsumflow.model;

import java.util.regex.Pattern;

/**
 * Identifies a job; the caller chooses it and repeats it when it sends the job again.
 *
 * @param value the text, sixteen lower-case hexadecimal digits
 */
public record JobId(String value) implements Comparable<JobId> {
    private static final Pattern FORM = Pattern.compile("[0-9a-f]{16}");

    /** Validates the text. */
    public JobId {
        Check.isTrue(
                value != null && FORM.matcher(value).matches(),
                "job",
                "\"" + value + "\" must be 16 lower-case hexadecimal digits");
    }

    /**
     * Wraps a text.
     *
     * @param value the text
     * @return the id
     * @throws ValidationException if the text is not sixteen lower-case hexadecimal digits
     */
    public static JobId of(String value) {
        return new JobId(value);
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
