package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TraceParent;

/** Runs tasks on an agent's target, the back end that does the work. */
@FunctionalInterface
public interface TargetClient {
    /**
     * Runs a task and returns its result.
     *
     * @param task id of the task, which the target must repeat in its response
     * @param payload payload of the task as the caller sent it
     * @param timeout how long to wait for the response
     * @param trace trace context of the task
     * @return the result, or a {@link org.gypsumflow.model.RequestException} whose verdict says whether the task may
     *     have run; completes on any thread
     */
    CompletableFuture<String> run(TaskId task, String payload, Duration timeout, TraceParent trace);
}
