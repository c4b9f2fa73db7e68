package org.gypsumflow.model;

/** Thrown for invalid input, which is rejected before it has any effect. */
public final class ValidationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Maximum length of the field's name in a message, in characters. */
    private static final int MAX_FIELD_LENGTH = 100;
    /** Maximum length of a problem in a message, in characters; a longer one loses its middle, usually the value. */
    private static final int MAX_PROBLEM_LENGTH = 300;

    private final String field;

    private ValidationException(String field, String message) {
        super(message);
        this.field = field;
    }

    /**
     * Creates the exception for an invalid field.
     *
     * <p>The message has at most 450 characters, since it may be logged and the input may come from anyone.
     *
     * @param field name of the field
     * @param problem what is wrong with the field, as the end of the message
     * @return the exception
     */
    public static ValidationException of(String field, String problem) {
        String name = shorten(field, MAX_FIELD_LENGTH);
        return new ValidationException(name, "field \"" + name + "\": " + shorten(problem, MAX_PROBLEM_LENGTH));
    }

    private static String shorten(String text, int maxLength) {
        if (text.length() <= maxLength) {
            return text;
        }
        int half = maxLength / 2;
        return text.substring(0, half) + "..." + text.substring(text.length() - half);
    }

    /**
     * Returns the name of the invalid field.
     *
     * @return name of the field
     */
    public String field() {
        return field;
    }
}
