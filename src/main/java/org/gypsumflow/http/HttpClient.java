package org.gypsumflow.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.Header;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Asynchronous HTTP client with a pool of connections per server; a request is sent at most once, even if its
 * connection fails.
 *
 * <p>A connection may go silent without being closed. One whose response does not come in time is closed, together with
 * those that have been idle since before the request: nothing shows that they work.
 */
public final class HttpClient implements AutoCloseable {
    /** Maximum number of connections to one server, and so of its concurrent requests. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 256;
    /** Time after which a server that has not accepted a connection counts as unreachable. */
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    /** Message of the operating system for a refused connection; in another language no failure is a refusal. */
    private static final String REFUSED = "Connection refused";

    private static final Attribute<AtomicReference<CompletableFuture<ClientResponse>>> PENDING_RESPONSE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(HttpClient.class.getName());

    /**
     * A response.
     *
     * @param status HTTP status code
     * @param body content, empty if there is none
     */
    public record ClientResponse(int status, byte[] body) {}

    /** Connection pool of one server, with the exchanges that wait for a connection. */
    private static final class ServerPool {
        private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
        private final Deque<Exchange> waitingExchanges = new ArrayDeque<>();
        private int openConnections;
    }

    private record IdleConnection(Connection<?> connection, long sinceNanos) {}

    private record Exchange(
            InetSocketAddress address,
            HttpContent content,
            CompletableFuture<ClientResponse> response,
            long submittedNanos) {}

    private final TCPNIOTransport transport;
    private final boolean ownsTransport;
    private final int maxConnectionsPerServer;
    private final FilterChain chain;
    private final Map<InetSocketAddress, ServerPool> poolsByAddress = new HashMap<>();

    private HttpClient(TCPNIOTransport transport, boolean ownsTransport, int maxConnectionsPerServer) {
        this.transport = transport;
        this.ownsTransport = ownsTransport;
        this.maxConnectionsPerServer = maxConnectionsPerServer;
        this.chain = FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new HttpClientFilter())
                .add(new ResponseFilter())
                .build();
    }

    /**
     * Creates a client with a thread of its own and a limit of connections per server that suffices for a daemon.
     *
     * @return the client
     */
    public static HttpClient create() {
        return create(MAX_CONNECTIONS_PER_SERVER);
    }

    /**
     * Creates a client with a thread of its own.
     *
     * @param maxConnectionsPerServer maximum number of open connections to one server; further requests wait for one
     * @return the client
     */
    public static HttpClient create(int maxConnectionsPerServer) {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .build();
        try {
            transport.start();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return new HttpClient(transport, true, maxConnectionsPerServer);
    }

    /**
     * Creates a client that shares the transport of a server, and so its threads.
     *
     * @param server the server, which must be closed after the client
     * @param maxConnectionsPerServer maximum number of open connections to one server; further requests wait for one
     * @return the client
     */
    public static HttpClient createOnTransportOf(GrizzlyHttpServer server, int maxConnectionsPerServer) {
        return new HttpClient(server.transport(), false, maxConnectionsPerServer);
    }

    /**
     * Sends a GET request.
     *
     * @param url URL with the IP address and port of the server
     * @param headers headers to send
     * @param timeout how long to wait for the response, including the wait for a connection
     * @return the response, or a failure that does not say whether the server received the request
     */
    public CompletableFuture<ClientResponse> get(String url, Map<String, String> headers, Duration timeout) {
        return send("GET", url, headers, new byte[0], timeout);
    }

    /**
     * Sends a POST request.
     *
     * @param url URL with the IP address and port of the server
     * @param headers headers to send
     * @param body content
     * @param timeout how long to wait for the response, including the wait for a connection
     * @return the response, or a failure; only a {@link ConnectException} proves that the server received nothing, and
     *     only one for which {@link #isRefusal} is true proves that no process listens there
     */
    public CompletableFuture<ClientResponse> post(
            String url, Map<String, String> headers, byte[] body, Duration timeout) {
        return send("POST", url, headers, body, timeout);
    }

    /**
     * Returns whether a request failed because the operating system refused its connection, which proves that no process
     * listens at the address.
     *
     * <p>Java throws a {@link ConnectException} also for a connection attempt that timed out in the operating system,
     * so that the message must tell them apart.
     *
     * @param failure failure of a request
     * @return true if the connection was refused; false for each other failure, among them the other failures to connect
     */
    public static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException
                && failure.getCause() instanceof ConnectException cause
                && REFUSED.equals(cause.getMessage());
    }

    @Override
    public void close() {
        if (ownsTransport) {
            try {
                transport.shutdownNow();
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }
    }

    // Servers are given by IP address, so that no name is resolved.
    @SuppressWarnings("DnsLookup")
    private CompletableFuture<ClientResponse> send(
            String method, String url, Map<String, String> headers, byte[] body, Duration timeout) {
        URI uri = URI.create(url);
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        HttpRequestPacket.Builder request = HttpRequestPacket.builder()
                .method(method)
                .uri(uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery())
                .protocol(Protocol.HTTP_1_1);
        headers.forEach(request::header);
        if (!headers.containsKey("Host")) {
            request.header(Header.Host, uri.getRawAuthority());
        }
        if (!"GET".equals(method)) {
            request.contentLength(body.length);
        }
        HttpContent content = HttpContent.builder(request.build())
                .content(Buffers.wrap(transport.getMemoryManager(), body))
                .last(true)
                .build();
        CompletableFuture<ClientResponse> response = new CompletableFuture<>();
        Exchange exchange =
                new Exchange(new InetSocketAddress(uri.getHost(), uri.getPort()), content, response, System.nanoTime());
        submit(exchange);
        CompletableFuture<Void> timer = new CompletableFuture<>();
        timer.completeOnTimeout(null, timeout.toNanos(), TimeUnit.NANOSECONDS).thenRun(() -> timedOut(exchange));
        response.whenComplete((received, failure) -> timer.cancel(false));
        return response;
    }

    /**
     * Fails an exchange without a response. The idle connections are closed before that, so that a request which is sent
     * because of the failure uses none of them.
     */
    private void timedOut(Exchange exchange) {
        try {
            closeConnectionsIdleSince(exchange.address, exchange.submittedNanos);
        } finally {
            exchange.response.completeExceptionally(new TimeoutException("no response in time"));
        }
    }

    private void closeConnectionsIdleSince(InetSocketAddress address, long latestNanos) {
        List<Connection<?>> unproven;
        synchronized (poolsByAddress) {
            Deque<IdleConnection> idleConnections = poolsByAddress.get(address).idleConnections;
            unproven = idleConnections.stream()
                    .filter(idle -> idle.sinceNanos - latestNanos <= 0)
                    .<Connection<?>>map(IdleConnection::connection)
                    .toList();
            idleConnections.removeIf(idle -> unproven.contains(idle.connection));
        }
        unproven.forEach(Connection::closeSilently);
    }

    private void submit(Exchange exchange) {
        Connection<?> connection;
        synchronized (poolsByAddress) {
            ServerPool pool = poolsByAddress.computeIfAbsent(exchange.address, address -> new ServerPool());
            IdleConnection idle = pool.idleConnections.pollLast();
            connection = idle == null ? null : idle.connection;
            if (connection == null && pool.openConnections >= maxConnectionsPerServer) {
                pool.waitingExchanges.add(exchange);
                return;
            }
            if (connection == null) {
                pool.openConnections++;
            }
        }
        if (connection == null) {
            connect(exchange);
        } else {
            writeOrResubmit(connection, exchange);
        }
    }

    private void connect(Exchange exchange) {
        TCPNIOConnectorHandler connector =
                TCPNIOConnectorHandler.builder(transport).processor(chain).build();
        CompletableFuture<Connection<?>> connected = new CompletableFuture<>();
        connected.orTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        exchange.response.whenComplete((response, failure) -> {
            if (failure != null) {
                connected.completeExceptionally(failure);
            }
        });
        connector.connect(exchange.address, completionHandler(connected));
        connected.whenComplete((connection, failure) -> {
            if (failure != null) {
                releaseConnection(exchange.address, null);
                exchange.response.completeExceptionally(connectException(exchange.address, failure));
                return;
            }
            PENDING_RESPONSE.set(connection, new AtomicReference<>());
            CloseListener<Closeable, CloseType> listener =
                    (closedConnection, type) -> connectionClosed(exchange.address, connection);
            connection.addCloseListener(listener);
            if (!write(connection, exchange)) {
                exchange.response.completeExceptionally(
                        new IOException("the connection was closed before the request was sent"));
            }
        });
    }

    private static ConnectException connectException(SocketAddress address, Throwable cause) {
        ConnectException failure = new ConnectException("cannot connect to " + address);
        failure.initCause(cause);
        return failure;
    }

    // Grizzly declares its connector with the raw type.
    @SuppressWarnings("rawtypes")
    private static CompletionHandler<Connection> completionHandler(CompletableFuture<Connection<?>> connected) {
        return new EmptyCompletionHandler<>() {
            @Override
            public void completed(Connection connection) {
                if (!connected.complete(connection)) {
                    connection.closeSilently();
                }
            }

            @Override
            public void failed(Throwable failure) {
                connected.completeExceptionally(failure);
            }
        };
    }

    /**
     * Sends an exchange on a connection of the pool, or on another one if that was closed before anything was sent. A new
     * connection that is closed at once fails its exchange instead, so that a server that closes each is not asked again
     * and again.
     */
    private void writeOrResubmit(Connection<?> connection, Exchange exchange) {
        if (!write(connection, exchange)) {
            submit(exchange);
        }
    }

    /**
     * Sends an exchange on a connection.
     *
     * @return false if the connection was closed before anything was sent and the exchange is still without a result
     */
    private static boolean write(Connection<?> connection, Exchange exchange) {
        AtomicReference<CompletableFuture<ClientResponse>> pending = PENDING_RESPONSE.get(connection);
        pending.set(exchange.response);
        exchange.response.whenComplete((response, failure) -> {
            if (failure != null && pending.compareAndSet(exchange.response, null)) {
                connection.closeSilently();
            }
        });
        if (!connection.isOpen()) {
            return !pending.compareAndSet(exchange.response, null);
        }
        connection.write(exchange.content);
        return true;
    }

    /**
     * Completes the exchange that a response answers. Whoever takes an exchange off its connection decides on that
     * connection: a timeout that comes after the response leaves it alone, as it may carry the next exchange.
     */
    private void responseReceived(Connection<?> connection, HttpResponsePacket packet, byte[] body) {
        CompletableFuture<ClientResponse> response =
                PENDING_RESPONSE.get(connection).getAndSet(null);
        InetSocketAddress address = (InetSocketAddress) connection.getPeerAddress();
        if (response == null || !packet.getProcessingState().isKeepAlive()) {
            connection.closeSilently();
        } else {
            releaseConnection(address, connection);
        }
        if (response != null) {
            response.complete(new ClientResponse(packet.getStatus(), body));
        }
    }

    private void connectionClosed(InetSocketAddress address, Connection<?> connection) {
        CompletableFuture<ClientResponse> response =
                PENDING_RESPONSE.get(connection).getAndSet(null);
        synchronized (poolsByAddress) {
            poolsByAddress.get(address).idleConnections.removeIf(idle -> idle.connection.equals(connection));
        }
        releaseConnection(address, null);
        if (response != null) {
            response.completeExceptionally(new IOException("the connection was closed before the response"));
        }
    }

    /** Passes a connection, or the slot of a closed one (null), to the next waiting exchange, else back to the pool. */
    private void releaseConnection(InetSocketAddress address, Connection<?> connection) {
        Exchange next;
        synchronized (poolsByAddress) {
            ServerPool pool = poolsByAddress.get(address);
            do {
                next = pool.waitingExchanges.poll();
            } while (next != null && next.response.isDone());
            if (next == null && connection != null) {
                pool.idleConnections.addLast(new IdleConnection(connection, System.nanoTime()));
            }
            if (next == null && connection == null) {
                pool.openConnections--;
            }
        }
        if (next != null && connection != null) {
            writeOrResubmit(connection, next);
        } else if (next != null) {
            connect(next);
        }
    }

    private final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpContent content = context.getMessage();
            if (!content.isLast()) {
                return context.getStopAction(content);
            }
            byte[] body = new byte[content.getContent().remaining()];
            content.getContent().get(body);
            HttpHeader header = content.getHttpHeader();
            responseReceived(context.getConnection(), (HttpResponsePacket) header, body);
            return context.getStopAction();
        }
    }
}
