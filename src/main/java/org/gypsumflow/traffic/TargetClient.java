package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TraceParent;

/** Runs a task on the target beside the agent. */
@FunctionalInterface
public interface TargetClient {
    /**
     * Runs a task.
     *
     * @param task the task
     * @param payload text for the target
     * @param timeout how long to wait for its answer
     * @param trace trace context
     * @return the target's answer, or a {@link org.gypsumflow.model.RequestException} that says whether the task may
     *     have run; it completes on any thread
     */
    CompletableFuture<String> run(TaskId task, String payload, Duration timeout, TraceParent trace);
}
