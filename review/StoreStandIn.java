package review;

import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for the platform's store: topics of one partition, appends, reads with a wait, and the newest record of each key. */
final class StoreStandIn {
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    final int port;

    StoreStandIn() throws IOException {
        port = Http.serve(0, exchange -> {
            switch (exchange.getRequestURI().getPath()) {
                case "/log-append" -> append(exchange);
                case "/log-read" -> read(exchange);
                case "/log-newest" -> newest(exchange);
                default -> Http.respond(exchange, 404, "{}");
            }
        });
    }

    /** Writes a record as the operator does. The record can be read when this returns, which is its acknowledgement. */
    synchronized void put(String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = ByteBuffer.allocate(1 + name.length + content.length)
                .put((byte) name.length)
                .put(name)
                .put(content)
                .array();
        topic("keyed.op").add(record);
        notifyAll();
    }

    private List<byte[]> topic(String name) {
        return topics.computeIfAbsent(name, created -> new ArrayList<>());
    }

    private void append(HttpExchange exchange) throws IOException {
        ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
        int offset;
        int end;
        synchronized (this) {
            List<byte[]> records = topic(query(exchange).get("topic"));
            offset = records.size();
            while (body.remaining() > Integer.BYTES) {
                byte[] record = new byte[body.getInt()];
                body.get(record);
                records.add(record);
            }
            end = records.size();
            notifyAll();
        }
        Http.respond(exchange, 200, "{\"offset\":" + offset + ",\"end\":" + end + "}");
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        int from = Integer.parseInt(query.get("from"));
        long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        synchronized (this) {
            List<byte[]> records = topic(query.get("topic"));
            long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
            while (records.size() <= from && leftMillis > 0) {
                try {
                    wait(leftMillis);
                } catch (InterruptedException interrupted) {
                    return;
                }
                leftMillis = (deadline - System.nanoTime()) / 1_000_000;
            }
            body.writeBytes(ByteBuffer.allocate(2 * Long.BYTES).putLong(records.size()).putLong(0).array());
            for (byte[] record : records.subList(Math.min(from, records.size()), records.size())) {
                body.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).array());
                body.writeBytes(record);
            }
        }
        Http.respond(exchange, 200, body.toByteArray(), "application/octet-stream");
    }

    private void newest(HttpExchange exchange) throws IOException {
        Map<String, String> items = new LinkedHashMap<>();
        int end;
        synchronized (this) {
            List<byte[]> records = topic(query(exchange).get("topic"));
            end = records.size();
            for (int offset = 0; offset < end; offset++) {
                byte[] record = records.get(offset);
                String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
                items.remove(key);
                if (record.length > 1 + record[0]) {
                    byte[] value = java.util.Arrays.copyOfRange(record, 1 + record[0], record.length);
                    items.put(
                            key,
                            "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                                    + "\",\"offset\":" + offset + "}");
                }
            }
        }
        Http.respond(
                exchange, 200, "{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + end + "}");
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String part : text == null ? new String[0] : text.split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
