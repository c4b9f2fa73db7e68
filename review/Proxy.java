package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards TCP connections. Connections that are open can be made silent: they stay open, but nothing passes any more. */
final class Proxy {
    private final ServerSocket server;
    private final int targetPort;
    private final List<Link> links = new CopyOnWriteArrayList<>();

    private static final class Link {
        private volatile boolean silent;
    }

    Proxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::acceptAll);
    }

    int port() {
        return server.getLocalPort();
    }

    int openLinks() {
        return links.size();
    }

    /** The connections that are open now go silent for good; later ones work. */
    void silenceOpenLinks() {
        links.forEach(link -> link.silent = true);
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket caller = server.accept();
                Socket target = new Socket(InetAddress.getByName("127.0.0.1"), targetPort);
                caller.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                Link link = new Link();
                links.add(link);
                daemon(() -> pump(link, caller, target));
                daemon(() -> pump(link, target, caller));
            }
        } catch (IOException closed) {
            // The process is about to end.
        }
    }

    private void pump(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[8192];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int length = input.read(buffer);
            while (length >= 0) {
                if (!link.silent) {
                    output.write(buffer, 0, length);
                }
                length = input.read(buffer);
            }
        } catch (IOException closed) {
            // Handled like the end of the stream.
        }
        links.remove(link);
        if (!link.silent) {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to close.
        }
    }

    private static void daemon(Runnable action) {
        Thread thread = new Thread(action, "proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
