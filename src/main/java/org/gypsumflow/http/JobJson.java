package org.gypsumflow.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.JobOutcome;
import org.gypsumflow.model.JobRequest;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.SubmissionKey;
import org.gypsumflow.model.TaskOutcome;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.Verdict;

/** Parses jobs from JSON and writes their outcomes as JSON. */
final class JobJson {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> JOB_FIELDS = Set.of("service", "tasks", "timeoutMillis", "deadline");
    private static final Set<String> TASK_FIELDS = Set.of("payload");
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

    private JobJson() {}

    static JsonNode parseObject(byte[] body) {
        try {
            JsonNode json = JSON.readTree(body);
            Check.isTrue(json != null && json.isObject(), "body", "must be a JSON object");
            return json;
        } catch (IOException malformed) {
            throw ValidationException.of("body", "is not JSON: " + firstLine(malformed.getMessage()));
        }
    }

    static String requiredString(JsonNode json, String field) {
        JsonNode value = json.get(field);
        Check.isTrue(value != null && value.isTextual(), field, "must be a string");
        return value.textValue();
    }

    static void rejectUnknownFields(JsonNode json, String prefix, Set<String> allowed) {
        for (Iterator<String> names = json.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            Check.isTrue(allowed.contains(name), prefix + name, "is unknown; allowed are " + allowed);
        }
    }

    static JobRequest parseJob(SubmissionKey key, byte[] body, Instant now) {
        JsonNode json = parseObject(body);
        rejectUnknownFields(json, "", JOB_FIELDS);
        ServiceName service = ServiceName.of(requiredString(json, "service"));
        return JobRequest.of(key, service, parsePayloads(json.get("tasks")), parseTimeout(json, now));
    }

    static Map<String, Object> writeOutcome(JobOutcome outcome) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("verdict", outcome.verdict().name());
        if (outcome.verdict() != Verdict.COMPLETED) {
            json.put("reason", outcome.reason());
        }
        json.put("tasks", outcome.tasks().stream().map(JobJson::writeTask).toList());
        return json;
    }

    private static Map<String, Object> writeTask(TaskOutcome task) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("verdict", task.verdict().name());
        if (task.verdict() == Verdict.COMPLETED) {
            json.put("result", task.result());
        } else {
            json.put("reason", task.reason());
        }
        if (!task.worker().isEmpty()) {
            json.put("worker", task.worker());
        }
        return json;
    }

    private static List<String> parsePayloads(JsonNode tasks) {
        Check.isTrue(tasks != null && tasks.isArray(), "tasks", "must be an array");
        List<String> payloads = new ArrayList<>();
        for (int index = 0; index < tasks.size(); index++) {
            String field = "tasks[" + index + "]";
            Check.isTrue(tasks.get(index).isObject(), field, "must be an object");
            rejectUnknownFields(tasks.get(index), field + ".", TASK_FIELDS);
            JsonNode payload = tasks.get(index).get("payload");
            Check.isTrue(payload != null && payload.isTextual(), field + ".payload", "must be a string");
            payloads.add(payload.textValue());
        }
        return payloads;
    }

    private static Duration parseTimeout(JsonNode json, Instant now) {
        JsonNode timeoutMillis = json.get("timeoutMillis");
        JsonNode deadline = json.get("deadline");
        Check.isTrue(
                timeoutMillis == null || deadline == null, "deadline", "must not be combined with \"timeoutMillis\"");
        if (timeoutMillis != null) {
            Check.isTrue(
                    timeoutMillis.isIntegralNumber() && timeoutMillis.canConvertToLong(),
                    "timeoutMillis",
                    "must be a whole number of at most 64 bits");
            return Duration.ofMillis(timeoutMillis.longValue());
        }
        return deadline == null ? DEFAULT_TIMEOUT : timeUntilDeadline(deadline, now);
    }

    private static Duration timeUntilDeadline(JsonNode deadline, Instant now) {
        Check.isTrue(deadline.isTextual(), "deadline", "must be a string such as \"2030-01-31T12:00:00Z\"");
        try {
            Duration remainingTime = Duration.between(now, Instant.parse(deadline.textValue()));
            Check.isTrue(
                    remainingTime.compareTo(Duration.ofMillis(1)) >= 0,
                    "deadline",
                    "\"" + deadline.textValue() + "\" has passed");
            Check.isTrue(
                    remainingTime.compareTo(JobRequest.MAX_TIMEOUT) <= 0,
                    "deadline",
                    "\"" + deadline.textValue() + "\" is more than " + JobRequest.MAX_TIMEOUT.toMillis() + " ms away");
            return remainingTime;
        } catch (DateTimeParseException malformed) {
            throw ValidationException.of(
                    "deadline", "\"" + deadline.textValue() + "\" is not a time such as \"2030-01-31T12:00:00Z\"");
        }
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("");
    }
}
