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

/** Parses an operator's intent, a short sentence such as "drain sofia", into a configuration change. */
public final class IntentParser {
    /** Maximum length of a sentence, in characters. */
    public static final int MAX_LENGTH = 200;

    /** Maximum number of tasks in flight that a quota may allow. */
    private static final int MAX_QUOTA = 1_000_000;

    private record SentenceForm(int wordCount, Function<String[], ConfigurationChange> toChange, String example) {}

    private static final Map<String, SentenceForm> FORMS_BY_VERB = Map.of(
            "drain",
                    new SentenceForm(
                            2, words -> new ConfigurationChange.CloseZone(AvailabilityZone.of(words[1])), "drain ZONE"),
            "open",
                    new SentenceForm(
                            2, words -> new ConfigurationChange.OpenZone(AvailabilityZone.of(words[1])), "open ZONE"),
            "stop",
                    new SentenceForm(
                            2, words -> new ConfigurationChange.StopService(ServiceName.of(words[1])), "stop SERVICE"),
            "start",
                    new SentenceForm(
                            2,
                            words -> new ConfigurationChange.StartService(ServiceName.of(words[1])),
                            "start SERVICE"),
            "quarantine",
                    new SentenceForm(
                            2,
                            words -> new ConfigurationChange.QuarantineWorker(WorkerName.of(words[1])),
                            "quarantine WORKER"),
            "release",
                    new SentenceForm(
                            2,
                            words -> new ConfigurationChange.ReleaseWorker(WorkerName.of(words[1])),
                            "release WORKER"),
            "quota", new SentenceForm(3, IntentParser::parseQuota, "quota CALLER TASKS"),
            "rule",
                    new SentenceForm(
                            3,
                            words -> new ConfigurationChange.SetRule(Check.name("rule", words[1]), words[2]),
                            "rule NAME VALUE"));

    private IntentParser() {}

    /**
     * Parses an intent such as "drain sofia" or "stop listings for upgrade".
     *
     * @param sentence the operator's sentence; a reason, which is not interpreted, may follow after "for"
     * @return the change that the sentence requests
     * @throws ValidationException if the sentence matches no known form; the message lists the forms with the closest
     *     verbs
     */
    public static ConfigurationChange parse(String sentence) {
        Check.text("intent", sentence, MAX_LENGTH);
        String[] words = sentence.strip().split("\\s+");
        SentenceForm form = FORMS_BY_VERB.get(words[0].toLowerCase(Locale.ROOT));
        if (form == null) {
            throw unrecognized(sentence, closestForms(words[0]));
        }
        boolean hasReason = words.length > form.wordCount() && words[form.wordCount()].equals("for");
        if (words.length != form.wordCount() && !hasReason) {
            throw unrecognized(sentence, List.of(form.example()));
        }
        return form.toChange().apply(words);
    }

    private static ConfigurationChange parseQuota(String[] words) {
        try {
            int tasks = Integer.parseInt(words[2]);
            return new ConfigurationChange.SetQuota(
                    Caller.of(words[1]), (int) Check.range("quota", tasks, 0, MAX_QUOTA));
        } catch (NumberFormatException notAnInteger) {
            throw ValidationException.of("quota", "\"" + words[2] + "\" is not a whole number");
        }
    }

    private static ValidationException unrecognized(String sentence, List<String> forms) {
        return ValidationException.of(
                "intent", "\"" + sentence + "\" is not a known intent; closest forms: " + String.join(", ", forms));
    }

    private static List<String> closestForms(String verb) {
        return FORMS_BY_VERB.entrySet().stream()
                .sorted((left, right) ->
                        Integer.compare(editDistance(verb, left.getKey()), editDistance(verb, right.getKey())))
                .limit(3)
                .map(entry -> entry.getValue().example())
                .toList();
    }

    private static int editDistance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            row[column] = column;
        }
        for (int rowIndex = 1; rowIndex <= left.length(); rowIndex++) {
            int diagonal = row[0];
            row[0] = rowIndex;
            for (int column = 1; column <= right.length(); column++) {
                int substitutionCost = left.charAt(rowIndex - 1) == right.charAt(column - 1) ? 0 : 1;
                int next = Math.min(Math.min(row[column] + 1, row[column - 1] + 1), diagonal + substitutionCost);
                diagonal = row[column];
                row[column] = next;
            }
        }
        return row[right.length()];
    }
}
