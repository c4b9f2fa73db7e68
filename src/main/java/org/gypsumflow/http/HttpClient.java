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
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
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

/** Calls HTTP servers; a call is sent at most once, whatever happens to its connection. */
public final class HttpClient implements AutoCloseable {
    /** Most connections to one server, and with it most calls under way there. */
    private static final int MOST_CONNECTIONS = 256;
    /** A server that does not accept a connection within this time is taken to be unreachable, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    private static final Attribute<AtomicReference<CompletableFuture<ClientResponse>>> PENDING =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(HttpClient.class.getName());

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param body content
     */
    public record ClientResponse(int status, byte[] body) {}

    /** Calls to one server: its connections and the calls that wait for one. */
    private static final class Server {
        private final Deque<Connection<?>> idle = new ArrayDeque<>();
        private final Deque<Exchange> waiting = new ArrayDeque<>();
        private int open;
    }

    private record Exchange(InetSocketAddress address, HttpContent content, CompletableFuture<ClientResponse> answer) {}

    private final TCPNIOTransport transport;
    private final boolean ownsTransport;
    private final int mostConnections;
    private final FilterChain chain;
    private final Map<InetSocketAddress, Server> servers = new HashMap<>();

    private HttpClient(TCPNIOTransport transport, boolean ownsTransport, int mostConnections) {
        this.transport = transport;
        this.ownsTransport = ownsTransport;
        this.mostConnections = mostConnections;
        this.chain = FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new HttpClientFilter())
                .add(new AnswerFilter())
                .build();
    }

    /**
     * Creates a caller with as many connections as a daemon needs.
     *
     * @return the caller
     */
    public static HttpClient create() {
        return create(MOST_CONNECTIONS);
    }

    /**
     * Creates a caller with a limited number of connections.
     *
     * @param mostConnections most connections open at once to one server; further calls wait for one
     * @return the caller
     */
    public static HttpClient create(int mostConnections) {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .build();
        try {
            transport.start();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return new HttpClient(transport, true, mostConnections);
    }

    /**
     * Creates a caller that works on the thread of a server.
     *
     * @param front the server, which must outlive the caller
     * @param mostConnections most connections open at once to one server; further calls wait for one
     * @return the caller
     */
    public static HttpClient createOnTransportOf(GrizzlyHttpServer front, int mostConnections) {
        return new HttpClient(front.transport(), false, mostConnections);
    }

    /**
     * Reads from a server.
     *
     * @param url where
     * @param headers headers to send
     * @param timeout how long to wait for the answer
     * @return the answer, or a failure that says nothing about whether the server saw the call
     */
    public CompletableFuture<ClientResponse> get(String url, Map<String, String> headers, Duration timeout) {
        return send("GET", url, headers, new byte[0], timeout);
    }

    /**
     * Sends content to a server.
     *
     * @param url where
     * @param headers headers to send
     * @param body content
     * @param timeout how long to wait for the answer
     * @return the answer, or a failure; only a {@link ConnectException} proves that the server saw nothing
     */
    public CompletableFuture<ClientResponse> post(
            String url, Map<String, String> headers, byte[] body, Duration timeout) {
        return send("POST", url, headers, body, timeout);
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

    // Servers are named by IP numbers, so that nothing is looked up.
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
        CompletableFuture<ClientResponse> answer = new CompletableFuture<>();
        answer.orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
        submit(new Exchange(new InetSocketAddress(uri.getHost(), uri.getPort()), content, answer));
        return answer;
    }

    private void submit(Exchange exchange) {
        Connection<?> connection;
        synchronized (servers) {
            Server server = servers.computeIfAbsent(exchange.address, address -> new Server());
            connection = server.idle.pollLast();
            if (connection == null && server.open >= mostConnections) {
                server.waiting.add(exchange);
                return;
            }
            if (connection == null) {
                server.open++;
            }
        }
        if (connection == null) {
            connect(exchange);
        } else {
            write(connection, exchange);
        }
    }

    private void connect(Exchange exchange) {
        TCPNIOConnectorHandler connector =
                TCPNIOConnectorHandler.builder(transport).processor(chain).build();
        CompletableFuture<Connection<?>> connected = new CompletableFuture<>();
        connected.orTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        exchange.answer.whenComplete((answer, failure) -> {
            if (failure != null) {
                connected.completeExceptionally(failure);
            }
        });
        connector.connect(exchange.address, completing(connected));
        connected.whenComplete((connection, failure) -> {
            if (failure != null) {
                release(exchange.address, null);
                exchange.answer.completeExceptionally(connectFailure(exchange.address, failure));
                return;
            }
            PENDING.set(connection, new AtomicReference<>());
            CloseListener<Closeable, CloseType> listener = (ended, type) -> closed(exchange.address, connection);
            connection.addCloseListener(listener);
            write(connection, exchange);
        });
    }

    private static ConnectException connectFailure(SocketAddress address, Throwable cause) {
        ConnectException failure = new ConnectException("no connection to " + address);
        failure.initCause(cause);
        return failure;
    }

    // Grizzly declares its connector with the raw type.
    @SuppressWarnings("rawtypes")
    private static CompletionHandler<Connection> completing(CompletableFuture<Connection<?>> connected) {
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

    private void write(Connection<?> connection, Exchange exchange) {
        PENDING.get(connection).set(exchange.answer);
        exchange.answer.whenComplete((answer, failure) -> {
            if (failure != null) {
                connection.closeSilently();
            }
        });
        if (!connection.isOpen()) {
            exchange.answer.completeExceptionally(new IOException("the connection was closed before the call"));
            return;
        }
        connection.write(exchange.content);
    }

    private void answered(Connection<?> connection, HttpResponsePacket response, byte[] body) {
        CompletableFuture<ClientResponse> answer = PENDING.get(connection).getAndSet(null);
        InetSocketAddress address = (InetSocketAddress) connection.getPeerAddress();
        if (answer == null || !response.getProcessingState().isKeepAlive()) {
            connection.closeSilently();
        } else if (!answer.isDone()) {
            release(address, connection);
        }
        if (answer != null) {
            answer.complete(new ClientResponse(response.getStatus(), body));
        }
    }

    private void closed(InetSocketAddress address, Connection<?> connection) {
        CompletableFuture<ClientResponse> answer = PENDING.get(connection).getAndSet(null);
        synchronized (servers) {
            servers.get(address).idle.remove(connection);
        }
        release(address, null);
        if (answer != null) {
            answer.completeExceptionally(new IOException("the connection ended before the answer"));
        }
    }

    /** Hands a connection, or the room that a closed one left, to the next call that waits. */
    private void release(InetSocketAddress address, Connection<?> connection) {
        Exchange next;
        synchronized (servers) {
            Server server = servers.get(address);
            do {
                next = server.waiting.poll();
            } while (next != null && next.answer.isDone());
            if (next == null && connection != null) {
                server.idle.addLast(connection);
            }
            if (next == null && connection == null) {
                server.open--;
            }
        }
        if (next != null && connection != null) {
            write(connection, next);
        } else if (next != null) {
            connect(next);
        }
    }

    private final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpContent content = context.getMessage();
            if (!content.isLast()) {
                return context.getStopAction(content);
            }
            byte[] body = new byte[content.getContent().remaining()];
            content.getContent().get(body);
            HttpHeader header = content.getHttpHeader();
            answered(context.getConnection(), (HttpResponsePacket) header, body);
            return context.getStopAction();
        }
    }
}
