package org.gypsumflow.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.Message;
import org.gypsumflow.wire.generated.Envelope;

/** Carries messages between processes over TCP with Netty and protobuf. */
public final class NettyTransport implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** Messages to one receiver that may share a system call; a report of an agent rarely waits for more. */
    private static final int MAX_MESSAGES_PER_WRITE = 64;

    private final EventLoopGroup group;
    private final EventLog events;

    private NettyTransport(String name, int threads, EventLog events) {
        this.group = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        this.events = events;
    }

    /**
     * Creates a transport, which its creator closes.
     *
     * @param name prefix of the names of its threads
     * @param threads number of threads that read and write
     * @param events receives numbered events
     * @return the transport
     */
    public static NettyTransport create(String name, int threads, EventLog events) {
        return new NettyTransport(name, threads, events);
    }

    /**
     * Accepts connections of other processes.
     *
     * @param host IP address to bind
     * @param port TCP port to bind, 0 for any free one
     * @param listener receives the messages and the end of every accepted connection, on the transport's threads
     * @return the port that was bound
     */
    public int listen(String host, int port, ConnectionListener listener) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(listener))
                .bind(host, port)
                .syncUninterruptibly();
        return ((InetSocketAddress) bound.channel().localAddress()).getPort();
    }

    /**
     * Opens a connection to an entry.
     *
     * @param address address that the entry listens on
     * @param listener receives the messages and the end of the connection, on the transport's threads
     * @return the open connection, or a failure if it cannot be opened within a second
     */
    public CompletableFuture<Connection> connect(EntryAddress address, ConnectionListener listener) {
        return connect(address.host(), address.port(), listener);
    }

    /**
     * Opens a connection to a member.
     *
     * @param member member with the address that it listens on
     * @param listener receives the messages and the end of the connection, on the transport's threads
     * @return the open connection, or a failure if it cannot be opened within a second
     */
    public CompletableFuture<Connection> connect(Member member, ConnectionListener listener) {
        return connect(member.host(), member.port(), listener);
    }

    private CompletableFuture<Connection> connect(String host, int port, ConnectionListener listener) {
        CompletableFuture<Connection> opened = new CompletableFuture<>();
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer(listener))
                .connect(host, port)
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        opened.complete(connected.channel().pipeline().get(MessageHandler.class).connection);
                    } else {
                        opened.completeExceptionally(connected.cause());
                    }
                });
        return opened;
    }

    /**
     * Returns the thread that reads and writes; messages reach state that is confined to it without a change of threads.
     *
     * @return the first thread of the transport, which closes it
     */
    public ScheduledExecutorService thread() {
        return group.next();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).syncUninterruptibly();
    }

    private ChannelInitializer<SocketChannel> initializer(ConnectionListener listener) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new FlushConsolidationHandler(MAX_MESSAGES_PER_WRITE, true))
                        .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new ProtobufEncoder())
                        .addLast(new MessageHandler(new ChannelConnection(channel), listener, events));
            }
        };
    }

    private static final class ChannelConnection implements Connection {
        private final Channel channel;

        private ChannelConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void send(Message message) {
            channel.writeAndFlush(MessageCodec.encode(message), channel.voidPromise());
        }

        @Override
        public void close() {
            channel.close();
        }
    }

    private static final class MessageHandler extends SimpleChannelInboundHandler<Envelope> {
        private final ChannelConnection connection;
        private final ConnectionListener listener;
        private final EventLog events;

        private MessageHandler(ChannelConnection connection, ConnectionListener listener, EventLog events) {
            this.connection = connection;
            this.listener = listener;
            this.events = events;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            listener.messageReceived(connection, MessageCodec.decode(envelope));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.connectionClosed(connection);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                events.write(Event.INTERNAL_ERROR, "a connection", cause);
            }
            context.close();
        }
    }
}
