package org.gypsumflow.command;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Caller;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerName;

/** Turns the sentence of an operator into a change. */
public final class IntentParser {
    /** Longest accepted sentence, in characters. */
    public static final int MAX_LENGTH = 200;

    /** Most tasks in flight that a quota may allow. */
    private static final int MAX_QUOTA = 1_000_000;

    private record Form(int words, Function<String[], ConfigurationChange> reader, String example) {}

    private static final Map<String, Form> FORMS = Map.of(
            "drain",
                    new Form(
                            2, words -> new ConfigurationChange.CloseZone(AvailabilityZone.of(words[1])), "drain ZONE"),
            "open", new Form(2, words -> new ConfigurationChange.OpenZone(AvailabilityZone.of(words[1])), "open ZONE"),
            "stop", new Form(2, words -> new ConfigurationChange.StopService(ServiceName.of(words[1])), "stop SERVICE"),
            "start",
                    new Form(
                            2,
                            words -> new ConfigurationChange.StartService(ServiceName.of(words[1])),
                            "start SERVICE"),
            "quarantine",
                    new Form(
                            2,
                            words -> new ConfigurationChange.QuarantineWorker(WorkerName.of(words[1])),
                            "quarantine WORKER"),
            "release",
                    new Form(
                            2,
                            words -> new ConfigurationChange.ReleaseWorker(WorkerName.of(words[1])),
                            "release WORKER"),
            "quota", new Form(3, IntentParser::quota, "quota CALLER TASKS"),
            "rule",
                    new Form(
                            3,
                            words -> new ConfigurationChange.SetRule(Check.name("rule", words[1]), words[2]),
                            "rule NAME VALUE"));

    private IntentParser() {}

    /**
     * Reads an intent such as "drain sofia" or "stop listings for upgrade".
     *
     * @param sentence the operator's words; a reason may follow after "for"
     * @return the change that is meant
     * @throws ValidationException if the sentence is not understood; the message lists the closest forms
     */
    public static ConfigurationChange parse(String sentence) {
        Check.text("intent", sentence, MAX_LENGTH);
        String[] words = sentence.strip().split("\\s+");
        Form form = FORMS.get(words[0].toLowerCase(Locale.ROOT));
        if (form == null) {
            throw notUnderstood(sentence, closestForms(words[0]));
        }
        boolean hasReason = words.length > form.words() && words[form.words()].equals("for");
        if (words.length != form.words() && !hasReason) {
            throw notUnderstood(sentence, List.of(form.example()));
        }
        return form.reader().apply(words);
    }

    private static ConfigurationChange quota(String[] words) {
        try {
            int tasks = Integer.parseInt(words[2]);
            return new ConfigurationChange.SetQuota(
                    Caller.of(words[1]), (int) Check.range("quota", tasks, 0, MAX_QUOTA));
        } catch (NumberFormatException notANumber) {
            throw ValidationException.of("quota", "\"" + words[2] + "\" is not a whole number");
        }
    }

    private static ValidationException notUnderstood(String sentence, List<String> forms) {
        return ValidationException.of(
                "intent", "\"" + sentence + "\" is not understood; closest: " + String.join(", ", forms));
    }

    private static List<String> closestForms(String verb) {
        return FORMS.entrySet().stream()
                .sorted((left, right) -> Integer.compare(distance(verb, left.getKey()), distance(verb, right.getKey())))
                .limit(3)
                .map(entry -> entry.getValue().example())
                .toList();
    }

    private static int distance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            row[column] = column;
        }
        for (int line = 1; line <= left.length(); line++) {
            int diagonal = row[0];
            row[0] = line;
            for (int column = 1; column <= right.length(); column++) {
                int change = left.charAt(line - 1) == right.charAt(column - 1) ? 0 : 1;
                int next = Math.min(Math.min(row[column] + 1, row[column - 1] + 1), diagonal + change);
                diagonal = row[column];
                row[column] = next;
            }
        }
        return row[right.length()];
    }
}
