package org.gypsumflow.model;

import java.time.Duration;
import java.util.List;

/**
 * Describes a job: a bundle of short tasks for one service.
 *
 * @param key who submits and under which idempotency key
 * @param service service whose targets run the tasks
 * @param payloads one text per task, passed to the target as it is
 * @param timeout how long after its arrival the caller wants the answer
 */
public record JobRequest(SubmissionKey key, ServiceName service, List<String> payloads, Duration timeout) {
    /** Most tasks in one job. */
    public static final int MAX_TASKS = 180;
    /** Longest accepted payload of one task, in characters. */
    public static final int MAX_PAYLOAD_LENGTH = 4096;
    /** Longest accepted timeout of a job. */
    public static final Duration MAX_TIMEOUT = Duration.ofMinutes(5);

    /** Validates the sizes. */
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
     * Creates the description of a job.
     *
     * @param key who submits and under which idempotency key
     * @param service service whose targets run the tasks
     * @param payloads one text per task
     * @param timeout how long after its arrival the caller wants the answer
     * @return the job
     * @throws ValidationException if the job is empty or one of its sizes is out of bounds
     */
    public static JobRequest of(SubmissionKey key, ServiceName service, List<String> payloads, Duration timeout) {
        return new JobRequest(key, service, payloads, timeout);
    }

    /**
     * Hashes what the job asks for, so that another job under the same key is noticed.
     *
     * @return the fingerprint of service and payloads; the timeout does not count
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
