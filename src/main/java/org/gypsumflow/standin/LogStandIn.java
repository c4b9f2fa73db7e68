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

/**
 * A stand-in for the platform's log service: keeps streams in memory and can simulate the faults of the real service.
 *
 * <p>It serves {@code /streams}, and for tests {@code /control}, which changes its behaviour, and {@code /statistics}.
 */
public final class LogStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int THREADS = 8;

    /**
     * Faults and delays that the log simulates; replaced as a whole.
     *
     * @param unavailable whether every append and read is rejected with status 503
     * @param writeDelay time that a synchronous write takes
     * @param loseResponses whether appends take effect, but are answered with status 503
     */
    public record Behaviour(boolean unavailable, Duration writeDelay, boolean loseResponses) {}

    private record StoredRecord(long offset, long loggedAtMillis, byte[] body) {}

    private static final class Stream {
        private final List<StoredRecord> records = new ArrayList<>();
        private long nextOffset;
    }

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final Map<String, Stream> streams = new HashMap<>();
    private final Duration retention;
    private final GrizzlyHttpServer server;
    private final int port;
    private volatile Behaviour behaviour;
    private volatile long appends;

    private LogStandIn(int port, Duration writeDelay, Duration retention) {
        this.behaviour = new Behaviour(false, writeDelay, false);
        this.retention = retention;
        this.server = GrizzlyHttpServer.create("127.0.0.1", port, THREADS, EventLog.none());
        server.addHandler("POST", "/streams", this::append)
                .addHandler("GET", "/streams", this::read)
                .addHandler("GET", "/statistics", this::statistics)
                .addHandler("POST", "/control", this::control);
        this.port = server.start();
    }

    /**
     * Starts a log service on the loopback address.
     *
     * @param port TCP port, 0 for any free one
     * @param writeDelay time that a synchronous write takes
     * @param retention age after which a record is deleted
     * @return the running log service
     */
    public static LogStandIn start(int port, Duration writeDelay, Duration retention) {
        return new LogStandIn(port, writeDelay, retention);
    }

    /**
     * Returns the base URL of the log service.
     *
     * @return the URL, without a slash at its end
     */
    public String url() {
        return "http://127.0.0.1:" + port;
    }

    /**
     * Sets the simulated faults and delays; appends that wait for their delay keep the earlier ones.
     *
     * @param newBehaviour behaviour from now on
     */
    public void setBehaviour(Behaviour newBehaviour) {
        this.behaviour = newBehaviour;
    }

    @Override
    public void close() {
        server.close();
        timer.shutdownNow();
    }

    private CompletableFuture<ServerResponse> append(ServerRequest request) {
        Behaviour current = behaviour;
        if (current.unavailable()) {
            return unavailable();
        }
        CompletableFuture<ServerResponse> response = new CompletableFuture<>();
        timer.schedule(
                () -> {
                    StoredRecord record = appendRecord(request.path(), request.body());
                    response.complete(
                            current.loseResponses()
                                    ? ServerResponse.text(UNAVAILABLE, "response lost")
                                    : ServerResponse.json(
                                            OK,
                                            Map.of(
                                                    "offset", record.offset(),
                                                    "loggedAtMillis", record.loggedAtMillis())));
                },
                current.writeDelay().toNanos(),
                TimeUnit.NANOSECONDS);
        return response;
    }

    private CompletableFuture<ServerResponse> read(ServerRequest request) {
        if (behaviour.unavailable()) {
            return unavailable();
        }
        long fromOffset = Long.parseLong(request.parameters().apply("from"));
        int maxRecords = Integer.parseInt(request.parameters().apply("most"));
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, readPage(request.path(), fromOffset, maxRecords)));
    }

    private CompletableFuture<ServerResponse> statistics(ServerRequest request) {
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("appends", appends)));
    }

    private CompletableFuture<ServerResponse> control(ServerRequest request) {
        try {
            Map<?, ?> settings = JSON.readValue(request.body(), Map.class);
            Number writeDelay = settings.get("delayMillis") instanceof Number given
                    ? given
                    : behaviour.writeDelay().toMillis();
            setBehaviour(new Behaviour(
                    Boolean.TRUE.equals(settings.get("out")),
                    Duration.ofMillis(writeDelay.longValue()),
                    Boolean.TRUE.equals(settings.get("loseAnswers"))));
            return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("accepted", true)));
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }

    private synchronized StoredRecord appendRecord(String name, byte[] body) {
        Stream stream = streams.computeIfAbsent(name, absentName -> new Stream());
        StoredRecord record = new StoredRecord(stream.nextOffset++, System.currentTimeMillis(), body);
        stream.records.add(record);
        appends++;
        deleteExpired(stream, record.loggedAtMillis());
        return record;
    }

    private synchronized Map<String, Object> readPage(String name, long fromOffset, int maxRecords) {
        Stream stream = streams.computeIfAbsent(name, absentName -> new Stream());
        deleteExpired(stream, System.currentTimeMillis());
        long firstOffset = stream.nextOffset - stream.records.size();
        List<Map<String, Object>> records = new ArrayList<>();
        int start = (int) Math.min(stream.records.size(), Math.max(0, fromOffset - firstOffset));
        int end = Math.min(stream.records.size(), start + maxRecords);
        for (StoredRecord record : stream.records.subList(start, end)) {
            records.add(Map.of(
                    "offset", record.offset(), "loggedAtMillis", record.loggedAtMillis(), "body", record.body()));
        }
        return Map.of("firstOffset", firstOffset, "headOffset", stream.nextOffset, "records", records);
    }

    private void deleteExpired(Stream stream, long nowMillis) {
        long oldestKeptMillis = nowMillis - retention.toMillis();
        int expiredCount = 0;
        while (expiredCount < stream.records.size()
                && stream.records.get(expiredCount).loggedAtMillis() < oldestKeptMillis) {
            expiredCount++;
        }
        stream.records.subList(0, expiredCount).clear();
    }

    private static CompletableFuture<ServerResponse> unavailable() {
        return CompletableFuture.completedFuture(ServerResponse.text(UNAVAILABLE, "log unavailable"));
    }
}
