package second;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Proxy in front of one member that passes on every byte, until its open channels go silent: they stay open and carry
 * nothing more. Channels that are opened later work.
 */
final class MemberPath implements AutoCloseable {
    private static final int BUFFER_BYTES = 65_536;

    private final ServerSocket listening = new ServerSocket();
    private final InetSocketAddress member;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

    private static final class Channel {
        private volatile boolean silent;
    }

    MemberPath(String ip, InetSocketAddress member) throws IOException {
        this.member = member;
        listening.bind(new InetSocketAddress(ip, 0));
        start(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    /** Lets the channels that are open now go silent; returns how many there are. */
    int silenceOpenChannels() {
        channels.forEach(channel -> channel.silent = true);
        return channels.size();
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void start(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException ended) {
                // The channel or the listener was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket caller = listening.accept();
            Socket called = new Socket();
            called.connect(member);
            caller.setTcpNoDelay(true);
            called.setTcpNoDelay(true);
            sockets.add(caller);
            sockets.add(called);
            Channel channel = new Channel();
            channels.add(channel);
            start(() -> pass(channel, caller, called));
            start(() -> pass(channel, called, caller));
        }
    }

    private void pass(Channel channel, Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream input = from.getInputStream();
        int length = input.read(buffer);
        while (length >= 0) {
            if (!channel.silent) {
                to.getOutputStream().write(buffer, 0, length);
            }
            length = input.read(buffer);
        }
        channels.remove(channel);
        if (!channel.silent) {
            to.close();
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
