package org.gypsumflow.standin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;

/** A small stand-in for the platform's store: keyed topics with one partition, in memory. */
public final class StoreStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String OCTETS = "application/octet-stream";

    private record Stored(String key, byte[] value, byte[] raw) {}

    private final Map<String, List<Stored>> topics = new HashMap<>();
    private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private final GrizzlyHttpServer front;
    private final int port;
    private volatile boolean down;

    private StoreStandIn(String host, int port) {
        this.front = GrizzlyHttpServer.create(host, port, 1, (event, details) -> {});
        front.addHandler("POST", "/log-append", this::append)
                .addHandler("GET", "/log-newest", this::newest)
                .addHandler("GET", "/log-read", this::read);
        this.port = front.start();
    }

    /**
     * Starts a stand-in.
     *
     * @param host IP number to listen on
     * @param port TCP port, 0 for a free one
     * @return the stand-in
     */
    public static StoreStandIn start(String host, int port) {
        return new StoreStandIn(host, port);
    }

    /**
     * Returns the port on which it listens.
     *
     * @return the TCP port
     */
    public int port() {
        return port;
    }

    /**
     * Refuses all calls, or serves again.
     *
     * @param refuse true to refuse
     */
    public void setUnavailable(boolean refuse) {
        down = refuse;
    }

    /**
     * Writes a record as the operator does.
     *
     * @param topic the topic
     * @param key its key
     * @param value its content; empty to drop the key
     */
    public void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer raw = ByteBuffer.allocate(1 + name.length + content.length);
        raw.put((byte) name.length).put(name).put(content);
        store(topic, raw.array());
    }

    @Override
    public void close() {
        front.close();
    }

    private synchronized void store(String topic, byte[] raw) {
        String key = new String(raw, 1, raw[0], StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(raw, 1 + raw[0], raw.length);
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(new Stored(key, value, raw));
        List.copyOf(waiting).forEach(each -> each.complete(null));
        waiting.clear();
    }

    private synchronized List<Stored> records(ServerRequest call) {
        return List.copyOf(topics.getOrDefault(call.parameters().apply("topic"), List.of()));
    }

    private CompletableFuture<ServerResponse> append(ServerRequest call) {
        if (down) {
            return refused();
        }
        ByteBuffer body = ByteBuffer.wrap(call.body());
        while (body.remaining() > Integer.BYTES) {
            byte[] raw = new byte[body.getInt()];
            body.get(raw);
            store(call.parameters().apply("topic"), raw);
        }
        int end = records(call).size();
        return CompletableFuture.completedFuture(ServerResponse.json(OK, Map.of("offset", end - 1, "end", end)));
    }

    private CompletableFuture<ServerResponse> newest(ServerRequest call) {
        if (down) {
            return refused();
        }
        List<Stored> records = records(call);
        Map<String, Map<String, Object>> newest = new LinkedHashMap<>();
        for (int offset = 0; offset < records.size(); offset++) {
            Stored record = records.get(offset);
            newest.remove(record.key());
            if (record.value().length > 0) {
                String value = Base64.getEncoder().encodeToString(record.value());
                newest.put(record.key(), Map.of("key", record.key(), "value", value, "offset", offset));
            }
        }
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, Map.of("items", newest.values(), "more", false, "end", records.size())));
    }

    private CompletableFuture<ServerResponse> read(ServerRequest call) {
        int from = Integer.parseInt(call.parameters().apply("from"));
        long wait = Long.parseLong(call.parameters().apply("waitMs"));
        CompletableFuture<Void> ready = new CompletableFuture<>();
        synchronized (this) {
            if (records(call).size() > from) {
                ready.complete(null);
            } else {
                waiting.add(ready);
            }
        }
        return ready.completeOnTimeout(null, Duration.ofMillis(wait).toMillis(), TimeUnit.MILLISECONDS)
                .thenCompose(nothing -> down ? refused() : CompletableFuture.completedFuture(page(call, from)));
    }

    private ServerResponse page(ServerRequest call, int from) {
        List<Stored> records = records(call);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(records.size())
                .putLong(0)
                .array());
        for (Stored record : records.subList(Math.min(from, records.size()), records.size())) {
            body.writeBytes(ByteBuffer.allocate(Integer.BYTES)
                    .putInt(record.raw().length)
                    .array());
            body.writeBytes(record.raw());
        }
        return new ServerResponse(OK, OCTETS, body.toByteArray(), Map.of());
    }

    private static CompletableFuture<ServerResponse> refused() {
        return CompletableFuture.completedFuture(ServerResponse.text(UNAVAILABLE, "down"));
    }
}
