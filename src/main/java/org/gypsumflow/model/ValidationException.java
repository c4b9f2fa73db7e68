package org.gypsumflow.model;

/** Thrown for invalid input, which is rejected before it has any effect. */
public final class ValidationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String field;

    private ValidationException(String field, String message) {
        super(message);
        this.field = field;
    }

    /**
     * Creates the exception for an invalid field.
     *
     * @param field name of the field
     * @param problem what is wrong with the field, as the end of the message
     * @return the exception
     */
    public static ValidationException of(String field, String problem) {
        return new ValidationException(field, "field \"" + field + "\": " + problem);
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
