package org.gypsumflow.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ValidationException;

/** Reads and writes JSON bodies of the platform; the fields' readers reject a value of the wrong type. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Parses a JSON object.
     *
     * @throws ValidationException if the bytes are not a JSON object
     */
    static JsonNode parseObject(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            Check.isTrue(node != null && node.isObject(), "body", "is not a JSON object");
            return node;
        } catch (IOException malformed) {
            throw ValidationException.of("body", "is not JSON");
        }
    }

    static byte[] toBytes(Object content) {
        try {
            return MAPPER.writeValueAsBytes(content);
        } catch (JsonProcessingException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    static String requiredString(JsonNode node, String field) {
        JsonNode value = node.path(field);
        Check.isTrue(value.isTextual(), field, "is " + value + ", but must be a string");
        return value.textValue();
    }

    static Optional<String> optionalString(JsonNode node, String field) {
        return node.has(field) ? Optional.of(requiredString(node, field)) : Optional.empty();
    }

    static long requiredInteger(JsonNode node, String field) {
        JsonNode value = node.path(field);
        Check.isTrue(value.isIntegralNumber(), field, "is " + value + ", but must be an integer");
        return value.longValue();
    }

    /** Reads an integer; the platform omits it when it is zero. */
    static long integerOrZero(JsonNode node, String field) {
        return node.has(field) ? requiredInteger(node, field) : 0;
    }

    static double numberOrDefault(JsonNode node, String field, double defaultValue) {
        if (!node.has(field)) {
            return defaultValue;
        }
        JsonNode value = node.path(field);
        Check.isTrue(value.isNumber(), field, "is " + value + ", but must be a number");
        return value.doubleValue();
    }

    /** Reads a boolean; the platform omits it when it is false. */
    static boolean booleanOrFalse(JsonNode node, String field) {
        if (!node.has(field)) {
            return false;
        }
        JsonNode value = node.path(field);
        Check.isTrue(value.isBoolean(), field, "is " + value + ", but must be true or false");
        return value.booleanValue();
    }
}
