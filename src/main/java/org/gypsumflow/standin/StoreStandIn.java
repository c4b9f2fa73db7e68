package org.gypsumflow.standin;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
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

/** A minimal stand-in for the platform's store: compacted topics with one partition each, in memory. */
public final class StoreStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String OCTET_STREAM = "application/octet-stream";

    private record StoredRecord(String key, byte[] value, byte[] encoded) {}

    private final Map<String, List<StoredRecord>> topics = new HashMap<>();
    private final List<CompletableFuture<Void>> waitingReads = new ArrayList<>();
    private final GrizzlyHttpServer server;
    private final int port;
    private volatile boolean unavailable;
    private volatile String rejectedHost = "";

    private StoreStandIn(String host, int port) {
        this.server = GrizzlyHttpServer.create(host, port, 1, (event, details) -> {});
        server.addHandler("POST", "/log-append", this::append)
                .addHandler("GET", "/log-newest", this::latest)
                .addHandler("GET", "/log-read", this::read);
        this.port = server.start();
    }

    /**
     * Starts a store without records.
     *
     * @param host IP address to bind
     * @param port TCP port, 0 for any free one
     * @return the running store
     */
    public static StoreStandIn start(String host, int port) {
        return new StoreStandIn(host, port);
    }

    /**
     * Returns the TCP port that the store listens on.
     *
     * @return the port that was bound
     */
    public int port() {
        return port;
    }

    /**
     * Makes the store reject all requests with status 503, or serve them again.
     *
     * @param reject true to reject requests
     */
    public void setUnavailable(boolean reject) {
        unavailable = reject;
    }

    /**
     * Listens on another address as well, with the same port.
     *
     * @param host IP address to bind
     */
    @SuppressWarnings("DnsLookup") // the address is an IP literal
    public void listenAlsoOn(String host) {
        server.bind(new InetSocketAddress(host, port));
    }

    /**
     * Makes the store reject the requests to one of its addresses with status 503.
     *
     * @param host IP address to which the requests are sent; empty to serve all again
     */
    public void rejectRequestsTo(String host) {
        rejectedHost = host;
    }

    /**
     * Appends a record as the platform's operator does.
     *
     * @param topic full name of the topic
     * @param key key of the record, at most 127 bytes
     * @param value value of the record; empty to delete the key
     */
    public void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer encoded = ByteBuffer.allocate(1 + name.length + content.length);
        encoded.put((byte) name.length).put(name).put(content);
        appendRecord(topic, encoded.array());
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized void appendRecord(String topic, byte[] encoded) {
        String key = new String(encoded, 1, encoded[0], StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(encoded, 1 + encoded[0], encoded.length);
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(new StoredRecord(key, value, encoded));
        List.copyOf(waitingReads).forEach(read -> read.complete(null));
        waitingReads.clear();
    }

    private synchronized List<StoredRecord> records(ServerRequest request) {
        return List.copyOf(topics.getOrDefault(request.parameters().apply("topic"), List.of()));
    }

    private boolean isRejected(ServerRequest request) {
        return unavailable || String.valueOf(request.headers().apply("Host")).startsWith(rejectedHost + ":");
    }

    private CompletableFuture<ServerResponse> append(ServerRequest request) {
        if (isRejected(request)) {
            return rejected();
        }
        ByteBuffer body = ByteBuffer.wrap(request.body());
        while (body.remaining() > Integer.BYTES) {
            byte[] encoded = new byte[body.getInt()];
            body.get(encoded);
            appendRecord(request.parameters().apply("topic"), encoded);
        }
        int endOffset = records(request).size();
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, Map.of("offset", endOffset - 1, "end", endOffset)));
    }

    private CompletableFuture<ServerResponse> latest(ServerRequest request) {
        if (isRejected(request)) {
            return rejected();
        }
        List<StoredRecord> records = records(request);
        Map<String, Map<String, Object>> latest = new LinkedHashMap<>();
        for (int offset = 0; offset < records.size(); offset++) {
            StoredRecord record = records.get(offset);
            latest.remove(record.key());
            if (record.value().length > 0) {
                String value = Base64.getEncoder().encodeToString(record.value());
                latest.put(record.key(), Map.of("key", record.key(), "value", value, "offset", offset));
            }
        }
        return CompletableFuture.completedFuture(
                ServerResponse.json(OK, Map.of("items", latest.values(), "more", false, "end", records.size())));
    }

    private CompletableFuture<ServerResponse> read(ServerRequest request) {
        int fromOffset = Integer.parseInt(request.parameters().apply("from"));
        long maxWaitMillis = Long.parseLong(request.parameters().apply("waitMs"));
        CompletableFuture<Void> recordAppended = new CompletableFuture<>();
        synchronized (this) {
            if (records(request).size() > fromOffset) {
                recordAppended.complete(null);
            } else {
                waitingReads.add(recordAppended);
            }
        }
        return recordAppended
                .completeOnTimeout(null, Duration.ofMillis(maxWaitMillis).toMillis(), TimeUnit.MILLISECONDS)
                .thenCompose(ignored -> isRejected(request)
                        ? rejected()
                        : CompletableFuture.completedFuture(pageFrom(request, fromOffset)));
    }

    private ServerResponse pageFrom(ServerRequest request, int fromOffset) {
        List<StoredRecord> records = records(request);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(records.size())
                .putLong(0)
                .array());
        for (StoredRecord record : records.subList(Math.min(fromOffset, records.size()), records.size())) {
            body.writeBytes(ByteBuffer.allocate(Integer.BYTES)
                    .putInt(record.encoded().length)
                    .array());
            body.writeBytes(record.encoded());
        }
        return new ServerResponse(OK, OCTET_STREAM, body.toByteArray(), Map.of());
    }

    private static CompletableFuture<ServerResponse> rejected() {
        return CompletableFuture.completedFuture(ServerResponse.text(UNAVAILABLE, "down"));
    }
}
