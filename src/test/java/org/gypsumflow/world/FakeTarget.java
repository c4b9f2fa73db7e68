package org.gypsumflow.world;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.TaskId;
import org.gypsumflow.model.TraceParent;
import org.gypsumflow.model.Verdict;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.traffic.TargetClient;

/** A target that records each task start in a shared list. */
final class FakeTarget implements TargetClient {
    /** How the target handles tasks. */
    enum Mode {
        NORMAL,
        FAIL,
        UNRESPONSIVE,
        UNREACHABLE
    }

    /** The start of a task. */
    record TaskStart(TaskId task, WorkerName worker, AvailabilityZone zone, long atNanos) {}

    private final VirtualClock clock;
    private final WorkerName worker;
    private final AvailabilityZone zone;
    private final List<TaskStart> starts;
    private Mode mode = Mode.NORMAL;

    FakeTarget(VirtualClock clock, WorkerName worker, AvailabilityZone zone, List<TaskStart> starts) {
        this.clock = clock;
        this.worker = worker;
        this.zone = zone;
        this.starts = starts;
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Returns a result that is unique to the task and its payload. */
    static String resultOf(TaskId task, String payload) {
        return task + " ran " + payload;
    }

    @Override
    public CompletableFuture<String> run(TaskId task, String payload, Duration timeout, TraceParent trace) {
        CompletableFuture<String> result = new CompletableFuture<>();
        if (mode == Mode.UNREACHABLE) {
            completeWithError(result, Verdict.NOT_RUN);
            return result;
        }
        starts.add(new TaskStart(task, worker, zone, clock.nanos()));
        if (mode == Mode.FAIL) {
            completeWithError(result, Verdict.FAILED);
            return result;
        }
        if (mode == Mode.NORMAL) {
            clock.schedule(Duration.ofMillis(Long.parseLong(payload)), () -> result.complete(resultOf(task, payload)));
        }
        clock.schedule(timeout, () -> completeWithError(result, Verdict.MAY_HAVE_RUN));
        return result;
    }

    private static void completeWithError(CompletableFuture<String> result, Verdict verdict) {
        result.completeExceptionally(
                new RequestError(verdict, ErrorCode.INTERNAL, "simulated target failure").toException());
    }
}
