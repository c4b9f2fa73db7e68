package org.gypsumflow.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ValidationException;

/** Reads and writes the platform's bodies. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Reads an object.
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
        Check.isTrue(value.isTextual(), field, "is " + value + ", a text is needed");
        return value.textValue();
    }

    static Optional<String> optionalString(JsonNode node, String field) {
        return node.has(field) ? Optional.of(requiredString(node, field)) : Optional.empty();
    }

    static long requiredInteger(JsonNode node, String field) {
        JsonNode value = node.path(field);
        Check.isTrue(value.isIntegralNumber(), field, "is " + value + ", a whole number is needed");
        return value.longValue();
    }

    /** Reads a number that the platform leaves out when it is zero. */
    static long integerOrZero(JsonNode node, String field) {
        return node.has(field) ? requiredInteger(node, field) : 0;
    }

    static double numberOrDefault(JsonNode node, String field, double standard) {
        if (!node.has(field)) {
            return standard;
        }
        JsonNode value = node.path(field);
        Check.isTrue(value.isNumber(), field, "is " + value + ", a number is needed");
        return value.doubleValue();
    }

    /** Reads a truth value that the platform leaves out when it is false. */
    static boolean booleanOrFalse(JsonNode node, String field) {
        if (!node.has(field)) {
            return false;
        }
        JsonNode value = node.path(field);
        Check.isTrue(value.isBoolean(), field, "is " + value + ", true or false is needed");
        return value.booleanValue();
    }
}
