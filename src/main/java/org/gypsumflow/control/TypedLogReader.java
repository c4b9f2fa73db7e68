package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.gypsumflow.command.MemberRecord;
import org.gypsumflow.command.Membership;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.log.TypedLog;

/**
 * Reads a stream of the platform's log once, from an offset up to its head, for the control thread of an entry or
 * agent.
 */
public final class TypedLogReader {
    /** Maximum number of records requested for one page. */
    private static final int PAGE_RECORDS = 500;

    private TypedLogReader() {}

    /**
     * Reads page after page until a page reaches the head of the stream.
     *
     * @param log stream to read
     * @param executor serial executor on which pages are processed and the future completes
     * @param timeout maximum wait for each page
     * @param nextOffset supplies the offset to read from; called again for each page
     * @param pageConsumer processes a page and advances the offset
     * @param <T> type of the records
     * @return completes when a page has reached the head, or exceptionally when a read fails or times out, or a page
     *     cannot be processed
     */
    public static <T> CompletableFuture<Void> readToHead(
            TypedLog<T> log,
            SerialExecutor executor,
            Duration timeout,
            LongSupplier nextOffset,
            Consumer<Page<T>> pageConsumer) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        readPage(log, executor, timeout, nextOffset, pageConsumer, done);
        return done;
    }

    /**
     * Reads the members stream to its head and applies the announcements in it.
     *
     * @param log members stream
     * @param executor serial executor on which the membership is updated and the future completes
     * @param timeout maximum wait for each page
     * @param membership entries in service; updated
     * @return completes like {@link #readToHead}
     */
    static CompletableFuture<Void> readMembers(
            TypedLog<MemberRecord> log, SerialExecutor executor, Duration timeout, Membership membership) {
        return readToHead(log, executor, timeout, membership::nextOffset, page -> {
            page.records().forEach(record -> membership.apply(record.offset(), record.loggedAtMillis(), record.body()));
            membership.skipTo(page.nextOffset());
        });
    }

    private static <T> void readPage(
            TypedLog<T> log,
            SerialExecutor executor,
            Duration timeout,
            LongSupplier nextOffset,
            Consumer<Page<T>> pageConsumer,
            CompletableFuture<Void> done) {
        withTimeout(executor, timeout, log.read(nextOffset.getAsLong(), PAGE_RECORDS))
                .whenComplete((page, failure) -> {
                    if (failure != null) {
                        done.completeExceptionally(failure);
                        return;
                    }
                    try {
                        pageConsumer.accept(page);
                    } catch (RuntimeException invalidPage) {
                        done.completeExceptionally(invalidPage);
                        return;
                    }
                    if (nextOffset.getAsLong() >= page.headOffset()) {
                        done.complete(null);
                        return;
                    }
                    readPage(log, executor, timeout, nextOffset, pageConsumer, done);
                });
    }

    /**
     * Applies a timeout to a future and completes the result on a serial executor.
     *
     * @param executor serial executor on which the returned future completes
     * @param timeout maximum wait, counted from this call
     * @param future future to wait for; it is not cancelled on timeout
     * @param <T> type of the future's value
     * @return completes like the given future, or exceptionally with a {@link TimeoutException}
     */
    public static <T> CompletableFuture<T> withTimeout(
            SerialExecutor executor, Duration timeout, CompletableFuture<T> future) {
        CompletableFuture<T> bounded = new CompletableFuture<>();
        future.whenComplete((value, failure) -> executor.execute(() -> {
            if (failure != null) {
                bounded.completeExceptionally(failure);
            } else {
                bounded.complete(value);
            }
        }));
        executor.schedule(
                timeout,
                () -> bounded.completeExceptionally(
                        new TimeoutException("no response within " + timeout.toMillis() + " ms")));
        return bounded;
    }
}
