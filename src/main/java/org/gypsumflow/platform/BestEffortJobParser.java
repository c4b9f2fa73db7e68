package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Resources;
import org.gypsumflow.model.Route;

/** Reads the body of a job request. */
final class BestEffortJobParser {
    /** Longest text that a worker is told to run, in bytes; the platform's bound. */
    private static final int MOST_SPECIFICATION_CHARACTERS = 4000;
    /** Running time assumed when a job gives no estimate. */
    private static final long NO_ESTIMATE_MILLIS = 1000;
    /** Fields of a step that the dispatch of jobs that are not stored can meet. */
    private static final Set<String> SUPPORTED_STEP_FIELDS =
            Set.of("count", "cpu", "memMb", "gpu", "estimateMs", "affinity", "checkpointing", "image");
    /** Fields of a job that can be met likewise. */
    private static final Set<String> SUPPORTED_JOB_FIELDS = Set.of("spec", "steps", "bestEffort");

    private BestEffortJobParser() {}

    /**
     * Reads a job.
     *
     * @return the job; empty if it asks for something that this version cannot do
     * @throws org.gypsumflow.model.ValidationException if the body is wrong
     */
    static Optional<BestEffortJob> parse(JobId id, Route route, long routesVersion, byte[] body) {
        JsonNode job = Json.parseObject(body);
        String specification = Json.optionalString(job, "spec").orElse("");
        Check.isTrue(specification.length() <= MOST_SPECIFICATION_CHARACTERS, "spec", "is too long");
        JsonNode steps = job.path("steps");
        Check.isTrue(steps.isArray() && !steps.isEmpty(), "steps", "is missing or empty");
        JsonNode step = steps.get(0);
        boolean supported = Json.booleanOrFalse(job, "bestEffort")
                && steps.size() == 1
                && holdsOnly(job, SUPPORTED_JOB_FIELDS)
                && holdsOnly(step, SUPPORTED_STEP_FIELDS);
        if (!supported) {
            return Optional.empty();
        }
        Resources needs =
                Resources.of((int) Json.integerOrZero(step, "cpu"), (int) Json.integerOrZero(step, "memMb"), (int)
                        Json.integerOrZero(step, "gpu"));
        long estimate = Json.integerOrZero(step, "estimateMs");
        return Optional.of(new BestEffortJob(
                id,
                route,
                routesVersion,
                specification,
                (int) Json.requiredInteger(step, "count"),
                needs,
                Duration.ofMillis(estimate > 0 ? estimate : NO_ESTIMATE_MILLIS)));
    }

    private static boolean holdsOnly(JsonNode node, Set<String> supported) {
        Iterator<String> fields = node.fieldNames();
        while (fields.hasNext()) {
            if (!supported.contains(fields.next())) {
                return false;
            }
        }
        return true;
    }
}
