package org.gypsumflow.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.log.TypedLog;

/** Reads a stream to its head, page by page. */
public final class TypedLogReader {
    /** Most records in one page. */
    private static final int PAGE_RECORDS = 500;

    private TypedLogReader() {}

    /**
     * Reads until nothing is left.
     *
     * @param log the stream
     * @param lane lane on which pages are taken and the future completes
     * @param timeout how long to wait for each page
     * @param next offset to read from, asked again for each page
     * @param take takes a page and moves the offset
     * @param <T> type of the records
     * @return completes once a page reached the head, or fails with the log
     */
    public static <T> CompletableFuture<Void> readToHead(
            TypedLog<T> log, SerialExecutor lane, Duration timeout, LongSupplier next, Consumer<Page<T>> take) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        readPage(log, lane, timeout, next, take, done);
        return done;
    }

    private static <T> void readPage(
            TypedLog<T> log,
            SerialExecutor lane,
            Duration timeout,
            LongSupplier next,
            Consumer<Page<T>> take,
            CompletableFuture<Void> done) {
        withTimeout(lane, timeout, log.read(next.getAsLong(), PAGE_RECORDS)).whenComplete((page, failure) -> {
            if (failure != null) {
                done.completeExceptionally(failure);
                return;
            }
            take.accept(page);
            if (next.getAsLong() >= page.headOffset()) {
                done.complete(null);
                return;
            }
            readPage(log, lane, timeout, next, take, done);
        });
    }

    /**
     * Bounds the wait for an answer and brings it to a lane.
     *
     * @param lane lane on which the returned future completes
     * @param timeout how long to wait
     * @param answer the answer
     * @param <T> type of the answer
     * @return the answer, or a {@link TimeoutException}
     */
    public static <T> CompletableFuture<T> withTimeout(
            SerialExecutor lane, Duration timeout, CompletableFuture<T> answer) {
        CompletableFuture<T> bounded = new CompletableFuture<>();
        answer.whenComplete((value, failure) -> lane.execute(() -> {
            if (failure != null) {
                bounded.completeExceptionally(failure);
            } else {
                bounded.complete(value);
            }
        }));
        lane.schedule(
                timeout,
                () -> bounded.completeExceptionally(
                        new TimeoutException("no answer within " + timeout.toMillis() + " ms")));
        return bounded;
    }
}
