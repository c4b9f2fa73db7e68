package org.gypsumflow.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.log.PlatformLog.AppendResult;
import org.gypsumflow.log.PlatformLog.LogRecord;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.log.TypedLog;

/** Fake of the platform's log with fault injection: outages, slow or late writes, lost responses, short retention. */
final class FakeLog {
    private static final Duration ROUND_TRIP = Duration.ofMillis(1);

    private static final class Stream {
        private final List<LogRecord<Object>> records = new ArrayList<>();
        private long nextOffset;
    }

    private final VirtualClock clock;
    private final Random random;
    private final Map<String, Stream> streams = new HashMap<>();
    private Duration writeDelay = Duration.ofMillis(4);
    private Duration retention = Duration.ofHours(1);
    private double lostResponseProbability;
    private double lateWriteProbability;
    private boolean unavailable;

    FakeLog(VirtualClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void setUnavailable(boolean newValue) {
        unavailable = newValue;
    }

    void setWriteDelay(Duration newDelay) {
        writeDelay = newDelay;
    }

    void setRetention(Duration newRetention) {
        retention = newRetention;
    }

    void setLostResponseProbability(double probability) {
        lostResponseProbability = probability;
    }

    void setLateWriteProbability(double probability) {
        lateWriteProbability = probability;
    }

    /** Returns all records ever appended to a stream, including those past the retention. */
    @SuppressWarnings("unchecked")
    <T> List<LogRecord<T>> allRecords(String stream) {
        return (List<LogRecord<T>>) (List<?>) List.copyOf(stream(stream).records);
    }

    int appendCount() {
        return streams.values().stream()
                .mapToInt(stream -> stream.records.size())
                .sum();
    }

    /** Opens a stream for one process; its requests fail while {@code reachable} is false. */
    <T> TypedLog<T> open(String name, java.util.function.BooleanSupplier reachable) {
        return new TypedLog<>() {
            @Override
            public CompletableFuture<AppendResult> append(T body) {
                CompletableFuture<AppendResult> response = new CompletableFuture<>();
                if (!reachable.getAsBoolean() || unavailable) {
                    fail(response);
                    return response;
                }
                boolean writtenLate = random.nextDouble() < lateWriteProbability;
                boolean responseLost = writtenLate || random.nextDouble() < lostResponseProbability;
                Duration delay = writtenLate ? writeDelay.plusSeconds(1 + random.nextInt(20)) : writeDelay;
                clock.schedule(delay, () -> {
                    AppendResult appended = appendRecord(name, body);
                    if (!responseLost) {
                        clock.schedule(ROUND_TRIP, () -> response.complete(appended));
                    }
                });
                return response;
            }

            @Override
            public CompletableFuture<Page<T>> read(long fromOffset, int maxRecords) {
                CompletableFuture<Page<T>> response = new CompletableFuture<>();
                if (!reachable.getAsBoolean() || unavailable) {
                    fail(response);
                    return response;
                }
                Page<T> page = readPage(name, fromOffset, maxRecords);
                clock.schedule(ROUND_TRIP, () -> response.complete(page));
                return response;
            }
        };
    }

    private void fail(CompletableFuture<?> response) {
        clock.schedule(
                ROUND_TRIP, () -> response.completeExceptionally(new IllegalStateException("the log is unavailable")));
    }

    private AppendResult appendRecord(String name, Object body) {
        Stream stream = stream(name);
        LogRecord<Object> logRecord = new LogRecord<>(stream.nextOffset++, clock.millis(), body);
        stream.records.add(logRecord);
        return new AppendResult(logRecord.offset(), logRecord.loggedAtMillis());
    }

    @SuppressWarnings("unchecked")
    private <T> Page<T> readPage(String name, long fromOffset, int maxRecords) {
        Stream stream = stream(name);
        long oldestRetainedMillis = clock.millis() - retention.toMillis();
        long first = stream.nextOffset;
        List<LogRecord<T>> retained = new ArrayList<>();
        for (LogRecord<Object> logRecord : stream.records) {
            if (logRecord.loggedAtMillis() < oldestRetainedMillis) {
                continue;
            }
            first = Math.min(first, logRecord.offset());
            if (logRecord.offset() >= fromOffset && retained.size() < maxRecords) {
                retained.add((LogRecord<T>) (LogRecord<?>) logRecord);
            }
        }
        return Page.of(first, stream.nextOffset, retained);
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, missing -> new Stream());
    }
}
