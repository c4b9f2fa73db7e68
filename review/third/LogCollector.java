import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** The platform's collector of what a process writes to standard output. It can be busy with something else for a while. */
final class LogCollector {
    private boolean busy;
    private volatile InputStream input;

    synchronized void setBusy(boolean isBusy) {
        busy = isBusy;
        notifyAll();
    }

    /** Returns how many bytes wait to be read. */
    int waiting() {
        try {
            return input == null ? 0 : input.available();
        } catch (IOException ended) {
            return 0;
        }
    }

    void collect(InputStream output, Path file) {
        input = output;
        Thread thread = new Thread(() -> {
            byte[] buffer = new byte[4096];
            try (OutputStream lines = Files.newOutputStream(file)) {
                for (int length = output.read(buffer); length >= 0; length = output.read(buffer)) {
                    lines.write(buffer, 0, length);
                    awaitTurn();
                }
            } catch (IOException ended) {
                // The process has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void awaitTurn() {
        while (busy) {
            try {
                wait();
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
