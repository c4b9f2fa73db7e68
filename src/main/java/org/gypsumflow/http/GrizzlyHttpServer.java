package org.gypsumflow.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.Header;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;

/** Serves HTTP with Grizzly: finds the route, bounds the body, and turns futures into answers. */
public final class GrizzlyHttpServer implements AutoCloseable {
    /** Largest accepted body, in bytes. */
    public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STOP_SECONDS = 2;

    /**
     * What a route must know of a request.
     *
     * @param method HTTP method
     * @param path path after the route's prefix, without a slash at its start
     * @param headers reads a header, null if it is missing
     * @param parameters reads a query parameter, null if it is missing
     * @param body content, empty for a query
     * @param disconnected completes if the caller's connection ends before the answer
     */
    public record ServerRequest(
            String method,
            String path,
            UnaryOperator<String> headers,
            UnaryOperator<String> parameters,
            byte[] body,
            CompletableFuture<Void> disconnected) {}

    /**
     * What a route answers.
     *
     * @param status HTTP status
     * @param contentType type of the content
     * @param body content
     * @param headers further headers
     */
    public record ServerResponse(int status, String contentType, byte[] body, Map<String, String> headers) {
        /**
         * Creates an answer in JSON.
         *
         * @param status HTTP status
         * @param content object to write
         * @return the answer
         */
        public static ServerResponse json(int status, Object content) {
            try {
                return new ServerResponse(status, "application/json", JSON.writeValueAsBytes(content), Map.of());
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
        public static ServerResponse text(int status, String content) {
            return new ServerResponse(
                    status, "text/plain; charset=utf-8", content.getBytes(StandardCharsets.UTF_8), Map.of());
        }

        /**
         * Replaces the content.
         *
         * @param content other content
         * @return an answer with that content
         */
        public ServerResponse withBody(byte[] content) {
            return new ServerResponse(status, contentType, content, headers);
        }

        /**
         * Adds a header.
         *
         * @param name name of the header
         * @param value its value
         * @return an answer with the header
         */
        public ServerResponse withHeader(String name, String value) {
            Map<String, String> more = new TreeMap<>(headers);
            more.put(name, value);
            return new ServerResponse(status, contentType, body, Map.copyOf(more));
        }
    }

    /** Answers calls to one path. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Answers a call.
         *
         * @param call the call
         * @return the answer, or a {@link RequestException}
         */
        CompletableFuture<ServerResponse> handle(ServerRequest call);
    }

    private record Key(String method, String path) {}

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final Map<Key, RequestHandler> routes = new ConcurrentHashMap<>();
    private final Map<Integer, RequestHandler> routesOfPorts = new ConcurrentHashMap<>();
    private final EventLog events;
    private volatile RequestHandler otherwise;
    private volatile boolean sendingAway;

    private GrizzlyHttpServer(String host, int port, int threads, EventLog events) {
        this.events = events;
        this.listener = new NetworkListener("http", host, port);
        listener.getTransport().setSelectorRunnersCount(threads);
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.getFileCache().setEnabled(false);
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
    public static GrizzlyHttpServer create(String host, int port, int threads, EventLog events) {
        return new GrizzlyHttpServer(host, port, threads, events);
    }

    /**
     * Adds a route for a command.
     *
     * @param path path after {@code /v1/commands/}
     * @param route answers the calls
     * @return this server
     */
    public GrizzlyHttpServer addCommand(String path, RequestHandler route) {
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
    public GrizzlyHttpServer addQuery(String path, RequestHandler route) {
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
    public GrizzlyHttpServer addGet(String path, RequestHandler route) {
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
    public GrizzlyHttpServer addHandler(String method, String path, RequestHandler route) {
        routes.put(new Key(method, path), route);
        return this;
    }

    /**
     * Sets what answers a call to a path without a route; its call carries the whole path.
     *
     * @param route answers the calls
     * @return this server
     */
    public GrizzlyHttpServer setDefaultHandler(RequestHandler route) {
        this.otherwise = route;
        return this;
    }

    /**
     * Returns the transport, so that a client can share its thread.
     *
     * @return Grizzly's transport
     */
    TCPNIOTransport transport() {
        return listener.getTransport();
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

    /**
     * Returns the port on which it listens.
     *
     * @return the TCP port
     */
    public int port() {
        return listener.getPort();
    }

    /**
     * Listens at a further address, on the same thread and with the same routes.
     *
     * @param address where to listen
     * @throws UncheckedIOException if the address is taken
     */
    public void bind(SocketAddress address) {
        try {
            listener.getTransport().bind(address);
        } catch (IOException taken) {
            throw new UncheckedIOException(taken);
        }
    }

    /**
     * Listens at a further address, on the same thread, where one route answers all calls.
     *
     * @param address where to listen; its port must not be free to choose
     * @param route answers the calls
     * @throws UncheckedIOException if the address is taken
     */
    public void bind(InetSocketAddress address, RequestHandler route) {
        routesOfPorts.put(address.getPort(), route);
        bind(address);
    }

    /**
     * Asks callers, with each answer from now on, to close their connection and come back by another.
     */
    public void closeConnectionsAfterResponse() {
        sendingAway = true;
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
    static ServerResponse errorResponse(RequestError refusal) {
        return ServerResponse.json(
                StatusCodes.of(refusal.code()),
                Map.of(
                        "verdict", refusal.verdict().name(),
                        "code", refusal.code().name(),
                        "message", refusal.message()));
    }

    private final class Dispatch extends HttpHandler {
        @Override
        public void service(Request request, Response response) {
            if (request.getContentLengthLong() > MAX_BODY_BYTES) {
                write(response, errorResponse(bodyTooLarge()));
                return;
            }
            NIOInputStream input = request.getNIOInputStream();
            response.suspend();
            input.notifyAvailable(new BodyReader(input, request, response));
        }
    }

    /** Collects a body as it comes, so that a slow caller holds no thread. */
    private final class BodyReader implements ReadHandler {
        private final NIOInputStream input;
        private final Request request;
        private final Response response;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        private BodyReader(NIOInputStream input, Request request, Response response) {
            this.input = input;
            this.request = request;
            this.response = response;
        }

        @Override
        public void onDataAvailable() throws IOException {
            collect();
            input.notifyAvailable(this);
        }

        @Override
        public void onAllDataRead() throws IOException {
            collect();
            if (body.size() > MAX_BODY_BYTES) {
                finish(response, errorResponse(bodyTooLarge()));
                return;
            }
            dispatch(request, response, body.toByteArray());
        }

        @Override
        public void onError(Throwable failure) {
            response.resume();
        }

        private void collect() throws IOException {
            int available = input.available();
            if (available > 0) {
                body.write(input.readNBytes(available));
            }
        }
    }

    private static RequestError bodyTooLarge() {
        return RequestError.notRun(ErrorCode.BODY_TOO_LARGE, "the body is larger than " + MAX_BODY_BYTES + " bytes");
    }

    private void dispatch(Request request, Response response, byte[] body) {
        String method = request.getMethod().getMethodString();
        Optional<Map.Entry<Key, RequestHandler>> route = find(method, request.getRequestURI());
        if (route.isEmpty() && otherwise == null && !routesOfPorts.containsKey(request.getLocalPort())) {
            boolean known = Method.GET.equals(request.getMethod()) || Method.POST.equals(request.getMethod());
            String message = method + " " + request.getRequestURI() + " does not exist";
            finish(
                    response,
                    errorResponse(
                            known
                                    ? RequestError.notRun(ErrorCode.NOT_FOUND, message)
                                    : RequestError.notRun(
                                            ErrorCode.INVALID_REQUEST, "method " + method + " is not supported")));
            return;
        }
        int prefix = route.map(found -> found.getKey().path().length()).orElse(0);
        String path = request.getRequestURI().substring(prefix);
        boolean stripped = route.isPresent() && path.startsWith("/");
        CompletableFuture<Void> abandoned = new CompletableFuture<>();
        CloseListener<Closeable, CloseType> closed = (connection, type) -> abandoned.complete(null);
        Connection<?> connection = request.getContext().getConnection();
        connection.addCloseListener(closed);
        ServerRequest call = new ServerRequest(
                method,
                stripped ? path.substring(1) : path,
                request::getHeader,
                request::getParameter,
                body,
                abandoned);
        RequestHandler matching = route.map(Map.Entry::getValue).orElse(otherwise);
        answer(routesOfPorts.getOrDefault(request.getLocalPort(), matching), call)
                .whenComplete((reply, failure) -> {
                    connection.removeCloseListener(closed);
                    finish(response, failure == null ? reply : errorResponse(refusalOf(failure)));
                });
    }

    private Optional<Map.Entry<Key, RequestHandler>> find(String method, String path) {
        return routes.entrySet().stream()
                .filter(route -> route.getKey().method().equals(method))
                .filter(route -> path.equals(route.getKey().path())
                        || path.startsWith(route.getKey().path() + "/"))
                .findFirst();
    }

    private static CompletableFuture<ServerResponse> answer(RequestHandler route, ServerRequest call) {
        try {
            return route.handle(call);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void finish(Response response, ServerResponse reply) {
        write(response, reply);
        response.resume();
    }

    private RequestError refusalOf(Throwable failure) {
        RequestError refusal = RequestException.errorOf(failure);
        if (refusal.code() == ErrorCode.INTERNAL) {
            events.write(Event.INTERNAL_ERROR, "an HTTP call", failure);
        }
        return refusal;
    }

    private void write(Response response, ServerResponse reply) {
        try {
            response.setStatus(reply.status());
            reply.headers().forEach(response::setHeader);
            if (sendingAway) {
                response.setHeader(Header.Connection, "close");
            }
            response.setContentType(reply.contentType());
            response.setContentLength(reply.body().length);
            response.getOutputStream().write(reply.body());
        } catch (IOException callerIsGone) {
            response.setStatus(StatusCodes.of(ErrorCode.INTERNAL));
        }
    }
}
