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

/** Reaches the keyed topics of the platform's store over HTTP; every topic has its records in partition 0. */
public final class HttpCompactedLog implements CompactedLog {
    private static final int OK = 200;
    private static final int GONE = 410;
    /** Longest wait for an answer beyond the wait that the call asks for; the store usually takes 4 ms. */
    private static final Duration ANSWER_WITHIN = Duration.ofMillis(1500);

    /** The store keeps the newest record of each key in topics whose names begin so. */
    private static final String KEYED = "keyed.";
    /** End and first retained offset, which stand before the records. */
    private static final int READ_HEADER_BYTES = 16;

    private final HttpClient caller;
    private final String baseUrl;

    private HttpCompactedLog(HttpClient caller, String address) {
        this.caller = caller;
        this.baseUrl = "http://" + address;
    }

    /**
     * Creates the client.
     *
     * @param caller sends the calls
     * @param address where the store listens, as {@code host:port}
     * @return the client
     */
    public static HttpCompactedLog create(HttpClient caller, String address) {
        return new HttpCompactedLog(caller, address);
    }

    @Override
    public CompletableFuture<Page> readLatestByKey(String topic) {
        return newestAfter(topic, "", new ArrayList<>(), Long.MAX_VALUE);
    }

    @Override
    public CompletableFuture<Page> read(String topic, long from, Duration wait) {
        String query = "/log-read?part=0&topic=" + KEYED + topic + "&from=" + from + "&waitMs=" + wait.toMillis();
        return caller.get(baseUrl + query, Map.of(), ANSWER_WITHIN.plus(wait)).thenApply(answer -> {
            if (answer.status() == GONE) {
                throw new ExpiredException(
                        Json.parseObject(answer.body()).path("first").asLong());
            }
            requireOk(answer);
            return parsePage(answer.body(), from);
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
        return caller.post(
                        baseUrl + "/log-append?part=0&topic=" + KEYED + topic, Map.of(), record.array(), ANSWER_WITHIN)
                .thenAccept(HttpCompactedLog::requireOk);
    }

    /** Pages are not one moment: reading on from the first page's end repeats records rather than missing one. */
    private CompletableFuture<Page> newestAfter(String topic, String after, List<KeyedRecord> found, long end) {
        String more = after.isEmpty() ? "" : "&dependsOn=" + URLEncoder.encode(after, StandardCharsets.UTF_8);
        return caller.get(baseUrl + "/log-newest?part=0&topic=" + KEYED + topic + more, Map.of(), ANSWER_WITHIN)
                .thenCompose(answer -> {
                    requireOk(answer);
                    JsonNode page = Json.parseObject(answer.body());
                    for (JsonNode item : page.path("items")) {
                        byte[] value =
                                Base64.getDecoder().decode(item.path("value").asText());
                        found.add(new KeyedRecord(
                                item.path("key").asText(),
                                value,
                                item.path("offset").asLong()));
                    }
                    long first = Math.min(end, page.path("end").asLong());
                    if (page.path("more").asBoolean() && !found.isEmpty()) {
                        return newestAfter(topic, found.get(found.size() - 1).key(), found, first);
                    }
                    return CompletableFuture.completedFuture(new Page(found, first));
                });
    }

    static Page parsePage(byte[] body, long from) {
        Check.isTrue(body.length >= READ_HEADER_BYTES, "body", "is shorter than its header");
        ByteBuffer buffer = ByteBuffer.wrap(body);
        buffer.getLong();
        long offset = Math.max(from, buffer.getLong());
        List<KeyedRecord> records = new ArrayList<>();
        while (buffer.remaining() >= Integer.BYTES) {
            byte[] record = new byte[Math.min(buffer.getInt(), buffer.remaining())];
            buffer.get(record);
            records.add(record(record, offset));
            offset++;
        }
        return new Page(records, offset);
    }

    private static KeyedRecord record(byte[] record, long offset) {
        Check.isTrue(record.length > 0, "record", "is empty");
        int length = Math.min(record[0] & 0xFF, record.length - 1);
        String key = new String(record, 1, length, StandardCharsets.UTF_8);
        ByteArrayOutputStream value = new ByteArrayOutputStream();
        value.write(record, 1 + length, record.length - 1 - length);
        return new KeyedRecord(key, value.toByteArray(), offset);
    }

    private static void requireOk(ClientResponse answer) {
        Check.isTrue(answer.status() == OK, "the store", "answered with status " + answer.status());
    }
}
