package org.gypsumflow.model;

/**
 * The name of a route.
 *
 * @param value the name, at most {@value Check#MAX_NAME_LENGTH} characters; unlike other names it may hold any
 *     character
 */
public record RouteName(String value) {
    /** Validates the name. */
    public RouteName {
        Check.text("route", value, Check.MAX_NAME_LENGTH);
    }

    /**
     * Creates the name.
     *
     * @param value text of the name
     * @return the name
     * @throws ValidationException if the text is empty or too long
     */
    public static RouteName of(String value) {
        return new RouteName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
