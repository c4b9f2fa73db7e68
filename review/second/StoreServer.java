package second;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: topics of keyed records with one partition each, all kept in memory. */
public final class StoreServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Entry(String key, byte[] value) {
        private byte[] encoded() {
            byte[] name = key.getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.allocate(Integer.BYTES + 1 + name.length + value.length)
                    .putInt(1 + name.length + value.length)
                    .put((byte) name.length)
                    .put(name)
                    .put(value)
                    .array();
        }
    }

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final HttpServer server;

    StoreServer(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 50);
        server.setExecutor(Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(action, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/log-append", this::append);
        server.createContext("/log-newest", this::newest);
        server.createContext("/log-read", this::read);
        server.start();
    }

    /** Writes a record as the operator does; an empty value drops the key. */
    synchronized void put(String topic, String key, String value) {
        add(topic, new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    private synchronized void add(String topic, Entry entry) {
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(entry);
        notifyAll();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : exchange.getRequestURI().getQuery().split("&")) {
            String[] parts = pair.split("=", 2);
            parameters.put(parts[0], parts[1]);
        }
        return parameters;
    }

    private static void respond(HttpExchange exchange, byte[] body) throws IOException {
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private void append(HttpExchange exchange) throws IOException {
        String topic = query(exchange).get("topic");
        ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
        int end;
        synchronized (this) {
            while (body.hasRemaining()) {
                byte[] record = new byte[body.getInt()];
                body.get(record);
                String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(record, 1 + record[0], record.length);
                add(topic, new Entry(key, value));
            }
            end = topics.get(topic).size();
        }
        respond(exchange, JSON.writeValueAsBytes(Map.of("offset", end - 1, "end", end)));
    }

    private void newest(HttpExchange exchange) throws IOException {
        Map<String, Object> newest = new LinkedHashMap<>();
        int end;
        synchronized (this) {
            List<Entry> entries = topics.getOrDefault(query(exchange).get("topic"), List.of());
            end = entries.size();
            for (int offset = 0; offset < end; offset++) {
                Entry entry = entries.get(offset);
                newest.remove(entry.key);
                if (entry.value.length > 0) {
                    String value = Base64.getEncoder().encodeToString(entry.value);
                    newest.put(entry.key, Map.of("key", entry.key, "value", value, "offset", offset));
                }
            }
        }
        respond(exchange, JSON.writeValueAsBytes(Map.of("items", newest.values(), "more", false, "end", end)));
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> parameters = query(exchange);
        int from = Integer.parseInt(parameters.get("from"));
        long answerByNanos = System.nanoTime() + Long.parseLong(parameters.getOrDefault("waitMs", "0")) * 1_000_000;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        synchronized (this) {
            while (topics.getOrDefault(parameters.get("topic"), List.of()).size() <= from
                    && System.nanoTime() < answerByNanos) {
                try {
                    wait(Math.max(1, (answerByNanos - System.nanoTime()) / 1_000_000));
                } catch (InterruptedException interrupted) {
                    throw new IOException(interrupted);
                }
            }
            List<Entry> entries = topics.getOrDefault(parameters.get("topic"), List.of());
            body.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                    .putLong(entries.size())
                    .putLong(0)
                    .array());
            entries.subList(Math.min(from, entries.size()), entries.size())
                    .forEach(entry -> body.writeBytes(entry.encoded()));
        }
        respond(exchange, body.toByteArray());
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
