package org.gypsumflow.model;

import java.time.Duration;
import java.util.List;

/**
 * A claimed job as its caller submits it: a set of short tasks for one service, each of which runs at most once.
 *
 * <p>A job is claimed if, before any of its tasks starts, an entry must claim its submission in the platform's log;
 * only the entry whose claim wins starts the tasks. A job that is kept in memory only is a {@link BestEffortJob}.
 *
 * @param key caller and idempotency key of the submission
 * @param service service whose targets run the tasks
 * @param payloads one text per task, passed to the target unchanged
 * @param timeout time from the arrival of the request after which the caller no longer waits for the outcome
 */
public record JobRequest(SubmissionKey key, ServiceName service, List<String> payloads, Duration timeout) {
    /** Maximum number of tasks in one job. */
    public static final int MAX_TASKS = 180;
    /** Maximum length of the payload of one task, in characters. */
    public static final int MAX_PAYLOAD_LENGTH = 4096;
    /** Maximum timeout of a job. */
    public static final Duration MAX_TIMEOUT = Duration.ofMinutes(5);

    /** Validates the number of tasks, the payloads and the timeout, and makes an unmodifiable copy of the list. */
    public JobRequest {
        Check.isTrue(!payloads.isEmpty(), "tasks", "the job has no task");
        Check.isTrue(
                payloads.size() <= MAX_TASKS,
                "tasks",
                "the job has " + payloads.size() + " tasks, at most " + MAX_TASKS + " are allowed");
        for (int index = 0; index < payloads.size(); index++) {
            checkPayload(index, payloads.get(index));
        }
        Check.range("timeoutMillis", timeout.toMillis(), 1, MAX_TIMEOUT.toMillis());
        payloads = List.copyOf(payloads);
    }

    /**
     * Creates a job request.
     *
     * @param key caller and idempotency key of the submission
     * @param service service whose targets run the tasks
     * @param payloads one text per task, passed to the target unchanged
     * @param timeout time from the arrival of the request after which the caller no longer waits for the outcome
     * @return the job request
     * @throws ValidationException if there are no tasks or too many, a payload is missing or too long, or the timeout
     *     is out of range
     */
    public static JobRequest of(SubmissionKey key, ServiceName service, List<String> payloads, Duration timeout) {
        return new JobRequest(key, service, payloads, timeout);
    }

    /**
     * Returns a hash of the job's content, by which another job under the same key is detected.
     *
     * @return fingerprint of the service and the payloads; it does not depend on the timeout
     */
    public long fingerprint() {
        return SubmissionDigest.ofText(service.value() + '\n' + String.join("\u0000", payloads))
                .high();
    }

    /**
     * Returns the number of tasks.
     *
     * @return the number of tasks, 1 to {@value #MAX_TASKS}
     */
    public int taskCount() {
        return payloads.size();
    }

    private static void checkPayload(int index, String payload) {
        String field = "tasks[" + index + "].payload";
        Check.isTrue(payload != null, field, "is missing");
        Check.isTrue(
                payload.length() <= MAX_PAYLOAD_LENGTH,
                field,
                "has " + payload.length() + " characters, at most " + MAX_PAYLOAD_LENGTH + " are allowed");
    }
}
