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

/** The platform's log with its faults: outages, slow writes, lost answers, late writes, limited retention. */
final class FakeLog {
    private static final Duration ROUND_TRIP = Duration.ofMillis(1);

    private static final class Stream {
        private final List<LogRecord<Object>> entries = new ArrayList<>();
        private long nextOffset;
    }

    private final VirtualClock clock;
    private final Random random;
    private final Map<String, Stream> streams = new HashMap<>();
    private Duration writeTime = Duration.ofMillis(4);
    private Duration retention = Duration.ofHours(1);
    private double loseAnswer;
    private double writeLate;
    private boolean out;

    FakeLog(VirtualClock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    void setOut(boolean now) {
        out = now;
    }

    void setWriteTime(Duration now) {
        writeTime = now;
    }

    void setRetention(Duration now) {
        retention = now;
    }

    void setLoseAnswer(double probability) {
        loseAnswer = probability;
    }

    void setWriteLate(double probability) {
        writeLate = probability;
    }

    /** Returns everything that was ever appended, for checks. */
    @SuppressWarnings("unchecked")
    <T> List<LogRecord<T>> all(String stream) {
        return (List<LogRecord<T>>) (List<?>) List.copyOf(stream(stream).entries);
    }

    int appends() {
        return streams.values().stream()
                .mapToInt(stream -> stream.entries.size())
                .sum();
    }

    /** Opens a stream as a process sees it; a process that is cut off gets no answer. */
    <T> TypedLog<T> open(String name, java.util.function.BooleanSupplier reachable) {
        return new TypedLog<>() {
            @Override
            public CompletableFuture<AppendResult> append(T body) {
                CompletableFuture<AppendResult> answer = new CompletableFuture<>();
                if (!reachable.getAsBoolean() || out) {
                    fail(answer);
                    return answer;
                }
                boolean late = random.nextDouble() < writeLate;
                boolean lost = late || random.nextDouble() < loseAnswer;
                Duration landing = late ? writeTime.plusSeconds(1 + random.nextInt(20)) : writeTime;
                clock.after(landing, () -> {
                    AppendResult appended = store(name, body);
                    if (!lost) {
                        clock.after(ROUND_TRIP, () -> answer.complete(appended));
                    }
                });
                return answer;
            }

            @Override
            public CompletableFuture<Page<T>> read(long fromOffset, int most) {
                CompletableFuture<Page<T>> answer = new CompletableFuture<>();
                if (!reachable.getAsBoolean() || out) {
                    fail(answer);
                    return answer;
                }
                Page<T> page = page(name, fromOffset, most);
                clock.after(ROUND_TRIP, () -> answer.complete(page));
                return answer;
            }
        };
    }

    private void fail(CompletableFuture<?> answer) {
        clock.after(
                ROUND_TRIP, () -> answer.completeExceptionally(new IllegalStateException("the log is out of service")));
    }

    private AppendResult store(String name, Object body) {
        Stream stream = stream(name);
        LogRecord<Object> entry = new LogRecord<>(stream.nextOffset++, clock.millis(), body);
        stream.entries.add(entry);
        return new AppendResult(entry.offset(), entry.loggedAtMillis());
    }

    @SuppressWarnings("unchecked")
    private <T> Page<T> page(String name, long fromOffset, int most) {
        Stream stream = stream(name);
        long oldest = clock.millis() - retention.toMillis();
        long first = stream.nextOffset;
        List<LogRecord<T>> entries = new ArrayList<>();
        for (LogRecord<Object> entry : stream.entries) {
            if (entry.loggedAtMillis() < oldest) {
                continue;
            }
            first = Math.min(first, entry.offset());
            if (entry.offset() >= fromOffset && entries.size() < most) {
                entries.add((LogRecord<T>) (LogRecord<?>) entry);
            }
        }
        return new Page<>(first, stream.nextOffset, entries);
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, missing -> new Stream());
    }
}
