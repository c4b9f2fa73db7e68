package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.model.Check;

/** Client of the compacted topics in the platform's store over HTTP; every topic has its records in partition 0. */
public final class HttpCompactedLog implements CompactedLog {
    private static final int OK = 200;
    private static final int GONE = 410;
    /** Timeout of a request, on top of the wait that it asks the store for; the store usually takes 4 ms. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1500);

    /** Prefix of the names of compacted topics, in which the store keeps the latest record of each key. */
    private static final String COMPACTED_PREFIX = "keyed.";
    /** Length of the end offset and the first retained offset, which precede the records in a response. */
    private static final int READ_HEADER_BYTES = 16;

    private final HttpClient httpClient;
    private final String baseUrl;

    private HttpCompactedLog(HttpClient httpClient, String address) {
        this.httpClient = httpClient;
        this.baseUrl = "http://" + address;
    }

    /**
     * Creates a client of the store.
     *
     * @param httpClient sends the requests; it is not closed by this client
     * @param address address of the store, as {@code host:port}
     * @return the client
     */
    public static HttpCompactedLog create(HttpClient httpClient, String address) {
        return new HttpCompactedLog(httpClient, address);
    }

    @Override
    public CompletableFuture<Page> readLatestByKey(String topic) {
        return readLatestAfter(topic, "", new ArrayList<>(), Long.MAX_VALUE);
    }

    @Override
    public CompletableFuture<Page> read(String topic, long fromOffset, Duration maxWait) {
        String query = "/log-read?part=0&topic=" + COMPACTED_PREFIX + topic + "&from=" + fromOffset + "&waitMs="
                + maxWait.toMillis();
        return httpClient
                .get(baseUrl + query, Map.of(), RESPONSE_TIMEOUT.plus(maxWait))
                .thenApply(response -> {
                    if (response.status() == GONE) {
                        throw new ExpiredException(
                                Json.parseObject(response.body()).path("first").asLong());
                    }
                    requireOk(response);
                    return parsePage(response.body(), fromOffset);
                });
    }

    @Override
    public CompletableFuture<Void> put(String topic, String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(Integer.BYTES + 1 + name.length + value.length);
        record.putInt(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value);
        return httpClient
                .post(
                        baseUrl + "/log-append?part=0&topic=" + COMPACTED_PREFIX + topic,
                        Map.of(),
                        record.array(),
                        RESPONSE_TIMEOUT)
                .thenAccept(HttpCompactedLog::requireOk);
    }

    /**
     * Reads the pages after a key and adds their records to those found.
     *
     * <p>The pages are not a snapshot of one moment. The result ends at the smallest end offset of them, usually that
     * of the first, so that a reader who continues from there sees some records again rather than missing one.
     */
    private CompletableFuture<Page> readLatestAfter(
            String topic, String afterKey, List<KeyedRecord> found, long endOffset) {
        String keyParameter =
                afterKey.isEmpty() ? "" : "&dependsOn=" + URLEncoder.encode(afterKey, StandardCharsets.UTF_8);
        return httpClient
                .get(
                        baseUrl + "/log-newest?part=0&topic=" + COMPACTED_PREFIX + topic + keyParameter,
                        Map.of(),
                        RESPONSE_TIMEOUT)
                .thenCompose(response -> {
                    requireOk(response);
                    JsonNode page = Json.parseObject(response.body());
                    for (JsonNode item : page.path("items")) {
                        byte[] value =
                                Base64.getDecoder().decode(item.path("value").asText());
                        found.add(new KeyedRecord(
                                item.path("key").asText(),
                                value,
                                item.path("offset").asLong()));
                    }
                    long minEndOffset = Math.min(endOffset, page.path("end").asLong());
                    if (page.path("more").asBoolean() && !found.isEmpty()) {
                        return readLatestAfter(
                                topic, found.get(found.size() - 1).key(), found, minEndOffset);
                    }
                    return CompletableFuture.completedFuture(new Page(found, minEndOffset));
                });
    }

    /**
     * Parses a page: its header, then records, each after its length in 4 bytes; a record begins with its key's length.
     */
    static Page parsePage(byte[] body, long fromOffset) {
        Check.isTrue(body.length >= READ_HEADER_BYTES, "body", "is shorter than the header of a page");
        ByteBuffer buffer = ByteBuffer.wrap(body);
        buffer.getLong();
        long offset = Math.max(fromOffset, buffer.getLong());
        List<KeyedRecord> records = new ArrayList<>();
        while (buffer.remaining() >= Integer.BYTES) {
            byte[] recordBytes = new byte[Math.min(buffer.getInt(), buffer.remaining())];
            buffer.get(recordBytes);
            records.add(parseRecord(recordBytes, offset));
            offset++;
        }
        return new Page(records, offset);
    }

    private static KeyedRecord parseRecord(byte[] record, long offset) {
        Check.isTrue(record.length > 0, "record", "is empty");
        int keyLength = Math.min(record[0] & 0xFF, record.length - 1);
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        ByteArrayOutputStream value = new ByteArrayOutputStream();
        value.write(record, 1 + keyLength, record.length - 1 - keyLength);
        return new KeyedRecord(key, value.toByteArray(), offset);
    }

    private static void requireOk(ClientResponse response) {
        Check.isTrue(response.status() == OK, "store", "responded with HTTP status " + response.status());
    }
}
