package second;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * Proxy between an agent and its worker that passes on each HTTP call, or leaves one without a response and passes it on
 * later.
 *
 * <p>While the worker's process is down the proxy does not listen either, so that connections are refused as they would be
 * without it.
 */
final class WorkerPath implements AutoCloseable {
    private final InetSocketAddress address;
    private final InetSocketAddress worker;
    /** Returns how late a call is to be carried out without a response, in milliseconds, or 0 to pass it on. */
    private final Function<String, Long> delay;

    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listening;

    WorkerPath(InetSocketAddress address, InetSocketAddress worker, Function<String, Long> delay) {
        this.address = address;
        this.worker = worker;
        this.delay = delay;
    }

    void open() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address);
        listening = socket;
        daemon(() -> {
            while (true) {
                Socket caller = socket.accept();
                sockets.add(caller);
                daemon(() -> serve(caller));
            }
        });
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
        sockets.clear();
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException | InterruptedException ended) {
                // The connection or the listener was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket caller) throws IOException {
        try (Socket served = caller;
                Socket direct = new Socket()) {
            served.setTcpNoDelay(true);
            direct.setTcpNoDelay(true);
            sockets.add(direct);
            direct.connect(worker);
            InputStream requests = new BufferedInputStream(served.getInputStream());
            InputStream responses = new BufferedInputStream(direct.getInputStream());
            while (true) {
                byte[] request = readMessage(requests);
                long millis = delay.apply(new String(request, StandardCharsets.UTF_8));
                if (millis > 0) {
                    daemon(() -> carryOutLate(request, millis));
                    while (requests.read() >= 0) {
                        // Without a response; the caller closes the connection.
                    }
                    return;
                }
                direct.getOutputStream().write(request);
                served.getOutputStream().write(readMessage(responses));
            }
        } finally {
            sockets.remove(caller);
            sockets.removeIf(Socket::isClosed);
        }
    }

    private void carryOutLate(byte[] request, long millis) throws IOException, InterruptedException {
        Thread.sleep(millis);
        try (Socket late = new Socket()) {
            late.connect(worker);
            late.getOutputStream().write(request);
            readMessage(new BufferedInputStream(late.getInputStream()));
        }
    }

    /** Reads a request or a response with its body. */
    private static byte[] readMessage(InputStream input) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        String head = "";
        while (!head.endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            message.write(next);
            head += (char) next;
        }
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        message.write(input.readNBytes(length));
        return message.toByteArray();
    }
}
