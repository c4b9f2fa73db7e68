package org.gypsumflow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpClient.ClientResponse;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.model.Check;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.ValidationException;

/** Client of the compacted topics in the platform's store over HTTP; every topic has its records in partition 0. */
public final class HttpCompactedLog implements CompactedLog {
    private static final int OK = 200;
    private static final int GONE = 410;

    /** Prefix of the names of compacted topics, in which the store keeps the latest record of each key. */
    private static final String COMPACTED_PREFIX = "keyed.";
    /** Length of the end offset and the first retained offset, which precede the records in a response. */
    private static final int READ_HEADER_BYTES = 16;

    private final HttpClient httpClient;
    private final String baseUrl;
    private final EventLog events;

    private HttpCompactedLog(HttpClient httpClient, String address, EventLog events) {
        this.httpClient = httpClient;
        this.baseUrl = "http://" + address;
        this.events = events;
    }

    /**
     * Creates a client of the store.
     *
     * @param httpClient sends the requests; it is not closed by this client
     * @param address address of the store, as {@code host:port}
     * @param events receives an event for each record that cannot be parsed and is skipped
     * @return the client
     */
    public static HttpCompactedLog create(HttpClient httpClient, String address, EventLog events) {
        return new HttpCompactedLog(httpClient, address, events);
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
                        throw new ExpiredException(firstRetainedOffset(response.body()));
                    }
                    requireOk(response);
                    return parsePage(topic, response.body(), fromOffset);
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
                    JsonNode items = Json.arrayOrEmpty(page, "items");
                    items.forEach(item -> addItem(topic, item, found));
                    long minEndOffset = Math.min(endOffset, Json.requiredInteger(page, "end", 0, Long.MAX_VALUE));
                    if (Json.booleanOrFalse(page, "more")) {
                        String lastKey = Json.requiredString(items.path(items.size() - 1), "key");
                        Check.isTrue(!lastKey.equals(afterKey), "items", "end with the key that precedes them");
                        return readLatestAfter(topic, lastKey, found, minEndOffset);
                    }
                    return CompletableFuture.completedFuture(new Page(found, minEndOffset));
                });
    }

    private void addItem(String topic, JsonNode item, List<KeyedRecord> found) {
        try {
            found.add(new KeyedRecord(
                    Json.requiredString(item, "key"),
                    decodeBase64(Json.requiredString(item, "value")),
                    Json.requiredInteger(item, "offset", 0, Long.MAX_VALUE)));
        } catch (ValidationException unreadable) {
            events.write(Event.MESSAGE_UNREADABLE, "a record of topic " + topic, unreadable.getMessage());
        }
    }

    private static byte[] decodeBase64(String text) {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException malformed) {
            throw ValidationException.of("value", "is not base64: " + malformed.getMessage());
        }
    }

    /** Returns the offset that a response names, for the message only; -1 if it cannot be parsed. */
    private static long firstRetainedOffset(byte[] body) {
        try {
            return Json.requiredInteger(Json.parseObject(body), "first", 0, Long.MAX_VALUE);
        } catch (ValidationException unreadable) {
            return -1;
        }
    }

    /**
     * Parses a page: its header, then records, each after its length in 4 bytes; a record begins with its key's length.
     *
     * <p>A record without a whole key is logged and skipped. A page that breaks off within a record ends before it.
     *
     * @throws ValidationException if the header is incomplete, or the page breaks off within its first record
     */
    private Page parsePage(String topic, byte[] body, long fromOffset) {
        Check.isTrue(body.length >= READ_HEADER_BYTES, "body", "is shorter than the header of a page");
        ByteBuffer buffer = ByteBuffer.wrap(body);
        buffer.getLong();
        long firstOffset = Math.max(fromOffset, buffer.getLong());
        long offset = firstOffset;
        List<KeyedRecord> records = new ArrayList<>();
        while (buffer.hasRemaining()) {
            int length = buffer.remaining() < Integer.BYTES ? -1 : buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                Check.isTrue(offset > firstOffset, "body", "breaks off within the record at offset " + offset);
                break;
            }
            byte[] record = new byte[length];
            buffer.get(record);
            addRecord(topic, record, offset, records);
            offset++;
        }
        return new Page(records, offset);
    }

    private void addRecord(String topic, byte[] record, long offset, List<KeyedRecord> records) {
        int keyLength = record.length == 0 ? 0 : record[0] & 0xFF;
        if (record.length <= keyLength) {
            events.write(
                    Event.MESSAGE_UNREADABLE,
                    "record " + offset + " of topic " + topic,
                    "its " + record.length + " bytes do not hold a whole key");
            return;
        }
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        records.add(new KeyedRecord(key, Arrays.copyOfRange(record, 1 + keyLength, record.length), offset));
    }

    private static void requireOk(ClientResponse response) {
        Check.isTrue(response.status() == OK, "store", "responded with HTTP status " + response.status());
    }
}
