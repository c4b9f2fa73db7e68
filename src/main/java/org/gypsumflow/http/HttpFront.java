package org.gypsumflow.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Refusal;
import org.gypsumflow.model.RefusalException;

/** Serves HTTP with Grizzly: finds the route, bounds the body, and turns futures into answers. */
public final class HttpFront implements AutoCloseable {
    /** Largest accepted body, in bytes. */
    public static final int MOST_BODY_BYTES = 4 * 1024 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STOP_SECONDS = 2;

    /**
     * What a route must know of a request.
     *
     * @param path path after the route's prefix, without a slash at its start
     * @param headers reads a header, null if it is missing
     * @param parameters reads a query parameter, null if it is missing
     * @param body content, empty for a query
     */
    public record Call(String path, UnaryOperator<String> headers, UnaryOperator<String> parameters, byte[] body) {}

    /**
     * What a route answers.
     *
     * @param status HTTP status
     * @param contentType type of the content
     * @param body content
     */
    public record Reply(int status, String contentType, byte[] body) {
        /**
         * Creates an answer in JSON.
         *
         * @param status HTTP status
         * @param content object to write
         * @return the answer
         */
        public static Reply json(int status, Object content) {
            try {
                return new Reply(status, "application/json", JSON.writeValueAsBytes(content));
            } catch (JsonProcessingException impossible) {
                throw new UncheckedIOException(impossible);
            }
        }

        /**
         * Creates an answer in plain text.
         *
         * @param status HTTP status
         * @param content text
         * @return the answer
         */
        public static Reply text(int status, String content) {
            return new Reply(status, "text/plain; charset=utf-8", content.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Answers calls to one path. */
    @FunctionalInterface
    public interface Route {
        /**
         * Answers a call.
         *
         * @param call the call
         * @return the answer, or a {@link RefusalException}
         */
        CompletableFuture<Reply> answer(Call call);
    }

    private record Key(String method, String path) {}

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final Map<Key, Route> routes = new ConcurrentHashMap<>();
    private final EventLog events;

    private HttpFront(String host, int port, int threads, EventLog events) {
        this.events = events;
        this.listener = new NetworkListener("http", host, port);
        listener.getTransport()
                .setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("http")
                        .setCorePoolSize(threads)
                        .setMaxPoolSize(threads));
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Dispatch(), "/");
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param host IP number to listen on
     * @param port TCP port, 0 for a free one
     * @param threads number of threads that read requests
     * @param events receives numbered events
     * @return the server
     */
    public static HttpFront create(String host, int port, int threads, EventLog events) {
        return new HttpFront(host, port, threads, events);
    }

    /**
     * Adds a route for a command.
     *
     * @param path path after {@code /v1/commands/}
     * @param route answers the calls
     * @return this server
     */
    public HttpFront command(String path, Route route) {
        routes.put(new Key("POST", "/v1/commands/" + path), route);
        return this;
    }

    /**
     * Adds a route for a query; what follows in the path is handed to it.
     *
     * @param path path after {@code /v1/queries/}
     * @param route answers the calls
     * @return this server
     */
    public HttpFront query(String path, Route route) {
        routes.put(new Key("GET", "/v1/queries/" + path), route);
        return this;
    }

    /**
     * Adds a route outside the versioned interface, such as a health check.
     *
     * @param path path from the root
     * @param route answers the calls
     * @return this server
     */
    public HttpFront plain(String path, Route route) {
        routes.put(new Key("GET", path), route);
        return this;
    }

    /**
     * Adds a route of an interface that is not this system's own.
     *
     * @param method HTTP method
     * @param path path from the root; what follows is handed to the route
     * @param route answers the calls
     * @return this server
     */
    public HttpFront foreign(String method, String path, Route route) {
        routes.put(new Key(method, path), route);
        return this;
    }

    /**
     * Listens from now on.
     *
     * @return the port
     * @throws UncheckedIOException if the port is taken
     */
    public int start() {
        try {
            server.start();
            return listener.getPort();
        } catch (IOException taken) {
            throw new UncheckedIOException(taken);
        }
    }

    /** Answers the calls under way and stops listening. */
    @Override
    public void close() {
        server.shutdown(STOP_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Turns a refusal into an answer.
     *
     * @param refusal the refusal
     * @return the answer
     */
    static Reply refused(Refusal refusal) {
        return Reply.json(
                StatusCodes.of(refusal.code()),
                Map.of(
                        "verdict", refusal.verdict().name(),
                        "code", refusal.code().name(),
                        "message", refusal.message()));
    }

    private final class Dispatch extends HttpHandler {
        @Override
        public void service(Request request, Response response) throws IOException {
            Optional<Refusal> refusal = refusalOf(request);
            if (refusal.isPresent()) {
                write(response, refused(refusal.get()));
                return;
            }
            byte[] body = request.getInputStream().readNBytes(MOST_BODY_BYTES + 1);
            if (body.length > MOST_BODY_BYTES) {
                write(response, refused(bodyTooLarge()));
                return;
            }
            Optional<Map.Entry<Key, Route>> route =
                    find(request.getMethod().getMethodString(), request.getRequestURI());
            if (route.isEmpty()) {
                String message = request.getMethod() + " " + request.getRequestURI() + " does not exist";
                write(response, refused(Refusal.notRun(ErrorCode.NOT_FOUND, message)));
                return;
            }
            String path = request.getRequestURI()
                    .substring(route.get().getKey().path().length());
            Call call = new Call(
                    path.startsWith("/") ? path.substring(1) : path, request::getHeader, request::getParameter, body);
            response.suspend();
            answer(route.get().getValue(), call, response);
        }

        private Optional<Refusal> refusalOf(Request request) {
            if (request.getContentLengthLong() > MOST_BODY_BYTES) {
                return Optional.of(bodyTooLarge());
            }
            boolean known = Method.GET.equals(request.getMethod()) || Method.POST.equals(request.getMethod());
            return known
                    ? Optional.empty()
                    : Optional.of(Refusal.notRun(
                            ErrorCode.INVALID_REQUEST, "method " + request.getMethod() + " is not supported"));
        }

        private Refusal bodyTooLarge() {
            return Refusal.notRun(ErrorCode.BODY_TOO_LARGE, "the body is larger than " + MOST_BODY_BYTES + " bytes");
        }
    }

    private Optional<Map.Entry<Key, Route>> find(String method, String path) {
        return routes.entrySet().stream()
                .filter(route -> route.getKey().method().equals(method))
                .filter(route -> path.equals(route.getKey().path())
                        || path.startsWith(route.getKey().path() + "/"))
                .findFirst();
    }

    private void answer(Route route, Call call, Response response) {
        CompletableFuture<Reply> reply;
        try {
            reply = route.answer(call);
        } catch (RuntimeException failure) {
            reply = CompletableFuture.failedFuture(failure);
        }
        reply.whenCompleteAsync(
                (content, failure) -> {
                    write(response, failure == null ? content : refused(refusalOf(failure)));
                    response.resume();
                },
                listener.getTransport().getWorkerThreadPool());
    }

    private Refusal refusalOf(Throwable failure) {
        Refusal refusal = RefusalException.refusalOf(failure);
        if (refusal.code() == ErrorCode.INTERNAL) {
            events.write(Event.INTERNAL_ERROR, "an HTTP call", failure);
        }
        return refusal;
    }

    private void write(Response response, Reply reply) {
        try {
            response.setStatus(reply.status());
            response.setContentType(reply.contentType());
            response.setContentLength(reply.body().length);
            response.getOutputStream().write(reply.body());
        } catch (IOException callerIsGone) {
            response.setStatus(StatusCodes.of(ErrorCode.INTERNAL));
        }
    }
}
