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

/** A target that writes every start into a shared journal. */
final class FakeTarget implements TargetClient {
    /** How the target treats tasks. */
    enum Mode {
        NORMAL,
        FAIL,
        SILENT,
        UNREACHABLE
    }

    /** One start. */
    record Start(TaskId task, WorkerName worker, AvailabilityZone zone, long atNanos) {}

    private final VirtualClock clock;
    private final WorkerName worker;
    private final AvailabilityZone zone;
    private final List<Start> journal;
    private Mode mode = Mode.NORMAL;

    FakeTarget(VirtualClock clock, WorkerName worker, AvailabilityZone zone, List<Start> journal) {
        this.clock = clock;
        this.worker = worker;
        this.zone = zone;
        this.journal = journal;
    }

    void behave(Mode now) {
        mode = now;
    }

    /** Returns the answer that belongs to one task and to no other. */
    static String resultOf(TaskId task, String payload) {
        return task + " ran " + payload;
    }

    @Override
    public CompletableFuture<String> run(TaskId task, String payload, Duration timeout, TraceParent trace) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        if (mode == Mode.UNREACHABLE) {
            refuse(answer, Verdict.NOT_RUN);
            return answer;
        }
        journal.add(new Start(task, worker, zone, clock.nanos()));
        if (mode == Mode.FAIL) {
            refuse(answer, Verdict.FAILED);
            return answer;
        }
        if (mode == Mode.NORMAL) {
            clock.after(Duration.ofMillis(Long.parseLong(payload)), () -> answer.complete(resultOf(task, payload)));
        }
        clock.after(timeout, () -> refuse(answer, Verdict.MAY_HAVE_RUN));
        return answer;
    }

    private static void refuse(CompletableFuture<String> answer, Verdict verdict) {
        answer.completeExceptionally(
                new RequestError(verdict, ErrorCode.INTERNAL, "the target did not answer").toException());
    }
}
