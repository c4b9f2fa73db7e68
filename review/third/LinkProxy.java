import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Passes bytes on between a process and a server, and holds them up while the link is cut: nobody gets an error. */
final class LinkProxy {
    private final InetSocketAddress server;
    private final ServerSocket listener;
    private boolean cut;

    LinkProxy(String host, InetSocketAddress server) throws IOException {
        this.server = server;
        this.listener = new ServerSocket();
        listener.bind(OrderProxy.loopback(host, 0), 128);
        start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    synchronized void setCut(boolean isCut) {
        cut = isCut;
        notifyAll();
    }

    private synchronized void awaitLink() {
        while (cut) {
            try {
                wait();
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                start(() -> {
                    awaitLink();
                    try {
                        Socket upstream = new Socket(server.getAddress(), server.getPort());
                        start(() -> copy(client, upstream));
                        start(() -> copy(upstream, client));
                    } catch (IOException refused) {
                        close(client);
                    }
                });
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
                awaitLink();
                output.write(buffer, 0, length);
                output.flush();
            }
        } catch (IOException ended) {
            // Either side has closed its connection.
        }
        awaitLink();
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to close.
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }
}
