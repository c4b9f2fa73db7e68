package org.gypsumflow.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.model.EventLog;

/** A stand-in for the platform's log service, in memory, with the faults of the real one. */
public final class LogStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int THREADS = 8;

    /**
     * How the log behaves; replaced as a whole.
     *
     * @param unavailable true while it refuses everything
     * @param writeDelay how long a synced write takes
     * @param loseResponses true while writes take effect but their answers are lost
     */
    public record Behaviour(boolean unavailable, Duration writeDelay, boolean loseResponses) {}

    private record Stored(long offset, long loggedAtMillis, byte[] body) {}

    private static final class Stream {
        private final List<Stored> records = new ArrayList<>();
        private long nextOffset;
    }

    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(1);
    private final Map<String, Stream> streams = new HashMap<>();
    private final Duration retention;
    private final GrizzlyHttpServer front;
    private final int port;
    private volatile Behaviour behaviour;
    private volatile long appends;

    private LogStandIn(int port, Duration delay, Duration retention) {
        this.behaviour = new Behaviour(false, delay, false);
        this.retention = retention;
        this.front = GrizzlyHttpServer.create("127.0.0.1", port, THREADS, EventLog.none());
        front.addHandler("POST", "/streams", this::append)
                .addHandler("GET", "/streams", this::read)
                .addHandler("GET", "/statistics", this::statistics)
                .addHandler("POST", "/control", this::control);
        this.port = front.start();
    }

    /**
     * Starts a log on loopback.
     *
     * @param port TCP port, 0 for a free one
     * @param delay how long a synced write takes
     * @param retention how long records are kept
     * @return the running log
     */
    public static LogStandIn start(int port, Duration delay, Duration retention) {
        return new LogStandIn(port, delay, retention);
    }

    /**
     * Returns where it listens.
     *
     * @return the base URL
     */
    public String url() {
        return "http://127.0.0.1:" + port;
    }

    /**
     * Changes how the log behaves.
     *
     * @param changed the new behaviour
     */
    public void setBehaviour(Behaviour changed) {
        this.behaviour = changed;
    }

    @Override
    public void close() {
        front.close();
        clock.shutdownNow();
    }

    private CompletableFuture<ServerResponse> append(ServerRequest call) {
        Behaviour now = behaviour;
        if (now.unavailable()) {
            return unavailable();
        }
        CompletableFuture<ServerResponse> answer = new CompletableFuture<>();
        clock.schedule(
                () -> {
                    Stored stored = store(call.path(), call.body());
                    answer.complete(
                            now.loseResponses()
                                    ? ServerResponse.text(UNAVAILABLE, "answer lost")
                                    : ServerResponse.json(
                                            OK,
                                            Map.of(
                                                    "offset", stored.offset(),
                                                    "loggedAtMillis", stored.loggedAtMillis())));
                },
                now.writeDelay().toNanos(),
                TimeUnit.NANOSECONDS);
        return answer;
    }

    private CompletableFuture<ServerResponse> read(ServerRequest call) {
        if (behaviour.unavailable()) {
            return unavailable();
        }
        long from = Long.parseLong(call.parameters().apply("from"));
        int most = Integer.parseInt(call.parameters().apply("most"));
        return CompletableFuture.completedFuture(ServerResponse.json(OK, page(call.path(), from, most)));
    }

    private CompletableFuture<ServerResponse> statistics(ServerRequest call) {
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("appends", appends)));
    }

    private CompletableFuture<ServerResponse> control(ServerRequest call) {
        try {
            Map<?, ?> wanted = JSON.readValue(call.body(), Map.class);
            Number delay = wanted.get("delayMillis") instanceof Number given
                    ? given
                    : behaviour.writeDelay().toMillis();
            setBehaviour(new Behaviour(
                    Boolean.TRUE.equals(wanted.get("out")),
                    Duration.ofMillis(delay.longValue()),
                    Boolean.TRUE.equals(wanted.get("loseAnswers"))));
            return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("accepted", true)));
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }

    private synchronized Stored store(String name, byte[] body) {
        Stream stream = streams.computeIfAbsent(name, missing -> new Stream());
        Stored stored = new Stored(stream.nextOffset++, System.currentTimeMillis(), body);
        stream.records.add(stored);
        appends++;
        expire(stream, stored.loggedAtMillis());
        return stored;
    }

    private synchronized Map<String, Object> page(String name, long from, int most) {
        Stream stream = streams.computeIfAbsent(name, missing -> new Stream());
        expire(stream, System.currentTimeMillis());
        long first = stream.nextOffset - stream.records.size();
        List<Map<String, Object>> records = new ArrayList<>();
        int start = (int) Math.min(stream.records.size(), Math.max(0, from - first));
        int end = Math.min(stream.records.size(), start + most);
        for (Stored stored : stream.records.subList(start, end)) {
            records.add(Map.of(
                    "offset", stored.offset(), "loggedAtMillis", stored.loggedAtMillis(), "body", stored.body()));
        }
        return Map.of("firstOffset", first, "headOffset", stream.nextOffset, "records", records);
    }

    private void expire(Stream stream, long nowMillis) {
        long oldest = nowMillis - retention.toMillis();
        int expired = 0;
        while (expired < stream.records.size() && stream.records.get(expired).loggedAtMillis() < oldest) {
            expired++;
        }
        stream.records.subList(0, expired).clear();
    }

    private static CompletableFuture<ServerResponse> unavailable() {
        return CompletableFuture.completedFuture(ServerResponse.text(UNAVAILABLE, "out of service"));
    }
}
