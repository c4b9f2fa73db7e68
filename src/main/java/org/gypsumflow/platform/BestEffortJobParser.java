package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Route;

/** Parses the body of a job request. */
final class BestEffortJobParser {
    /** The platform's bound on the text that a worker is told to run; in bytes there, counted in characters here. */
    private static final int MAX_SPECIFICATION_CHARACTERS = 4000;
    /** Maximum number of tasks, which are tracked one by one; their indexes have at most 6 digits. */
    private static final int MAX_TASKS = 100_000;
    /** Run duration assumed for a job without an estimate. */
    private static final long DEFAULT_ESTIMATE_MILLIS = 1000;
    /** Fields of a step that best-effort jobs support. */
    private static final Set<String> SUPPORTED_STEP_FIELDS =
            Set.of("count", "cpu", "memMb", "gpu", "estimateMs", "affinity", "checkpointing", "image");
    /** Fields of a job that best-effort jobs support. */
    private static final Set<String> SUPPORTED_JOB_FIELDS = Set.of("spec", "steps", "bestEffort");

    private BestEffortJobParser() {}

    /**
     * Parses a job.
     *
     * @return the job; empty if it is valid, but needs a feature that is not supported
     * @throws org.gypsumflow.model.ValidationException if the body is not JSON, or a field is missing or invalid
     */
    static Optional<BestEffortJob> parse(JobId id, Route route, long routesVersion, byte[] body) {
        JsonNode job = Json.parseObject(body);
        String specification = Json.optionalString(job, "spec").orElse("");
        Check.isTrue(
                specification.length() <= MAX_SPECIFICATION_CHARACTERS,
                "spec",
                "is longer than the limit on specifications");
        JsonNode steps = job.path("steps");
        Check.isTrue(steps.isArray() && !steps.isEmpty(), "steps", "is missing or empty");
        JsonNode step = steps.get(0);
        boolean supported = Json.booleanOrFalse(job, "bestEffort")
                && steps.size() == 1
                && hasOnlyFields(job, SUPPORTED_JOB_FIELDS)
                && hasOnlyFields(step, SUPPORTED_STEP_FIELDS);
        if (!supported) {
            return Optional.empty();
        }
        long estimateMillis = Json.integerOrZero(step, "estimateMs", 0, Json.MAX_DURATION_MILLIS);
        return Optional.of(new BestEffortJob(
                id,
                route,
                routesVersion,
                specification,
                (int) Json.requiredInteger(step, "count", 1, MAX_TASKS),
                Json.resources(step, false),
                Duration.ofMillis(estimateMillis > 0 ? estimateMillis : DEFAULT_ESTIMATE_MILLIS)));
    }

    private static boolean hasOnlyFields(JsonNode node, Set<String> supported) {
        Iterator<String> fields = node.fieldNames();
        while (fields.hasNext()) {
            if (!supported.contains(fields.next())) {
                return false;
            }
        }
        return true;
    }
}
