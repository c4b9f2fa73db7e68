package org.gypsumflow.model;

/**
 * Names a route.
 *
 * @param value the name
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
