package org.gypsumflow.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.ValidationException;

/** Reads and writes JSON bodies of the platform; the fields' readers reject a value of the wrong type. */
final class Json {
    /** Maximum time of the platform that is read, in milliseconds since the epoch: the end of the year 9999. */
    static final long MAX_EPOCH_MILLIS = 253_402_300_799_999L;
    /** Maximum duration that is read, in milliseconds; its multiples fit into nanoseconds of 64 bits. */
    static final long MAX_DURATION_MILLIS = 1_000_000_000;

    /** Maximum amount of one resource, of which two can be added without an overflow. */
    private static final long MAX_AMOUNT = 1_000_000_000;

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

    /**
     * Reads an integer.
     *
     * @throws ValidationException if it is missing, not an integer, or out of the closed range
     */
    static long requiredInteger(JsonNode node, String field, long min, long max) {
        return integer(node.path(field), field, min, max);
    }

    /**
     * Reads an integer; the platform omits it when it is zero.
     *
     * @throws ValidationException if it is not an integer, or out of the closed range
     */
    static long integerOrZero(JsonNode node, String field, long min, long max) {
        return node.has(field) ? requiredInteger(node, field, min, max) : 0;
    }

    /**
     * Checks that a value is an integer, and converts it.
     *
     * @param field name of the value, for the message
     * @throws ValidationException if the value is not an integer, or out of the closed range
     */
    static long integer(JsonNode value, String field, long min, long max) {
        Check.isTrue(
                value.isIntegralNumber() && value.canConvertToLong(),
                field,
                "is " + value + ", but must be an integer of at most 64 bits");
        return Check.range(field, value.longValue(), min, max);
    }

    /**
     * Reads a number.
     *
     * @throws ValidationException if it is not a number, or out of the closed range
     */
    static double numberOrDefault(JsonNode node, String field, double defaultValue, double min, double max) {
        if (!node.has(field)) {
            return defaultValue;
        }
        JsonNode value = node.path(field);
        Check.isTrue(value.isNumber(), field, "is " + value + ", but must be a number");
        double number = value.doubleValue();
        Check.isTrue(number >= min && number <= max, field, "is " + number + ", allowed is " + min + " to " + max);
        return number;
    }

    /**
     * Reads an array; the platform omits it when it is empty.
     *
     * @return the array, or a missing node, which has no elements
     * @throws ValidationException if the value is not an array
     */
    static JsonNode arrayOrEmpty(JsonNode node, String field) {
        JsonNode value = node.path(field);
        Check.isTrue(value.isArray() || value.isMissingNode(), field, "is " + value + ", but must be an array");
        return value;
    }

    /**
     * Reads an amount of resources.
     *
     * @param node object with the components
     * @param requiresCpuAndMemory whether CPU and memory must be given; otherwise the platform omits them when zero
     * @throws ValidationException if a component is missing, not an integer, or out of range
     */
    static Resources resources(JsonNode node, boolean requiresCpuAndMemory) {
        if (requiresCpuAndMemory) {
            requiredInteger(node, "cpu", 0, MAX_AMOUNT);
            requiredInteger(node, "memMb", 0, MAX_AMOUNT);
        }
        return Resources.of(
                (int) integerOrZero(node, "cpu", 0, MAX_AMOUNT),
                (int) integerOrZero(node, "memMb", 0, MAX_AMOUNT),
                (int) integerOrZero(node, "gpu", 0, MAX_AMOUNT));
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
