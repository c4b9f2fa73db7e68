package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.Map;
import org.gypsumflow.model.Event;
import org.tinylog.core.LogEntry;
import org.tinylog.provider.ProviderRegistry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writer of tinylog for the standard output, named {@code buffered console} in its settings. Whoever writes a line does not
 * wait for the reader of the standard output.
 */
public final class BufferedConsoleWriter extends AbstractFormatPatternWriter {
    /** Some seconds of lines under load. */
    private static final int CAPACITY_BYTES = 256 * 1024;
    /** Saves system calls; lines that are younger are lost when the process is killed. */
    private static final Duration COLLECTION_TIME = Duration.ofMillis(20);
    /** Maximum time for the last lines when the process ends, much below any grace period. */
    private static final Duration MAX_FLUSH_TIME = Duration.ofMillis(300);

    /** Shared by all instances, since there is one standard output. */
    private static final class Shared {
        private static final LogBuffer BUFFER = LogBuffer.start(
                System.out, CAPACITY_BYTES, COLLECTION_TIME, drops -> TinylogEventLog.print(Event.LOG_NOT_READ, drops));
    }

    /**
     * Creates a writer; called by tinylog.
     *
     * @param properties settings of the writer, of which {@code format} is used
     */
    public BufferedConsoleWriter(Map<String, String> properties) {
        super(properties);
    }

    @Override
    public void write(LogEntry logEntry) {
        Shared.BUFFER.add(render(logEntry));
    }

    /** Waits a bounded time until the lines so far have been written. */
    @Override
    public void flush() throws InterruptedException {
        Shared.BUFFER.awaitWritten(MAX_FLUSH_TIME);
    }

    /** Does the same as {@link #flush}; later lines are written as well. */
    @Override
    public void close() throws InterruptedException {
        flush();
    }

    /**
     * Returns how many lines were dropped because nobody read the standard output.
     *
     * @return number of lines since the start of the process
     */
    static long droppedLines() {
        return Shared.BUFFER.droppedLines();
    }

    /** Waits a bounded time for the last lines before the process ends. */
    static void flushLog() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
