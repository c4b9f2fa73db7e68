package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.gypsumflow.model.JobOutcome;

/** Keeps answers for resubmissions, within a window and a size; used on one lane only. */
final class OutcomeCache {
    private record Kept(Submission submission, long endedNanos, long characters) {}

    private final long windowNanos;
    private final long mostCharacters;
    private final Consumer<Submission> forget;
    private final Deque<Kept> byAge = new ArrayDeque<>();
    private long characters;

    private OutcomeCache(Duration window, long mostCharacters, Consumer<Submission> forget) {
        this.windowNanos = window.toNanos();
        this.mostCharacters = mostCharacters;
        this.forget = forget;
    }

    /** Creates an empty cache; {@code forget} hears of each submission that it lets go. */
    static OutcomeCache create(Duration window, long mostCharacters, Consumer<Submission> forget) {
        return new OutcomeCache(window, mostCharacters, forget);
    }

    void add(Submission submission, JobOutcome outcome, long nowNanos) {
        Kept kept = new Kept(submission, nowNanos, characters(outcome));
        byAge.addLast(kept);
        characters += kept.characters();
        while (characters > mostCharacters) {
            forgetOldest();
        }
    }

    void evictExpired(long nowNanos) {
        while (!byAge.isEmpty() && nowNanos - byAge.peekFirst().endedNanos() > windowNanos) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
        Kept oldest = byAge.removeFirst();
        characters -= oldest.characters();
        forget.accept(oldest.submission());
    }

    private static long characters(JobOutcome outcome) {
        return outcome.tasks().stream()
                .mapToLong(task -> (long) task.result().length() + task.reason().length())
                .sum();
    }
}
