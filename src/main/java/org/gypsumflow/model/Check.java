package org.gypsumflow.model;

import java.util.regex.Pattern;

/** Validates values and throws exceptions whose messages name the invalid field. */
public final class Check {
    /** Maximum length of a name, such as that of a worker, zone, service, caller or entry, in characters. */
    public static final int MAX_NAME_LENGTH = 64;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Check() {}

    /**
     * Requires a name made of letters, digits, dots, underscores and hyphens that starts with a letter or digit.
     *
     * @param field name of the field, for the message
     * @param value value to check
     * @return the value
     * @throws ValidationException if the value is null, blank, longer than {@value #MAX_NAME_LENGTH} characters or
     *     malformed
     */
    public static String name(String field, String value) {
        text(field, value, MAX_NAME_LENGTH);
        isTrue(
                NAME.matcher(value).matches(),
                field,
                "\"" + value + "\" must start with a letter or digit and hold only letters, digits, '.', '_' and '-'");
        return value;
    }

    /**
     * Requires a text that is neither missing, blank nor too long.
     *
     * @param field name of the field, for the message
     * @param value value to check
     * @param maxLength maximum length in characters
     * @return the value
     * @throws ValidationException if the value is null, blank or too long
     */
    public static String text(String field, String value, int maxLength) {
        isTrue(value != null && !value.isBlank(), field, "is missing or empty");
        isTrue(
                value.length() <= maxLength,
                field,
                "has " + value.length() + " characters, at most " + maxLength + " are allowed");
        return value;
    }

    /**
     * Requires a number within a closed range.
     *
     * @param field name of the field, for the message
     * @param value value to check
     * @param min minimum, inclusive
     * @param max maximum, inclusive
     * @return the value
     * @throws ValidationException if the value is outside the range
     */
    public static long range(String field, long value, long min, long max) {
        isTrue(value >= min && value <= max, field, "is " + value + ", allowed is " + min + " to " + max);
        return value;
    }

    /**
     * Requires a condition to be true.
     *
     * @param condition condition to check
     * @param field name of the field, for the message
     * @param problem what is wrong with the field
     * @throws ValidationException if the condition is false
     */
    public static void isTrue(boolean condition, String field, String problem) {
        if (!condition) {
            throw ValidationException.of(field, problem);
        }
    }
}
