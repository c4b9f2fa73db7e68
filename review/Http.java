package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** A small HTTP server on a loopback address, with a thread for each request. */
final class Http {
    interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private Http() {}

    static int serve(int port, Handler handler) throws IOException {
        return start(port, handler).getAddress().getPort();
    }

    static HttpServer start(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 0);
        server.setExecutor(Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try (exchange) {
                handler.handle(exchange);
            } catch (IOException | RuntimeException failure) {
                // The peer has closed its connection, or sent what cannot be read: the exchange is closed.
            }
        });
        server.start();
        return server;
    }

    static void respond(HttpExchange exchange, int status, String json) throws IOException {
        respond(exchange, status, json.getBytes(StandardCharsets.UTF_8), "application/json");
    }

    static void respond(HttpExchange exchange, int status, byte[] body, String type) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }
}
