package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.gypsumflow.model.JobOutcome;

/**
 * Keeps finished submissions so that resubmissions get the same outcome, bounded by age and by size of the outcomes.
 *
 * <p>Confined to one executor.
 */
final class OutcomeCache {
    private record CachedSubmission(Submission submission, long finishedNanos, long characters) {}

    private final long windowNanos;
    private final long maxCharacters;
    private final Consumer<Submission> evictionListener;
    private final Deque<CachedSubmission> cachedByAge = new ArrayDeque<>();
    private long characters;

    private OutcomeCache(Duration window, long maxCharacters, Consumer<Submission> evictionListener) {
        this.windowNanos = window.toNanos();
        this.maxCharacters = maxCharacters;
        this.evictionListener = evictionListener;
    }

    /** Creates an empty cache; {@code evictionListener} receives each evicted submission. */
    static OutcomeCache create(Duration window, long maxCharacters, Consumer<Submission> evictionListener) {
        return new OutcomeCache(window, maxCharacters, evictionListener);
    }

    void add(Submission submission, JobOutcome outcome, long nowNanos) {
        CachedSubmission cached = new CachedSubmission(submission, nowNanos, characters(outcome));
        cachedByAge.addLast(cached);
        characters += cached.characters();
        while (characters > maxCharacters) {
            evictOldest();
        }
    }

    void evictExpired(long nowNanos) {
        while (!cachedByAge.isEmpty() && nowNanos - cachedByAge.peekFirst().finishedNanos() > windowNanos) {
            evictOldest();
        }
    }

    private void evictOldest() {
        CachedSubmission oldest = cachedByAge.removeFirst();
        characters -= oldest.characters();
        evictionListener.accept(oldest.submission());
    }

    private static long characters(JobOutcome outcome) {
        return outcome.tasks().stream()
                .mapToLong(task -> (long) task.result().length() + task.reason().length())
                .sum();
    }
}
