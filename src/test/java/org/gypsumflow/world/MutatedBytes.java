package org.gypsumflow.world;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Draws inputs that resemble a valid one: changed, removed, repeated and inserted parts, odd numbers, deep nesting. */
public final class MutatedBytes {
    private static final int MAX_CHANGES = 4;
    private static final int NESTING_DEPTH = 20_000;
    /** Texts that break a reader that does not expect them where a number, a name or a structure stands. */
    private static final List<String> ODD_TEXTS = List.of(
            "-1",
            "0",
            "1e999",
            "9223372036854775808",
            "99999999999999999999999999",
            "0.5",
            "null",
            "true",
            "[]",
            "{}",
            "\"\"",
            "\"\\u0000\"",
            "\"\\ud800\"",
            ",",
            "[".repeat(NESTING_DEPTH),
            "{\"a\":".repeat(NESTING_DEPTH));

    private MutatedBytes() {}

    /**
     * Draws an input.
     *
     * @param valid a valid input, which is left unchanged
     * @param random source of the draws
     * @return a copy with one to four changes
     */
    public static byte[] draw(byte[] valid, Random random) {
        byte[] mutated = valid.clone();
        int changes = 1 + random.nextInt(MAX_CHANGES);
        for (int change = 0; change < changes; change++) {
            mutated = change(mutated, random);
        }
        return mutated;
    }

    private static byte[] change(byte[] input, Random random) {
        int from = random.nextInt(input.length + 1);
        int to = Math.min(input.length, from + random.nextInt(8));
        return switch (random.nextInt(6)) {
            case 0 -> Arrays.copyOf(input, from);
            case 1 -> replace(input, from, to, new byte[0]);
            case 2 -> replace(input, from, from, Arrays.copyOfRange(input, from, to));
            case 3 -> replace(input, from, to, randomBytes(to - from, random));
            case 4 -> replace(input, from, to, oddText(random));
            default -> replaceNumber(input, random);
        };
    }

    private static byte[] randomBytes(int length, Random random) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return bytes;
    }

    private static byte[] oddText(Random random) {
        return ODD_TEXTS.get(random.nextInt(ODD_TEXTS.size())).getBytes(StandardCharsets.UTF_8);
    }

    /** Replaces a run of digits, which in a text is a whole number. */
    private static byte[] replaceNumber(byte[] input, Random random) {
        int start = random.nextInt(input.length + 1);
        while (start < input.length && !Character.isDigit(input[start])) {
            start++;
        }
        int end = start;
        while (end < input.length && Character.isDigit(input[end])) {
            end++;
        }
        return replace(input, start, end, oddText(random));
    }

    private static byte[] replace(byte[] input, int from, int to, byte[] replacement) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        output.write(input, 0, from);
        output.writeBytes(replacement);
        output.write(input, to, input.length - to);
        return output.toByteArray();
    }
}
