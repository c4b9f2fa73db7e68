package org.gypsumflow.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
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
import org.glassfish.grizzly.asyncqueue.AsyncQueueWriter;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.HttpServerFilter;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.Header;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.SelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.gypsumflow.model.ErrorCode;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.RequestError;
import org.gypsumflow.model.RequestException;

/**
 * HTTP server on Grizzly that dispatches requests to handlers by method and path prefix, limits the size of bodies, and
 * writes the responses of asynchronous handlers without waiting for the client to read them.
 */
public final class GrizzlyHttpServer implements AutoCloseable {
    /** Maximum size of a request body, in bytes. */
    public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Size of the responses to one client that wait until it reads them, from which on it gets no further one. */
    private static final int MAX_UNREAD_BYTES = 4 * 1024 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;
    /** Time for a client to read the response on a connection that is closed while it is still sending. */
    private static final int LINGER_SECONDS = 1;

    /**
     * A request as a handler sees it.
     *
     * @param method HTTP method
     * @param path rest of the path after the prefix of the handler, without a leading slash; undecoded
     * @param headers returns the value of a header, or null if it is absent
     * @param parameters returns the decoded value of a query parameter, or null if it is absent
     * @param body content; empty if the request has none
     * @param arrivedNanos monotonic time at which the server's thread found the request, in nanoseconds; a request that
     *     arrives while the thread is busy is found later
     * @param disconnected completes if the client closes its connection before the response
     */
    public record ServerRequest(
            String method,
            String path,
            UnaryOperator<String> headers,
            UnaryOperator<String> parameters,
            byte[] body,
            long arrivedNanos,
            CompletableFuture<Void> disconnected) {}

    /**
     * A response of a handler.
     *
     * @param status HTTP status code
     * @param contentType value of the Content-Type header
     * @param body content
     * @param headers headers besides Content-Type and Content-Length
     */
    public record ServerResponse(int status, String contentType, byte[] body, Map<String, String> headers) {
        /**
         * Creates a response with a JSON body.
         *
         * @param status HTTP status
         * @param content object that Jackson writes as JSON
         * @return the response
         */
        public static ServerResponse json(int status, Object content) {
            try {
                return new ServerResponse(status, "application/json", JSON.writeValueAsBytes(content), Map.of());
            } catch (JsonProcessingException unexpected) {
                throw new UncheckedIOException(unexpected);
            }
        }

        /**
         * Creates a response with a plain text body in UTF-8.
         *
         * @param status HTTP status
         * @param content text of the body
         * @return the response
         */
        public static ServerResponse text(int status, String content) {
            return new ServerResponse(
                    status, "text/plain; charset=utf-8", content.getBytes(StandardCharsets.UTF_8), Map.of());
        }

        /**
         * Returns a copy of this response with another body.
         *
         * @param content the new body
         * @return the copy
         */
        public ServerResponse withBody(byte[] content) {
            return new ServerResponse(status, contentType, content, headers);
        }

        /**
         * Returns a copy of this response with a header added or replaced.
         *
         * @param name name of the header
         * @param value value of the header
         * @return the copy
         */
        public ServerResponse withHeader(String name, String value) {
            Map<String, String> allHeaders = new TreeMap<>(headers);
            allHeaders.put(name, value);
            return new ServerResponse(status, contentType, body, Map.copyOf(allHeaders));
        }
    }

    /** Handles the requests to one path prefix. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Handles a request; called on a thread of the server, which it must not block.
         *
         * @param request the request
         * @return the response, or a {@link RequestException}, which the server writes as an error response
         */
        CompletableFuture<ServerResponse> handle(ServerRequest request);
    }

    private record HandlerKey(String method, String path) {
        // Cheaper than the generated methods, which are linked at run time.
        @Override
        public boolean equals(Object other) {
            return other instanceof HandlerKey that && method.equals(that.method) && path.equals(that.path);
        }

        @Override
        public int hashCode() {
            return 31 * method.hashCode() + path.hashCode();
        }
    }

    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;
    private final Map<HandlerKey, RequestHandler> handlers = new ConcurrentHashMap<>();
    private final Map<Integer, RequestHandler> handlersByPort = new ConcurrentHashMap<>();
    private final EventLog events;
    private volatile RequestHandler defaultHandler;
    private volatile boolean closeAfterResponse;

    private GrizzlyHttpServer(String host, int port, int threads, EventLog events) {
        this.events = events;
        this.listener = new NetworkListener("http", host, port);
        listener.getTransport().setSelectorRunnersCount(threads);
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        // Otherwise the writer of a response waits for the client to read the ones before.
        listener.getTransport()
                .getAsyncQueueIO()
                .getWriter()
                .setMaxPendingBytesPerConnection(AsyncQueueWriter.UNLIMITED_SIZE);
        listener.getFileCache().setEnabled(false);
        listener.registerAddOn((networkListener, chain) ->
                chain.add(chain.indexOfType(HttpServerFilter.class), WholeBodyFilter.create(MAX_BODY_BYTES)));
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new DispatchHandler(), "/");
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param host IP address to listen on
     * @param port TCP port, 0 for any free one
     * @param threads number of threads that read requests
     * @param events receives numbered log events
     * @return the server
     */
    public static GrizzlyHttpServer create(String host, int port, int threads, EventLog events) {
        return new GrizzlyHttpServer(host, port, threads, events);
    }

    /**
     * Adds a handler of POST requests to a command.
     *
     * @param path path prefix after {@code /v1/commands/}
     * @param handler handles the requests
     * @return this server
     */
    public GrizzlyHttpServer addCommand(String path, RequestHandler handler) {
        handlers.put(new HandlerKey("POST", "/v1/commands/" + path), handler);
        return this;
    }

    /**
     * Adds a handler of GET requests to a query.
     *
     * @param path path prefix after {@code /v1/queries/}
     * @param handler handles the requests
     * @return this server
     */
    public GrizzlyHttpServer addQuery(String path, RequestHandler handler) {
        handlers.put(new HandlerKey("GET", "/v1/queries/" + path), handler);
        return this;
    }

    /**
     * Adds a handler of GET requests outside the versioned interface, such as a health check.
     *
     * @param path path prefix from the root
     * @param handler handles the requests
     * @return this server
     */
    public GrizzlyHttpServer addGet(String path, RequestHandler handler) {
        handlers.put(new HandlerKey("GET", path), handler);
        return this;
    }

    /**
     * Adds a handler for an interface that this system does not define, such as one of the platform.
     *
     * @param method HTTP method
     * @param path path prefix from the root
     * @param handler handles the requests
     * @return this server
     */
    public GrizzlyHttpServer addHandler(String method, String path, RequestHandler handler) {
        handlers.put(new HandlerKey(method, path), handler);
        return this;
    }

    /**
     * Sets the handler of requests to paths without a handler of their own; its requests carry the whole path.
     *
     * @param handler handles the requests
     * @return this server
     */
    public GrizzlyHttpServer setDefaultHandler(RequestHandler handler) {
        this.defaultHandler = handler;
        return this;
    }

    /**
     * Returns Grizzly's transport, so that a client can share its threads.
     *
     * @return the transport
     */
    TCPNIOTransport transport() {
        return listener.getTransport();
    }

    /**
     * Starts to listen.
     *
     * @return the TCP port, which is the one chosen if the server was created with port 0
     * @throws UncheckedIOException if the port is in use
     */
    public int start() {
        try {
            server.start();
            return listener.getPort();
        } catch (IOException inUse) {
            throw new UncheckedIOException(inUse);
        }
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the TCP port
     */
    public int port() {
        return listener.getPort();
    }

    /**
     * Listens on an additional address, with the same threads and handlers.
     *
     * @param address address to listen on
     * @throws UncheckedIOException if the address is in use
     */
    public void bind(SocketAddress address) {
        try {
            listener.getTransport().bind(address);
        } catch (IOException inUse) {
            throw new UncheckedIOException(inUse);
        }
    }

    /**
     * Listens on an additional address, with the same threads, where one handler receives all requests.
     *
     * @param address address to listen on; its port must not be 0, since requests are told apart by port
     * @param handler handles the requests
     * @throws UncheckedIOException if the address is in use
     */
    public void bind(InetSocketAddress address, RequestHandler handler) {
        handlersByPort.put(address.getPort(), handler);
        bind(address);
    }

    /**
     * Sends {@code Connection: close} with every response from now on, so that clients open new connections elsewhere.
     */
    public void closeConnectionsAfterResponse() {
        closeAfterResponse = true;
    }

    /** Stops listening and waits up to two seconds for the open requests. */
    @Override
    public void close() {
        server.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Creates the response that reports an error.
     *
     * @param error the error
     * @return a JSON response with verdict, code and message
     */
    static ServerResponse errorResponse(RequestError error) {
        return ServerResponse.json(
                StatusCodes.of(error.code()),
                Map.of(
                        "verdict", error.verdict().name(),
                        "code", error.code().name(),
                        "message", error.message()));
    }

    private final class DispatchHandler extends HttpHandler {
        @Override
        public void service(Request request, Response response) {
            if (request.getContentLengthLong() > MAX_BODY_BYTES) {
                write(response, errorResponse(bodyTooLarge()));
                return;
            }
            NIOInputStream input = request.getNIOInputStream();
            response.suspend();
            BodyReader reader = new BodyReader(input, request, response, System.nanoTime());
            input.notifyAvailable(reader, MAX_BODY_BYTES + 1);
        }
    }

    /** Reads a body once it has arrived, so that a slow client does not block a thread. */
    private final class BodyReader implements ReadHandler {
        private final NIOInputStream input;
        private final Request request;
        private final Response response;
        private final long arrivedNanos;

        private BodyReader(NIOInputStream input, Request request, Response response, long arrivedNanos) {
            this.input = input;
            this.request = request;
            this.response = response;
            this.arrivedNanos = arrivedNanos;
        }

        /**
         * Called when a body without a declared length has exceeded the limit.
         *
         * <p>Grizzly reads nothing more of it, and so would keep the connection open for ever. Closing it immediately could
         * discard the response on its way, because the client may still be sending.
         */
        @Override
        public void onDataAvailable() throws IOException {
            write(response, errorResponse(bodyTooLarge()).withHeader("Connection", "close"));
            response.getOutputStream().flush();
            NIOConnection connection = (NIOConnection) request.getContext().getConnection();
            ((SocketChannel) connection.getChannel()).shutdownOutput();
            CompletableFuture.delayedExecutor(LINGER_SECONDS, TimeUnit.SECONDS).execute(connection::closeSilently);
        }

        @Override
        public void onAllDataRead() throws IOException {
            int length = input.available();
            if (length > MAX_BODY_BYTES) {
                writeAndResume(response, errorResponse(bodyTooLarge()));
                return;
            }
            dispatch(request, response, input.readNBytes(length), arrivedNanos);
        }

        @Override
        public void onError(Throwable failure) {
            response.resume();
        }
    }

    private static RequestError bodyTooLarge() {
        return RequestError.notRun(ErrorCode.BODY_TOO_LARGE, "the body is larger than " + MAX_BODY_BYTES + " bytes");
    }

    private void dispatch(Request request, Response response, byte[] body, long arrivedNanos) {
        String method = request.getMethod().getMethodString();
        Optional<Map.Entry<HandlerKey, RequestHandler>> handler = findHandler(method, request.getRequestURI());
        if (handler.isEmpty() && defaultHandler == null && !handlersByPort.containsKey(request.getLocalPort())) {
            boolean supportedMethod = Method.GET.equals(request.getMethod()) || Method.POST.equals(request.getMethod());
            String message = method + " " + request.getRequestURI() + " does not exist";
            writeAndResume(
                    response,
                    errorResponse(
                            supportedMethod
                                    ? RequestError.notRun(ErrorCode.NOT_FOUND, message)
                                    : RequestError.notRun(
                                            ErrorCode.INVALID_REQUEST, "method " + method + " is not supported")));
            return;
        }
        int prefixLength = handler.map(entry -> entry.getKey().path().length()).orElse(0);
        String path = request.getRequestURI().substring(prefixLength);
        boolean hasLeadingSlash = handler.isPresent() && path.startsWith("/");
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        CloseListener<Closeable, CloseType> closeListener = (connection, type) -> disconnected.complete(null);
        Connection<?> connection = request.getContext().getConnection();
        connection.addCloseListener(closeListener);
        ServerRequest serverRequest = new ServerRequest(
                method,
                hasLeadingSlash ? path.substring(1) : path,
                request::getHeader,
                request::getParameter,
                body,
                arrivedNanos,
                disconnected);
        RequestHandler pathHandler = handler.map(Map.Entry::getValue).orElse(defaultHandler);
        RequestHandler requestHandler = handlersByPort.getOrDefault(request.getLocalPort(), pathHandler);
        afterNextSelection((NIOConnection) connection, () -> {
            if (disconnected.isDone()) {
                return;
            }
            invoke(requestHandler, serverRequest).whenComplete((serverResponse, failure) -> {
                connection.removeCloseListener(closeListener);
                writeAndResume(response, failure == null ? serverResponse : errorResponse(toRequestError(failure)));
            });
        });
    }

    /**
     * Runs an action once the server's thread has looked at its connections again. After an overload many clients have left
     * while their requests waited unread; the end of such a connection is read by then, and the request needs no work.
     */
    private void afterNextSelection(NIOConnection connection, Runnable action) {
        SelectorHandler selectorHandler = transport().getSelectorHandler();
        SelectorRunner thread = connection.getSelectorRunner();
        // A task that the server's thread adds runs before its next selection, and one that such a task adds after it.
        selectorHandler.enque(
                thread,
                () -> {
                    selectorHandler.enque(thread, () -> runSafely(action), null);
                    return true;
                },
                null);
    }

    /** Returns true, which has the server's thread go on with its other tasks. */
    private boolean runSafely(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error failure) {
            events.write(Event.INTERNAL_ERROR, "an HTTP request", failure);
        }
        return true;
    }

    private Optional<Map.Entry<HandlerKey, RequestHandler>> findHandler(String method, String path) {
        return handlers.entrySet().stream()
                .filter(handler -> handler.getKey().method().equals(method))
                .filter(handler -> path.equals(handler.getKey().path())
                        || path.startsWith(handler.getKey().path() + "/"))
                .findFirst();
    }

    private static CompletableFuture<ServerResponse> invoke(RequestHandler handler, ServerRequest serverRequest) {
        try {
            return handler.handle(serverRequest);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void writeAndResume(Response response, ServerResponse serverResponse) {
        write(response, serverResponse);
        response.resume();
    }

    private RequestError toRequestError(Throwable failure) {
        RequestError error = RequestException.errorOf(failure);
        if (error.code() == ErrorCode.INTERNAL) {
            events.write(Event.INTERNAL_ERROR, "an HTTP request", failure);
        }
        return error;
    }

    private void write(Response response, ServerResponse serverResponse) {
        NIOConnection connection =
                (NIOConnection) response.getRequest().getContext().getConnection();
        if (connection.getAsyncWriteQueue().spaceInBytes() > MAX_UNREAD_BYTES) {
            connection.closeSilently();
            return;
        }
        try {
            response.setStatus(serverResponse.status());
            serverResponse.headers().forEach(response::setHeader);
            if (closeAfterResponse) {
                response.setHeader(Header.Connection, "close");
            }
            response.setContentType(serverResponse.contentType());
            response.setContentLength(serverResponse.body().length);
            response.getOutputStream().write(serverResponse.body());
        } catch (IOException connectionClosed) {
            response.setStatus(StatusCodes.of(ErrorCode.INTERNAL));
        }
    }
}
