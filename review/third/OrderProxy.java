import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Passes HTTP requests on, one at a time for each connection. A request that the test picks is left without an answer and
 * handed to the test, which may deliver it later.
 */
final class OrderProxy {
    private final InetSocketAddress address;
    private final InetSocketAddress server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private volatile Predicate<byte[]> kept = request -> false;
    private volatile ServerSocket listener;
    private volatile long lastRequestMillis;

    OrderProxy(InetSocketAddress address, InetSocketAddress server) {
        this.address = address;
        this.server = server;
    }

    /** Requests for which this is true get no answer; it is called once for each request. */
    void keep(Predicate<byte[]> picks) {
        kept = picks;
    }

    /** Returns when the last request was passed on. */
    long lastRequestMillis() {
        return lastRequestMillis;
    }

    void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, 128);
        listener = socket;
        Thread thread = new Thread(() -> accept(socket));
        thread.setDaemon(true);
        thread.start();
    }

    /** Refuses connections and closes the open ones, as the process behind this proxy has ended. */
    void refuse() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Leaves the open connections silent for good; new ones work. */
    void silence() {
        silent.addAll(open);
    }

    /** Delivers a request on a connection of its own and returns the first line of the answer. */
    String deliver(byte[] request) throws IOException {
        try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            byte[] answer = read(socket.getInputStream());
            String text = new String(answer, StandardCharsets.UTF_8);
            return text.lines().findFirst().orElse("") + " "
                    + text.substring(text.indexOf("\r\n\r\n") + 4).trim();
        }
    }

    private void accept(ServerSocket socket) {
        while (true) {
            try {
                Socket client = socket.accept();
                Thread thread = new Thread(() -> serve(client));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        open.add(client);
        try (client;
                Socket upstream = new Socket(server.getAddress(), server.getPort())) {
            client.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            open.add(upstream);
            while (true) {
                byte[] request = read(client.getInputStream());
                if (request == null) {
                    return;
                }
                if (silent.contains(client) || kept.test(request)) {
                    // The connection stays open and silent until the other side closes it.
                    while (client.getInputStream().read() >= 0) {}
                    return;
                }
                lastRequestMillis = System.currentTimeMillis();
                upstream.getOutputStream().write(request);
                upstream.getOutputStream().flush();
                byte[] answer = read(upstream.getInputStream());
                if (answer == null) {
                    return;
                }
                client.getOutputStream().write(answer);
                client.getOutputStream().flush();
            }
        } catch (IOException ended) {
            // Either side has closed its connection.
        } finally {
            open.remove(client);
        }
    }

    /** Reads a message with its body, whose length its header gives; null at the end of the stream. */
    private static byte[] read(InputStream input) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            message.write(next);
            if (next == '\n') {
                head = message.toString(StandardCharsets.ISO_8859_1);
            }
        }
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring("content-length:".length()).trim());
            }
        }
        message.write(input.readNBytes(length));
        return message.toByteArray();
    }

    static InetSocketAddress loopback(String host, int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(host), port);
    }
}
